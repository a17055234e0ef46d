"""Scripted stand-ins for the ports of a gate."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

import anyio
import trio
import trio.testing

from cuminbend.exceptions import (
    NoQuorumError,
    RequestFailedError,
    RunState,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import (
    Announcement,
    GateHandover,
    OwnedUpstream,
    ShardReply,
    ShardRequest,
    Snapshot,
    WorkKind,
)
from cuminbend.ports import ExchangeObserver
from cuminbend.replicated import CrashResult
from cuminbend.upstreams import GateSettings, UpstreamGate

SNAPSHOT = Snapshot("v1", "p1")


class LoopClock:
    """The clock of the event loop, virtual under trio's MockClock."""

    def now(self) -> datetime:
        return datetime.fromtimestamp(anyio.current_time(), UTC)

    def monotonic_ms(self) -> float:
        return anyio.current_time() * 1000

    async def sleep(self, delay: timedelta) -> None:
        await anyio.sleep(delay.total_seconds())


@dataclass
class FakeLease:
    """A lease with a fixed remaining time."""

    remaining: float = 1e9

    def is_valid(self, for_ms: float = 0) -> bool:
        return self.remaining_ms() >= for_ms > -1

    def remaining_ms(self) -> float:
        return self.remaining


@dataclass
class FakeShares:
    """Shares from a table, else 1."""

    shares: dict[str, float] = field(default_factory=dict)

    def share(self, member: str) -> float:
        return self.shares.get(member, 1.0)


@dataclass
class FakeControl:
    """Records commands; answers with ``result``, or fails if it is None."""

    log: list[Any] = field(default_factory=list)
    result: CrashResult | None = CrashResult(1, quarantined=False, granted=True)
    delay_ms: float = 1.0

    async def propose(self, command: Any, timeout_ms: float) -> CrashResult:
        await anyio.sleep(self.delay_ms / 1000)
        if self.result is None:
            raise NoQuorumError("no majority")
        self.log.append(command)
        return self.result


class FakeUpstream:
    """An upstream and its transport, driven by a script of behaviours.

    A behaviour is a number of milliseconds (float) or a word: ``ok``, ``stall``,
    ``crash``, ``crossed``, ``stranger``, ``restarted``, ``snapshot``, ``partial``,
    ``oserror``, or the kind of an upstream error. ``script`` maps a request id to one,
    else ``default``.
    """

    def __init__(self, *, default: Any = "ok", service_ms: float = 10.0) -> None:
        self.default = default
        self.service_ms = service_ms
        self.script: dict[str, Any] = {}
        self.incarnation = 1
        self.confirms_cancel = False
        self.capacity: Callable[[], int] = lambda: 1_000_000
        self.overloaded = 0
        self.running: dict[str, float] = {}
        self.peak = 0
        self.seen: list[str] = []
        self.loads_of: dict[str, int] = {}
        self.started_ms: dict[str, float] = {}
        self.budgets: list[float] = []
        self.held_open = 0
        self.idle = 0
        self.in_use = 0
        self.peak_held = 0
        self.silent: list[float] = []
        self.linger_s = 60.0
        self.closed = False
        self.broken = anyio.Event()
        self.answered = 0
        self.crashed_at = -1.0

    def crash(self) -> None:
        """Break all connections and come back as a new incarnation."""
        self.incarnation += 1
        self.running.clear()
        self.broken.set()
        self.broken = anyio.Event()
        self.idle = 0
        self.answered = 0
        self.crashed_at = anyio.current_time()

    def load(self) -> int:
        """Requests that the upstream runs, abandoned ones until their deadline."""
        now = anyio.current_time()
        self.running = {k: end for k, end in self.running.items() if end > now}
        return len(self.running)

    def held(self) -> int:
        """Connections that the upstream holds, silent ones for the linger time."""
        self.silent = [end for end in self.silent if end > anyio.current_time()]
        return self.idle + self.in_use + len(self.silent)

    def open_connections(self, upstream: str) -> int:
        return self.idle + self.in_use

    async def close(self, upstream: str) -> None:
        self.idle = 0
        self.closed = True

    async def exchange(
        self,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
        observer: ExchangeObserver,
    ) -> ShardReply:
        self.idle = max(0, self.idle - 1)
        self.in_use += 1
        self.peak_held = max(self.peak_held, self.held())
        self.running[request.request_id] = (
            anyio.current_time() + request.budget_ms / 1000
        )
        self.peak = max(self.peak, self.load())
        self.seen.append(request.request_id)
        self.loads_of[request.request_id] = self.load()
        self.started_ms[request.request_id] = anyio.current_time() * 1000
        self.budgets.append(request.budget_ms)
        reusable = False
        try:
            if self.load() > self.capacity():
                self.overloaded += 1
                raise failure("shed")
            reply = await self._behave(request)
            reusable = True
            return reply
        except anyio.get_cancelled_exc_class():
            if self.confirms_cancel:
                self.running.pop(request.request_id, None)
                observer.connection_gone()
                observer.work_ended()
            else:
                self.silent.append(anyio.current_time() + self.linger_s)
            raise
        except UpstreamError:
            self.running.pop(request.request_id, None)
            raise
        finally:
            self.in_use -= 1
            self.idle += reusable

    async def _behave(self, request: ShardRequest) -> ShardReply:
        word = self.script.get(request.request_id, self.default)
        reply = ShardReply(
            request.request_id,
            request.upstream,
            self.incarnation,
            b"hits",
            request.snapshot,
        )
        seconds = (word if isinstance(word, float) else self.service_ms) / 1000
        if word == "crash":
            # Before others that began at the same time are answered.
            seconds /= 2
        broken = self.broken
        with anyio.move_on_after(math.inf if word == "stall" else seconds):
            await broken.wait()
        if broken.is_set():
            raise failure("reset")
        if word == "crash":
            self.crash()
            raise failure("reset")
        word = self.script.get(request.request_id, self.default)
        self.running.pop(request.request_id, None)
        self.answered += 1
        if word == "oserror":
            raise OSError("broken")
        if word == "crossed":
            return replace(reply, request_id="another")
        if word in ("snapshot", "partial"):
            other = Snapshot("v2", "p1")
            return replace(reply, snapshot=other, complete=word == "snapshot")
        if word == "stranger":
            return replace(reply, upstream="u2")
        if word == "restarted":
            self.incarnation += 1
            return replace(reply, incarnation=self.incarnation)
        if word != "ok" and isinstance(word, str):
            raise failure(word)
        return reply


def failure(word: str) -> UpstreamError:
    """Return the error that a transport raises for a behaviour."""
    kind = UpstreamErrorKind(word)
    states = {"connect": RunState.NOT_RUN, "shed": RunState.NOT_RUN}
    states |= {"draining": RunState.NOT_RUN, "failed": RunState.RAN}
    return UpstreamError(word, kind=kind, run_state=states.get(word, RunState.UNKNOWN))


ANNOUNCEMENT = Announcement("u1", 1, "dc1", "127.0.0.1:1", "s", (), 4, 100)


def run(test: Callable[[], Awaitable[Any]]) -> None:
    """Run a test on a virtual clock, with the same scheduling each time."""
    trio_run: Any = trio._core._run
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(1)
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


class Bench:
    """A gate with its stand-ins and the outcomes of the requests sent to it."""

    def __init__(
        self,
        *,
        limit: int = 1,
        cap: int = 25,
        seed: int = 1,
        slots: int = 4,
        **settings: Any,
    ) -> None:
        self.clock = LoopClock()
        self.lease = FakeLease()
        self.control = FakeControl()
        self.shares = FakeShares()
        self.upstream = FakeUpstream()
        self.upstream.linger_s = GateSettings(**settings).connection_linger_ms / 1000
        self.in_service = True
        self.announcement = replace(ANNOUNCEMENT, slots=slots)
        self.outcomes: dict[str, ShardReply | RequestFailedError] = {}
        self.ended_ms: dict[str, float] = {}
        self.commits_before: dict[str, int] = {}
        self.gate = UpstreamGate(
            settings=GateSettings(**settings),
            announcement=self.announcement,
            grant=OwnedUpstream("u1", 1, cap, GateHandover("u1", 1, limit)),
            transport=self.upstream,
            clock=self.clock,
            random=Random(seed),
            lease=self.lease,
            control=self.control,
            shares=self.shares,
            data_centre_in_service=lambda _: self.in_service,
        )

    def failure(self, request_id: str) -> tuple[str, RunState]:
        """Return class and run state of a failure, or of a reply as ("ok", RAN)."""
        outcome = self.outcomes[request_id]
        if isinstance(outcome, ShardReply):
            return "ok", RunState.RAN
        return type(outcome).__name__, outcome.run_state

    @property
    def limit(self) -> int:
        """Current limit of the gate."""
        limit: int = self.gate.dump()["limit"]
        return limit

    async def warm_up(self, requests: int = 20) -> None:
        """Let the upstream answer some requests one after the other."""
        for i in range(requests):
            await self.send(f"warm{i}")
        self.upstream.seen.clear()

    async def send(
        self,
        request_id: str,
        kind: WorkKind = WorkKind.SEARCH,
        *,
        member: str = "m",
        budget_ms: float = 1000.0,
        fingerprint: str = "",
    ) -> ShardReply | RequestFailedError:
        """Run one request and return its outcome."""
        request = ShardRequest(
            request_id=request_id,
            caller_request_id=request_id,
            member=member,
            service="s",
            upstream="u1",
            kind=kind,
            body=b"q",
            budget_ms=budget_ms,
            fingerprint=fingerprint,
            snapshot=None if kind is WorkKind.SUBMIT else SNAPSHOT,
        )
        try:
            outcome: ShardReply | RequestFailedError = await self.gate.run(request)
        except RequestFailedError as error:
            outcome = error
        self.outcomes[request_id] = outcome
        self.ended_ms[request_id] = self.clock.monotonic_ms()
        self.commits_before[request_id] = len(self.control.log)
        return outcome
