"""Upstreams with slots, connections, slow start and faults."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace

import anyio
from cuminbend.exceptions import RunState, UpstreamError, UpstreamErrorKind
from cuminbend.messages import Announcement, ShardReply, ShardRequest, Snapshot
from cuminbend.ports import ExchangeObserver


@dataclass
class FakeUpstream:
    """One upstream.

    Attributes:
        service_ms: Median service time.
        cold_bears: Requests at the same time that it bears while cold; one more
            breaks it.
        warms_after: Requests after which it is warm; until then it is slower, the
            more the colder it is.
        straggler_share: Share of requests that take ``straggler_factor`` times longer.
        queue_limit: Waiting requests beyond which it sheds.
        body_breaks: Times that ``crash_body`` broke it.
        connections: Connections open on its side, with those that an instance gave
            up while one of both was unreachable.
        runs_by_call: Submits run, by the caller's request id.
    """

    announcement: Announcement
    service_ms: float = 5.0
    connect_ms: float = 6.0
    cold_bears: int = 1
    warms_after: int = 8
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    queue_limit: int = 8
    crash_body: bytes = b""
    answers_snapshot: Snapshot | None = None
    silent: bool = False
    lost: bool = False
    served: int = 0
    in_flight: int = 0
    runs: int = 0
    crashes: int = 0
    body_breaks: int = 0
    cold_violations: int = 0
    sheds: int = 0
    connections: int = 0
    max_connections: int = 0
    last_run_ms: float = float("-inf")
    runs_by_key: dict[str, int] = field(default_factory=dict)
    runs_by_call: Counter[str] = field(default_factory=Counter)
    incarnation: int = 1
    broken: anyio.Event = field(default_factory=anyio.Event)

    @property
    def is_cold(self) -> bool:
        """Whether it bears only ``cold_bears`` requests at the same time."""
        return self.served < self.warms_after

    def current_announcement(self) -> Announcement:
        """Return what it announces now."""
        return replace(self.announcement, incarnation=self.incarnation)

    def turn_cold(self) -> None:
        """Lose all warmth without announcing it."""
        self.served = 0

    def crash(self) -> None:
        """Break every exchange in flight and come back cold."""
        self.crashes += 1
        self.incarnation += 1
        self.turn_cold()
        broken, self.broken = self.broken, anyio.Event()
        broken.set()


class FakeUpstreams:
    """All upstreams; gives each instance a transport."""

    def __init__(self, *, upstreams: list[FakeUpstream], seed: int = 0) -> None:
        self.by_name = {item.announcement.upstream: item for item in upstreams}
        self.random = random.Random(seed)

    def transport(self, *, latency_ms: "LatencyFunction") -> "FakeTransport":
        """Return the transport of one instance."""
        return FakeTransport(upstreams=self, latency_ms=latency_ms)

    async def serve(self, request: ShardRequest) -> ShardReply:
        """Run one request on its upstream."""
        upstream = self.by_name[request.upstream]
        if upstream.lost or upstream.silent:
            await anyio.sleep_forever()
        limit = upstream.cold_bears if upstream.is_cold else len_slots(upstream)
        if upstream.is_cold and upstream.in_flight >= limit:
            upstream.cold_violations += 1
            upstream.crash()
        if upstream.in_flight >= limit + upstream.queue_limit:
            upstream.sheds += 1
            raise _error("shed", UpstreamErrorKind.SHED, RunState.NOT_RUN)
        upstream.in_flight += 1
        upstream.runs += 1
        upstream.last_run_ms = anyio.current_time() * 1000
        key = request.idempotency_key
        if key is not None:
            upstream.runs_by_key[key] = upstream.runs_by_key.get(key, 0) + 1
            upstream.runs_by_call[request.caller_request_id] += 1
        try:
            return await self._work(upstream, request, limit)
        finally:
            upstream.in_flight -= 1

    async def _work(
        self, upstream: FakeUpstream, request: ShardRequest, limit: int
    ) -> ShardReply:
        incarnation, broken = upstream.incarnation, upstream.broken
        if upstream.crash_body and upstream.crash_body in request.body:
            upstream.body_breaks += 1
            upstream.crash()
        # Requests beyond the slots share them, so each takes longer.
        crowding = max(1.0, upstream.in_flight / limit)
        coldness = max(0.0, 1 - upstream.served / upstream.warms_after)
        service_ms = upstream.service_ms * self.random.lognormvariate(0, 0.2)
        service_ms *= crowding * (1 + 2 * coldness)
        if self.random.random() < upstream.straggler_share:
            service_ms *= upstream.straggler_factor
        with anyio.move_on_after(service_ms / 1000):
            await broken.wait()
        if upstream.incarnation != incarnation:
            raise _error("reset", UpstreamErrorKind.RESET, RunState.UNKNOWN)
        upstream.served += 1
        snapshot = upstream.answers_snapshot or request.snapshot
        # The body repeats what was served, so that checks need not trust the envelope.
        served = {
            "call": request.caller_request_id,
            "service": upstream.announcement.service,
            "shard": request.shard,
            "index_version": snapshot.index_version if snapshot else None,
        }
        return ShardReply(
            request_id=request.request_id,
            upstream=request.upstream,
            incarnation=upstream.incarnation,
            body=json.dumps(served).encode(),
            snapshot=snapshot,
            service_time_ms=service_ms,
        )


def len_slots(upstream: FakeUpstream) -> int:
    """Return the requests that a warm upstream runs at the same time."""
    return upstream.announcement.slots


class LatencyFunction:
    """One-way latency between data centres."""

    def __init__(self, *, origin: str, cross_data_centre_ms: float) -> None:
        self._origin = origin
        self._cross_data_centre_ms = cross_data_centre_ms

    def __call__(self, data_centre: str) -> float:
        return 0.05 if data_centre == self._origin else self._cross_data_centre_ms


class FakeTransport:
    """Implements :class:`cuminbend.ports.UpstreamTransport` for one instance."""

    def __init__(
        self, *, upstreams: FakeUpstreams, latency_ms: LatencyFunction
    ) -> None:
        self._upstreams = upstreams
        self._latency_ms = latency_ms
        self._idle: dict[str, int] = {}
        self._open: dict[str, int] = {}
        self.cut = False

    async def exchange(
        self,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
        observer: ExchangeObserver,
    ) -> ShardReply:
        """Send a request on an idle or new connection."""
        name = upstream.upstream
        target = self._upstreams.by_name[name]
        one_way_s = self._latency_ms(upstream.data_centre) / 1000
        connected = False
        reusable = False
        is_reset = False
        try:
            with anyio.fail_after(timeout_ms / 1000):
                if self.cut:
                    await anyio.sleep_forever()
                connected = True
                await self._connect(name, target)
                await anyio.sleep(one_way_s)
                reply = await self._upstreams.serve(request)
                await anyio.sleep(one_way_s)
            reusable = True
            return reply
        except UpstreamError as error:
            reusable = error.run_state is RunState.NOT_RUN
            is_reset = error.kind is UpstreamErrorKind.RESET
            raise
        except TimeoutError as error:
            raise _error(
                "timeout", UpstreamErrorKind.TIMEOUT, RunState.UNKNOWN
            ) from error
        finally:
            self._release(name, target, connected=connected, reusable=reusable)
            if not reusable and not (target.silent or target.lost or self.cut):
                observer.connection_closed()
                # A reset is no confirmation that the request was stopped; with one
                # the gate would not record the request as the cause of a break.
                if not is_reset:
                    observer.work_ended()

    async def _connect(self, name: str, target: FakeUpstream) -> None:
        if self._idle.get(name, 0) > 0:
            self._idle[name] -= 1
            return
        self._open[name] = self._open.get(name, 0) + 1
        target.connections += 1
        target.max_connections = max(target.max_connections, target.connections)
        await anyio.sleep(target.connect_ms / 1000)

    def _release(
        self, name: str, target: FakeUpstream, *, connected: bool, reusable: bool
    ) -> None:
        if reusable:
            self._idle[name] = self._idle.get(name, 0) + 1
        elif connected:
            self._open[name] -= 1
            # A silent side does not learn that the connection was given up.
            if not (target.silent or target.lost or self.cut):
                target.connections -= 1

    def open_connection_count(self, upstream: str) -> int:
        """Return the open connections."""
        return self._open.get(upstream, 0)

    async def close(self, upstream: str) -> None:
        """Close idle connections."""
        idle = self._idle.pop(upstream, 0)
        self._open[upstream] = self._open.get(upstream, 0) - idle
        if not self.cut:
            self._upstreams.by_name[upstream].connections -= idle


def _error(text: str, kind: UpstreamErrorKind, state: RunState) -> UpstreamError:
    return UpstreamError(text, kind=kind, run_state=state)
