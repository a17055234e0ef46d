"""Scripted fakes of the ports of a gate, and a harness for tests of a gate."""

import functools
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
import trio
import trio.testing

from cuminbend import exceptions, messages
from cuminbend.exceptions import RequestFailedError, RunState, UpstreamError
from cuminbend.messages import Announcement, ShardReply, ShardRequest, WorkKind
from cuminbend.replicated import CrashResult
from cuminbend.upstreams import GateSettings, UpstreamGate

ANNOUNCEMENT = Announcement("u1", 1, "dc1", "127.0.0.1:1", "s", (), 4, 100)
GRANTED = CrashResult(1, quarantined=False, granted=True)
# Round-trip time of a cancellation.
CANCEL_ROUND_TRIP_S = 0.002


class LoopClock:
    """Clock of the event loop, which is virtual under trio's MockClock."""

    def monotonic_ms(self) -> float:
        return anyio.current_time() * 1000


class FakeLease:
    """A lease with a fixed remaining time."""

    remaining_time_ms = 1e9

    def is_valid(self, for_ms: float = 0) -> bool:
        return self.remaining_time_ms >= for_ms


class FakeShares(dict[str, float]):
    """Shares by member; 1 for other members."""

    def share(self, member: str) -> float:
        return self.get(member, 1.0)


@dataclass
class FakeControl:
    """Records commands and returns ``result``, or fails if that is None."""

    log: list[Any] = field(default_factory=list)
    result: CrashResult | None = GRANTED
    delay_ms: float = 1.0

    async def propose(self, command: Any, timeout_ms: float) -> CrashResult:
        await anyio.sleep(self.delay_ms / 1000)
        if self.result is None:
            raise exceptions.NoQuorumError("no majority")
        self.log.append(command)
        return self.result


@dataclass
class FakeUpstream:
    """An upstream and its transport with scripted behaviours.

    A behaviour is a service time in milliseconds (float) or a name: ``ok``, ``stall``,
    ``crash``, ``other_request``, ``other_upstream``, ``restarted``, ``snapshot``,
    ``partial``, ``oserror``, or the kind of an upstream error. ``script`` maps a
    request id to its behaviour; other requests get ``default``.

    Attributes:
        window: Number of answers after which the upstream accepts one more request at
            a time; it sheds requests above its limit. By default there is no limit.
        overload_count: Number of requests that were shed because of that limit.
        running: End times of the running requests in seconds; abandoned requests run
            until their deadline.
        abandoned_connection_ends: End times in seconds of the abandoned connections
            that the upstream holds open.
        running_counts: Number of running requests, itself included, when a request
            arrived, by request id.
        peak_connections: Largest number of open connections, abandoned ones included.
    """

    default: Any = "ok"
    service_ms: float = 10.0
    linger_s: float = 60.0
    script: dict[str, Any] = field(default_factory=dict)
    incarnation: int = 1
    confirms_cancel: bool = False
    window: int = 0
    overload_count: int = 0
    answer_count: int = 0
    crashed_at_s: float = -1.0
    running: dict[str, float] = field(default_factory=dict)
    received_ids: list[str] = field(default_factory=list)
    running_counts: dict[str, int] = field(default_factory=dict)
    started_ms: dict[str, float] = field(default_factory=dict)
    received_budgets_ms: dict[str, float] = field(default_factory=dict)
    idle: int = 0
    in_use: int = 0
    abandoned_connection_ends: list[float] = field(default_factory=list)
    peak_connections: int = 0
    closed: bool = False
    crash_event: anyio.Event = field(default_factory=anyio.Event)

    def crash(self) -> None:
        """Break all connections and restart as a new incarnation."""
        self.incarnation += 1
        self.running.clear()
        self.crash_event.set()
        self.crash_event = anyio.Event()
        self.idle = self.answer_count = 0
        self.crashed_at_s = anyio.current_time()

    def open_connection_count(self, upstream: str) -> int:
        return self.idle + self.in_use

    async def close(self, upstream: str) -> None:
        self.idle = 0
        self.closed = True

    async def exchange(
        self, _: Announcement, request: ShardRequest, ms: float, observer: Any
    ) -> ShardReply:
        name, now = request.request_id, anyio.current_time()
        self.idle = max(0, self.idle - 1)
        self.in_use += 1
        self.abandoned_connection_ends = [
            end for end in self.abandoned_connection_ends if end > now
        ]
        held = self.idle + self.in_use + len(self.abandoned_connection_ends)
        self.peak_connections = max(self.peak_connections, held)
        self.running = {r: end for r, end in self.running.items() if end > now}
        self.running[name] = now + request.budget_ms / 1000
        self.received_ids.append(name)
        self.running_counts[name] = len(self.running)
        self.started_ms[name], self.received_budgets_ms[name] = (
            now * 1000,
            request.budget_ms,
        )
        reusable = 0
        try:
            # A gate that sends at the time of a crash cannot have detected it yet.
            if (
                self.window
                and len(self.running) > 1 + self.answer_count // self.window
                and now != self.crashed_at_s
            ):
                self.overload_count += 1
                raise transport_error("shed")
            reply = await self._behave(request)
            reusable = 1
            return reply
        except anyio.get_cancelled_exc_class():
            self.abandoned_connection_ends.append(now + self.linger_s)
            if self.confirms_cancel:
                confirm = functools.partial(self._confirm, name, observer)
                trio.lowlevel.spawn_system_task(confirm)
            raise
        except UpstreamError:
            self.running.pop(name, None)
            raise
        finally:
            self.in_use -= 1
            self.idle += reusable

    async def _confirm(self, name: str, observer: Any) -> None:
        await anyio.sleep(CANCEL_ROUND_TRIP_S)
        self.running.pop(name, None)
        if self.abandoned_connection_ends:
            self.abandoned_connection_ends.pop()
        observer.connection_closed()
        observer.work_ended()

    async def _behave(self, request: ShardRequest) -> ShardReply:
        behaviour = self.script.get(request.request_id, self.default)
        seconds = (
            behaviour if isinstance(behaviour, float) else self.service_ms
        ) / 1000
        if behaviour == "crash":
            # The crash precedes the answers to requests sent at the same time.
            seconds /= 2
        crash_event = self.crash_event
        with anyio.move_on_after(math.inf if behaviour == "stall" else seconds):
            await crash_event.wait()
        if behaviour == "crash" and not crash_event.is_set():
            self.crash()
        if crash_event.is_set():
            raise transport_error("reset")
        del self.running[request.request_id]
        self.answer_count += 1
        return self._reply(request, self.script.get(request.request_id, self.default))

    def _reply(self, request: ShardRequest, behaviour: Any) -> ShardReply:
        reply = ShardReply(request.request_id, request.upstream, self.incarnation, b"")
        other = messages.Snapshot("v2", "p1")
        changes: dict[Any, dict[str, Any]] = {
            "ok": {},
            "other_request": {"request_id": "another"},
            "snapshot": {"snapshot": other},
            "partial": {"snapshot": other, "complete": False},
            "other_upstream": {"upstream": "u2"},
            "restarted": {"incarnation": self.incarnation + 1},
        }
        if behaviour == "oserror":
            raise OSError("broken")
        if isinstance(behaviour, str) and behaviour not in changes:
            raise transport_error(behaviour)
        self.incarnation += behaviour == "restarted"
        return replace(
            reply, **{"snapshot": request.snapshot, **changes.get(behaviour, {})}
        )


def transport_error(behaviour: str) -> UpstreamError:
    """Return the error that the transport raises for a behaviour."""
    states = dict.fromkeys(("connect", "shed", "draining"), RunState.NOT_RUN)
    states["failed"] = RunState.RAN
    state = states.get(behaviour, RunState.UNKNOWN)
    return UpstreamError(
        behaviour, kind=exceptions.UpstreamErrorKind(behaviour), run_state=state
    )


def on_trio(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run a test on a virtual clock with deterministic scheduling."""

    @functools.wraps(test)
    def run(**arguments: Any) -> None:
        trio_run: Any = trio._core._run
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r.seed(1)
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(functools.partial(test, **arguments), clock=clock)

    return run


class GateHarness:
    """A gate with fake ports, and the outcomes of the requests sent to it."""

    def __init__(
        self,
        limit: int = 1,
        connection_cap: int = 25,
        seed: int = 1,
        slots: int = 4,
        **gate_settings: Any,
    ) -> None:
        self.clock = LoopClock()
        self.lease = FakeLease()
        self.control = FakeControl()
        self.shares = FakeShares()
        settings = GateSettings(**gate_settings)
        self.upstream = FakeUpstream(linger_s=settings.connection_linger_ms / 1000)
        self.out_of_service: set[str] = set()
        self.announcement = replace(ANNOUNCEMENT, slots=slots)
        self.outcomes: dict[str, ShardReply | RequestFailedError] = {}
        self.ended_ms: dict[str, float] = {}
        self.commits_before: dict[str, int] = {}
        self.ports: dict[str, Any] = {
            "settings": settings,
            "transport": self.upstream,
            "clock": self.clock,
            "random": Random(seed),
            "lease": self.lease,
            "control": self.control,
            "shares": self.shares,
            "data_centre_in_service": lambda name: name not in self.out_of_service,
        }
        handover = messages.GateHandover("u1", 1, limit)
        self.gate = UpstreamGate(
            announcement=self.announcement,
            grant=messages.OwnedUpstream("u1", 1, connection_cap, handover),
            **self.ports,
        )
        self.run = self.gate.run

    def outcome_and_state(self, request_id: str) -> tuple[str, RunState]:
        """Return the error class and run state, or ("ok", RAN) for a reply."""
        outcome = self.outcomes[request_id]
        if isinstance(outcome, ShardReply):
            return "ok", RunState.RAN
        return type(outcome).__name__, outcome.run_state

    @property
    def limit(self) -> int:
        """Current limit of the gate."""
        return int(self.gate.dump()["limit"])

    def announce(self, **changes: Any) -> None:
        """Announce the upstream with some fields changed."""
        self.upstream.incarnation = changes.get("incarnation", 1)
        self.gate.update_announcement(replace(self.announcement, **changes))

    async def warm_up(self, requests: int = 20) -> None:
        """Send some requests one after the other."""
        for i in range(requests):
            await self.send(f"warm{i}")
        self.upstream.received_ids.clear()

    async def send_all(self, *requests: tuple[Any, ...]) -> None:
        """Run requests, given as arguments of :meth:`send`, at the same time."""
        async with anyio.create_task_group() as group:
            for request in requests:
                group.start_soon(self.send, *request)
                await anyio.lowlevel.checkpoint()

    async def send(
        self,
        name: str,
        kind: WorkKind = WorkKind.SEARCH,
        budget_ms: float = 1000.0,
        member: str = "m",
        upstream: str = "u1",
    ) -> ShardReply | RequestFailedError:
        """Run one request and return its outcome.

        The fingerprint is the first letter of the name.
        """
        request = ShardRequest(
            name, name, member, "s", upstream, kind, b"q", budget_ms, name[0]
        )
        if kind is not WorkKind.SUBMIT:
            request = replace(request, snapshot=messages.Snapshot("v1", "p1"))
        try:
            self.outcomes[name] = await self.run(request)
        except RequestFailedError as error:
            self.outcomes[name] = error
        self.ended_ms[name] = self.clock.monotonic_ms()
        self.commits_before[name] = len(self.control.log)
        return self.outcomes[name]
