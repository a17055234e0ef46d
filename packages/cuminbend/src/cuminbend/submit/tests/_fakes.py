"""In-memory cluster: control log, upstreams, and instances that can crash."""

import random
import uuid
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime

import trio
from trio.testing import MockClock

from cuminbend.accounts import MemberAccounts
from cuminbend.config import parse_configuration
from cuminbend.exceptions import (
    NoQuorumError,
    RunState,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import Announcement, ShardReply, UpstreamRecord, UpstreamState
from cuminbend.replicated import (
    ApplyConfiguration,
    ReplicatedState,
    decode_result,
    encode_command,
)
from cuminbend.submit import SubmitCoordinator, SubmitSettings

EPOCH_MS = 1_700_000_000_000
CONFIGURATION_TEMPLATE = """
data_centres = [{{ name = "dc1" }}, {{ name = "dc2", in_service = {dc2} }}]
members = [{{ name = "tresscommon" }}, {{ name = "coulisse" }}]
services = [
  {{ name = "chairbook", mode = "submit", shards = {{ p = 1 }}, max_body_bytes = 99 }},
  {{ name = "careleaf", mode = "submit", shards.p = 1, members = ["coulisse"] }},
  {{ name = "fitroom", shards = {{ p = 20 }} }},
]
[cluster]
name = "one"
claim_retention_s = {retention_s}
"""


def configuration_text(retention_s=60, dc2="true"):
    return CONFIGURATION_TEMPLATE.format(retention_s=retention_s, dc2=dc2)


def make_key(rng, at_ms):
    bits = (int(at_ms) << 80) | (7 << 76) | (2 << 62)
    return str(uuid.UUID(int=bits | (rng.getrandbits(12) << 64) | rng.getrandbits(62)))


class Crashed(BaseException):
    """Raised at each step of a process that has crashed."""


class FakeClock:
    """Clock of one process, driven by trio time."""

    def __init__(self, process):
        self.process = process

    def now(self):
        return datetime.fromtimestamp(EPOCH_MS / 1000 + trio.current_time(), UTC)

    def monotonic_ms(self):
        return trio.current_time() * 1000

    async def sleep(self, delay):
        await trio.sleep(delay.total_seconds())
        self.process.crash_if_due()


@dataclass
class FakeControl:
    """A control log that can lose, delay and duplicate proposals and lose replies."""

    rng: random.Random
    nursery: trio.Nursery
    fault_rate: float = 0.0
    log: list = field(default_factory=list)
    state: ReplicatedState = field(default_factory=ReplicatedState)
    skew_ms: float = 0.0
    has_quorum: bool = True
    committed: list = field(default_factory=list)

    def now_ms(self):
        return EPOCH_MS + trio.current_time() * 1000 + self.skew_ms

    def commit(self, command):
        entry = ("command", encode_command(command), self.now_ms())
        self.log.append(entry)
        if self.fault_rate and self.rng.random() < 0.05:
            self.change_leader()
        return decode_result(self.state.apply(*entry))

    def change_leader(self):
        """Replace the leader by a voter with another clock and a restored snapshot."""
        state = ReplicatedState()
        state.restore(self.state.snapshot())
        self.state = state
        self.skew_ms = self.rng.uniform(-3000, 3000)

    async def commit_later(self, command):
        await trio.sleep(self.rng.expovariate(0.5))
        self.commit(command)

    async def propose(self, command, timeout_ms):
        command_bytes = encode_command(command)
        assert len(command_bytes) < 64 * 1024
        await trio.sleep(self.rng.uniform(0.0005, 0.005))
        if not self.has_quorum:
            await trio.sleep(timeout_ms / 1000)
            raise NoQuorumError("no majority")
        fault = self.rng.random()
        if fault >= self.fault_rate:
            return self.commit(command)
        if fault < self.fault_rate * 0.6:
            # The proposer gets no answer, but the command may be committed later, once
            # or twice.
            for _ in range(self.rng.choice([0, 1, 1, 2])):
                self.nursery.start_soon(self.commit_later, command)
            await trio.sleep(timeout_ms / 1000)
            raise NoQuorumError("no answer")
        result = self.commit(command)
        if fault < self.fault_rate * 0.8:
            raise NoQuorumError("the answer was lost")
        self.nursery.start_soon(self.commit_later, command)
        return result


@dataclass
class FakeUpstreams:
    """All upstreams; they run submits and fail some of them in different ways."""

    rng: random.Random
    fault_rate: float = 0.0
    runs: Counter = field(default_factory=Counter)
    ran_by: dict = field(default_factory=dict)
    script: list = field(default_factory=list)
    requests: list = field(default_factory=list)

    def choose_behavior(self):
        if self.script:
            return self.script.pop(0)
        if self.rng.random() >= self.fault_rate:
            return "run"
        return self.rng.choice(
            ["shed", "shed", "reset", "lost", "failed", "hang", "bug", "crossed"]
        )

    def run(self, request):
        key = (request.member, request.service, request.idempotency_key)
        self.runs[key] += 1
        self.ran_by[request.caller_request_id] = key
        return f"{request.caller_request_id} ran {request.body!r}".encode()

    async def dispatch(self, request):
        behavior = self.choose_behavior()
        self.requests.append(request)
        await trio.sleep(self.rng.uniform(0.001, 0.02))
        error = (
            UpstreamErrorKind(behavior)
            if behavior in ("shed", "reset", "failed")
            else None
        )
        if behavior == "shed":
            raise UpstreamError("shed", kind=error, run_state=RunState.NOT_RUN)
        if behavior == "reset":
            raise UpstreamError("reset", kind=error, run_state=RunState.UNKNOWN)
        body = self.run(request)
        await trio.sleep(10 if behavior == "hang" else self.rng.uniform(0.001, 0.05))
        if behavior == "failed":
            raise UpstreamError("failed", kind=error, run_state=RunState.RAN)
        if behavior == "lost":
            raise UpstreamError(
                "lost", kind=UpstreamErrorKind.RESET, run_state=RunState.UNKNOWN
            )
        if behavior == "bug":
            raise ValueError("a fault of the adapter")
        request_id = "other" if behavior == "crossed" else request.request_id
        if behavior == "large":
            body *= 2000
        return ShardReply(
            request_id, request.upstream, 1, body, complete=behavior != "partial"
        )


class Process:
    """One process of an instance until it crashes; also its cluster view and lease."""

    def __init__(self, name, boot, cluster, *, data_centre="dc1", crash_after=None):
        self.cluster = cluster
        self.remaining_steps = crash_after
        self.has_crashed = False
        self.lease_end_s = float("inf")
        self.local_data_centre = data_centre
        self.set_configuration(configuration_text())
        self.upstreams = cluster.upstreams_by_name
        self.lease = self
        self.accounts = MemberAccounts()
        self.coordinator = SubmitCoordinator(
            settings=SubmitSettings(record_timeout_ms=20_000),
            view=self,
            dispatcher=self,
            control=self,
            clock=FakeClock(self),
            random=cluster.rng,
            instance=name,
            boot_id=str(boot),
            accounts=self.accounts,
        )

    def set_configuration(self, text):
        self.configuration = parse_configuration(text)

    def is_valid(self, for_ms=0):
        return trio.current_time() + for_ms / 1000 < self.lease_end_s

    def crash_if_due(self):
        """Raise :class:`Crashed` when no steps are left, and on every later call."""
        if self.remaining_steps is not None:
            self.remaining_steps -= 1
            self.has_crashed = self.has_crashed or self.remaining_steps < 0
        if self.has_crashed:
            raise Crashed

    async def propose(self, command, timeout_ms):
        self.crash_if_due()
        result = await self.cluster.control.propose(command, timeout_ms)
        self.crash_if_due()
        if (
            self.cluster.pause_rate
            and self.cluster.rng.random() < self.cluster.pause_rate
        ):
            self.cluster.mock_clock.jump(self.cluster.rng.choice([0.4, 4.0]))
            self.crash_if_due()
        return result

    async def dispatch(self, request):
        self.crash_if_due()
        # A process that was paused after the claim until its lease or deadline ended
        # must not send the submit.
        if not self.is_valid() or request.budget_ms <= 0:
            self.cluster.late_requests.append(request)
        reply = await self.cluster.upstreams.dispatch(request)
        self.crash_if_due()
        return reply

    async def run(self):
        try:
            await self.coordinator.run()
        except Crashed:
            pass


class Cluster:
    """Control log, upstreams and registry that the processes share."""

    def __init__(self, seed, nursery, mock_clock, *, fault_rate=0.0, pause_rate=0.0):
        self.rng = random.Random(seed)
        self.mock_clock = mock_clock
        self.pause_rate = pause_rate
        self.late_requests = []
        self.control = FakeControl(self.rng, nursery, fault_rate)
        self.upstreams = FakeUpstreams(self.rng, fault_rate)
        self.upstreams_by_name = {}
        for name, data_centre in (("u1", "dc1"), ("u2", "dc2"), ("u3", "dc1")):
            self.announce(name, data_centre)
        self.apply(configuration_text())

    def announce(self, name, data_centre, *, owner="i", **fields):
        announcement = Announcement(
            upstream=name,
            incarnation=1,
            data_centre=data_centre,
            address="127.0.0.1:1",
            service=fields.pop("service", "chairbook"),
            holdings=(),
            slots=2,
            connection_limit=25,
            state=fields.pop("state", UpstreamState.READY),
        )
        self.upstreams_by_name[name] = UpstreamRecord(announcement, owner)

    def apply(self, text):
        version = self.control.state.version
        self.control.commit(ApplyConfiguration(f"a{version}", version, text))


def run_cluster(seed, main, **options):
    """Run ``main(cluster, nursery)`` in simulated time with a seeded scheduler."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    mock_clock = MockClock(autojump_threshold=0)

    async def start():
        async with trio.open_nursery() as nursery:
            await main(Cluster(seed, nursery, mock_clock, **options), nursery)
            nursery.cancel_scope.cancel()

    trio.run(start, clock=mock_clock)
