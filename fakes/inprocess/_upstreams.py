"""Fake upstreams with slots, connections, slow start and faults."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace

import anyio
from cuminbend.exceptions import RunState, UpstreamError, UpstreamErrorKind
from cuminbend.messages import Announcement, ShardReply, ShardRequest, Snapshot
from cuminbend.ports import ExchangeObserver

_SERVICE_TIME_SIGMA = 0.2
_COLD_SLOWDOWN = 2
_LOCAL_ONE_WAY_MS = 0.05


@dataclass
class FakeUpstream:
    """State and behaviour of one upstream.

    Attributes:
        service_ms: Median service time.
        cold_capacity: Concurrent requests that a cold upstream accepts; one more
            crashes it.
        warm_after_requests: Number of answered requests after which it is warm. Until
            then its service time is longer, and falls with each answered request.
        straggler_share: Share of requests that take ``straggler_factor`` times longer.
        queue_limit: Waiting requests beyond which it sheds.
        crash_body: A request whose body contains this crashes the upstream; empty for
            none.
        forced_snapshot: Snapshot of all its answers, or None to answer from the
            requested one.
        silent: Whether it never answers; it still announces itself.
        lost: Whether it neither answers nor announces itself.
        served_requests: Requests answered since it last turned cold.
        runs: Requests started.
        crash_body_breaks: Crashes that ``crash_body`` caused.
        cold_violations: Times that a request exceeded ``cold_capacity``.
        connections: Connections open on the side of the upstream. They include those
            that an instance closed while the instance or the upstream was unreachable.
        runs_by_call: Submits run, by the caller's request id.
        broken: Set when the current incarnation crashes.
    """

    announcement: Announcement
    service_ms: float = 5.0
    connect_ms: float = 6.0
    cold_capacity: int = 1
    warm_after_requests: int = 8
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    queue_limit: int = 8
    crash_body: bytes = b""
    forced_snapshot: Snapshot | None = None
    silent: bool = False
    lost: bool = False
    served_requests: int = 0
    in_flight: int = 0
    runs: int = 0
    crashes: int = 0
    crash_body_breaks: int = 0
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
        """Whether the upstream accepts only ``cold_capacity`` concurrent requests."""
        return self.served_requests < self.warm_after_requests

    def current_announcement(self) -> Announcement:
        """Return the announcement with the current incarnation."""
        return replace(self.announcement, incarnation=self.incarnation)

    def turn_cold(self) -> None:
        """Make the upstream cold without a new incarnation."""
        self.served_requests = 0

    def crash(self) -> None:
        """Break every exchange in flight and restart cold with a new incarnation."""
        self.crashes += 1
        self.incarnation += 1
        self.turn_cold()
        broken, self.broken = self.broken, anyio.Event()
        broken.set()


class FakeUpstreams:
    """All fake upstreams of a cluster, and the source of their random service times."""

    def __init__(self, *, upstreams: list[FakeUpstream], seed: int = 0) -> None:
        self.by_name = {item.announcement.upstream: item for item in upstreams}
        self.random = random.Random(seed)

    def transport(self, *, latency_ms: "LatencyFunction") -> "FakeTransport":
        """Return the transport of one instance."""
        return FakeTransport(upstreams=self, latency_ms=latency_ms)

    async def serve(self, request: ShardRequest) -> ShardReply:
        """Run one request on its upstream; never return if it is silent or lost.

        Raises:
            UpstreamError: The upstream shed the request or crashed while it ran.
        """
        upstream = self.by_name[request.upstream]
        if upstream.lost or upstream.silent:
            await anyio.sleep_forever()
        concurrency_limit = (
            upstream.cold_capacity if upstream.is_cold else warm_capacity(upstream)
        )
        if upstream.is_cold and upstream.in_flight >= concurrency_limit:
            upstream.cold_violations += 1
            upstream.crash()
        if upstream.in_flight >= concurrency_limit + upstream.queue_limit:
            upstream.sheds += 1
            raise _upstream_error("shed", UpstreamErrorKind.SHED, RunState.NOT_RUN)
        upstream.in_flight += 1
        upstream.runs += 1
        upstream.last_run_ms = anyio.current_time() * 1000
        key = request.idempotency_key
        if key is not None:
            upstream.runs_by_key[key] = upstream.runs_by_key.get(key, 0) + 1
            upstream.runs_by_call[request.caller_request_id] += 1
        try:
            return await self._process_request(upstream, request, concurrency_limit)
        finally:
            upstream.in_flight -= 1

    async def _process_request(
        self, upstream: FakeUpstream, request: ShardRequest, concurrency_limit: int
    ) -> ShardReply:
        incarnation, broken = upstream.incarnation, upstream.broken
        if upstream.crash_body and upstream.crash_body in request.body:
            upstream.crash_body_breaks += 1
            upstream.crash()
        # Requests beyond the limit share the slots, so each takes longer.
        slot_sharing_factor = max(1.0, upstream.in_flight / concurrency_limit)
        coldness = max(0.0, 1 - upstream.served_requests / upstream.warm_after_requests)
        service_ms = upstream.service_ms * self.random.lognormvariate(
            0, _SERVICE_TIME_SIGMA
        )
        service_ms *= slot_sharing_factor * (1 + _COLD_SLOWDOWN * coldness)
        if self.random.random() < upstream.straggler_share:
            service_ms *= upstream.straggler_factor
        with anyio.move_on_after(service_ms / 1000):
            await broken.wait()
        if upstream.incarnation != incarnation:
            raise _upstream_error("reset", UpstreamErrorKind.RESET, RunState.UNKNOWN)
        upstream.served_requests += 1
        snapshot = upstream.forced_snapshot or request.snapshot
        # The body repeats the served request, so that checks do not depend on the other
        # fields of the reply.
        served_request = {
            "call": request.caller_request_id,
            "service": upstream.announcement.service,
            "shard": request.shard,
            "index_version": snapshot.index_version if snapshot else None,
        }
        return ShardReply(
            request_id=request.request_id,
            upstream=request.upstream,
            incarnation=upstream.incarnation,
            body=json.dumps(served_request).encode(),
            snapshot=snapshot,
            service_time_ms=service_ms,
        )


def warm_capacity(upstream: FakeUpstream) -> int:
    """Return the number of requests that a warm upstream runs concurrently."""
    return upstream.announcement.slots


class LatencyFunction:
    """One-way latency in milliseconds from one data centre to each other one."""

    def __init__(self, *, origin: str, cross_data_centre_ms: float) -> None:
        self._origin = origin
        self._cross_data_centre_ms = cross_data_centre_ms

    def __call__(self, data_centre: str) -> float:
        return (
            _LOCAL_ONE_WAY_MS
            if data_centre == self._origin
            else self._cross_data_centre_ms
        )


class FakeTransport:
    """Implements :class:`cuminbend.ports.UpstreamTransport` for one instance."""

    def __init__(
        self, *, upstreams: FakeUpstreams, latency_ms: LatencyFunction
    ) -> None:
        self._upstreams = upstreams
        self._latency_ms = latency_ms
        self._idle: dict[str, int] = {}
        self._open: dict[str, int] = {}
        self.is_cut_off = False

    async def exchange(
        self,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
        observer: ExchangeObserver,
    ) -> ShardReply:
        """Send a request on an idle or new connection.

        Raises:
            UpstreamError: The request failed or ``timeout_ms`` passed.
        """
        name = upstream.upstream
        target = self._upstreams.by_name[name]
        one_way_s = self._latency_ms(upstream.data_centre) / 1000
        connected = False
        reusable = False
        is_reset = False
        try:
            with anyio.fail_after(timeout_ms / 1000):
                if self.is_cut_off:
                    await anyio.sleep_forever()
                connected = True
                await self._open_connection(name, target)
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
            raise _upstream_error(
                "timeout", UpstreamErrorKind.TIMEOUT, RunState.UNKNOWN
            ) from error
        finally:
            self._release_connection(
                name, target, connected=connected, reusable=reusable
            )
            if not reusable and not (target.silent or target.lost or self.is_cut_off):
                observer.connection_closed()
                # A reset does not confirm that the request was stopped. If it counted
                # as a confirmation, the gate would not record the request as the cause
                # of a crash.
                if not is_reset:
                    observer.work_ended()

    async def _open_connection(self, name: str, target: FakeUpstream) -> None:
        if self._idle.get(name, 0) > 0:
            self._idle[name] -= 1
            return
        self._open[name] = self._open.get(name, 0) + 1
        target.connections += 1
        target.max_connections = max(target.max_connections, target.connections)
        await anyio.sleep(target.connect_ms / 1000)

    def _release_connection(
        self, name: str, target: FakeUpstream, *, connected: bool, reusable: bool
    ) -> None:
        if reusable:
            self._idle[name] = self._idle.get(name, 0) + 1
        elif connected:
            self._open[name] -= 1
            # An unreachable upstream does not see that the connection was closed.
            if not (target.silent or target.lost or self.is_cut_off):
                target.connections -= 1

    def open_connection_count(self, upstream: str) -> int:
        """Return the number of connections that this instance has open."""
        return self._open.get(upstream, 0)

    async def close(self, upstream: str) -> None:
        """Close the idle connections to an upstream."""
        idle = self._idle.pop(upstream, 0)
        self._open[upstream] = self._open.get(upstream, 0) - idle
        if not self.is_cut_off:
            self._upstreams.by_name[upstream].connections -= idle


def _upstream_error(
    text: str, kind: UpstreamErrorKind, run_state: RunState
) -> UpstreamError:
    return UpstreamError(text, kind=kind, run_state=run_state)
