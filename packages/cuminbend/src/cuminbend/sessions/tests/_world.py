"""Instances, voters and a network under test, on one trio clock."""

import itertools
import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from typing import Any

import trio
import trio.testing

from cuminbend.config import Configuration, parse_configuration
from cuminbend.exceptions import CuminbendError, NotLeaderError, PeerUnreachableError
from cuminbend.messages import (
    Announcement,
    GateHandover,
    Holding,
    InstanceInfo,
    OwnedUpstream,
    PollReply,
    PollRequest,
    Snapshot,
)
from cuminbend.sessions import (
    CoordinatorSettings,
    SessionClient,
    SessionCoordinator,
    SessionSettings,
)

LEASE_MS = 3000
LINGER_MS = 8000
SNAPSHOT = Snapshot("v1", "p1")


def now_ms() -> float:
    """Return the true time."""
    return trio.current_time() * 1000


def announcement(name: str, data_centre: str = "x", **changes: Any) -> Announcement:
    """Return an announcement of shard 0 of service ``s``."""
    said = Announcement(
        upstream=name,
        incarnation=1,
        data_centre=data_centre,
        address=f"127.0.0.1:{sum(name.encode())}",
        service="s",
        holdings=(Holding(SNAPSHOT, 0),),
        slots=2,
        connection_limit=25,
    )
    return replace(said, **changes)


@dataclass
class FakeClock:
    """Clock of one machine: runs a little fast or slow; a freeze holds wake-ups.

    Timers above a second fire late by the factor ``lag``.
    """

    rate: float = 1.0
    lag: float = 1.0
    thawed: trio.Event | None = None

    @property
    def is_frozen(self) -> bool:
        return self.thawed is not None

    def now(self) -> datetime:
        return datetime.fromtimestamp(trio.current_time(), UTC)

    def monotonic_ms(self) -> float:
        return now_ms() * self.rate

    async def sleep(self, delay: timedelta) -> None:
        seconds = delay.total_seconds() / self.rate
        await trio.sleep(seconds * (self.lag if seconds > 1 else 1))
        await self.running()

    async def running(self) -> None:
        while self.thawed is not None:
            await self.thawed.wait()


@dataclass
class Voter:
    """Leadership and configuration as one voter sees them."""

    world: "World"
    name: str
    term: int = 0
    is_leader: bool = False
    leader: str | None = None
    led_since_ms: float = 0.0
    confirmed_ms: float | None = None
    heard_ms: float = 0.0
    version: int = 0
    text: str = ""
    configuration: Configuration | None = None
    quarantined: frozenset[str] = frozenset()
    suspects: dict[str, str] = field(default_factory=dict)

    @property
    def clock(self) -> FakeClock:
        return self.world.clocks[self.name]

    def confirmed_at_ms(self) -> float | None:
        return self.confirmed_ms

    def peers(self) -> list["Voter"]:
        voters = self.world.voters.values()
        return [
            other for other in voters if self.world.connected(self.name, other.name)
        ]

    def step(self) -> None:
        """Send one heartbeat round or stand for election."""
        if self.clock.is_frozen:
            return
        peers = self.peers()
        if any(other.term > self.term for other in peers):
            self.is_leader = False
        has_majority = 2 * len(peers) > len(self.world.voters)
        if not self.is_leader:
            silent = all(now_ms() - other.heard_ms > 600 for other in peers)
            if not has_majority or not silent or self.name in self.world.no_candidates:
                return
            self.term = max(other.term for other in peers) + 1
            self.is_leader = True
            self.led_since_ms = self.clock.monotonic_ms()
            self.confirmed_ms = None
        if has_majority:
            self.confirmed_ms = self.clock.monotonic_ms()
            for other in peers:
                other.heard_ms, other.leader = now_ms(), self.name
                other.term = self.term
                self.world.configure(other)
                if other is not self:
                    other.is_leader = False


class Process:
    """One run of an instance, and the listener of its client."""

    def __init__(self, world: "World", info: InstanceInfo, boot: int) -> None:
        self.world = world
        self.info = info
        self.scope = trio.CancelScope()
        self.killed = False
        self.working: dict[str, OwnedUpstream] = {}
        self.ending_ms: dict[str, float] = {}
        self.announcements: list[Announcement] = []
        self.grants: list[OwnedUpstream] = []
        self.client = SessionClient(
            settings=SessionSettings(voters=tuple(world.voters), lease_ms=LEASE_MS),
            info=info,
            transport=_Transport(world, info.instance),
            clock=world.clocks[info.instance],
            random=world.random,
            boot_id=str(boot),
            listener=self,
        )
        self.view = self.client.view

    def add_upstream(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        assert owned.upstream not in self.working
        self.working[owned.upstream] = owned
        self.grants.append(owned)
        self.world.check()

    async def release_upstream(self, upstream: str) -> GateHandover:
        # Work in flight was sent with deadlines before the end of the lease.
        self.ending_ms[upstream] = self.view.lease.expires_at_ms
        clock = self.world.clocks[self.info.instance]
        await clock.sleep(timedelta(milliseconds=self.world.random.uniform(0, 300)))
        del self.working[upstream], self.ending_ms[upstream]
        return GateHandover(upstream=upstream, incarnation=1, limit=7)

    def update_announcement(self, announcement: Announcement) -> None:
        self.announcements.append(announcement)

    def describe(self) -> str:
        """Return what an assertion message needs."""
        ids = {name: hex(item.grant_id) for name, item in self.working.items()}
        return f"{self.info.instance} killed={self.killed} {ids} {self.ending_ms}"

    def held(self) -> list[str]:
        """Return the upstreams that may have work of this process."""
        lease_ms = self.view.lease.expires_at_ms
        read_ms = self.world.clocks[self.info.instance].monotonic_ms()
        return [
            upstream
            for upstream in self.working
            if self.ending_ms.get(upstream, lease_ms) > read_ms
        ]

    async def run(self) -> None:
        with self.scope:
            await self.client.run()


@dataclass
class _Transport:
    """Carries polls; drops, delays and repeats them as the world says."""

    world: "World"
    source: str

    async def poll(
        self, instance: str, request: PollRequest, timeout_ms: float
    ) -> PollReply:
        world, clock = self.world, self.world.clocks[self.source]
        world.polls.append((self.source, instance))
        world.requests.append((self.source, request))
        outcome: list[PollReply | CuminbendError] = []
        done = trio.Event()

        async def serve() -> None:
            if not await world.carry(self.source, instance):
                return
            try:
                outcome.append(await world.serve(instance, request))
            except CuminbendError as error:
                outcome.append(error)
            if await world.carry(instance, self.source) and not world.drop(
                instance, self.source, outcome[0]
            ):
                done.set()

        world.nursery.start_soon(serve)
        with trio.move_on_after(timeout_ms / 1000):
            await done.wait()
        await clock.running()
        if not done.is_set():
            raise PeerUnreachableError(instance, sent=True)
        if isinstance(outcome[0], CuminbendError):
            raise outcome[0]
        return outcome[0]


class World:
    """Everything under test, and the rules that must hold at any moment."""

    def __init__(self, seed: int, nursery: trio.Nursery, **settings: Any) -> None:
        self.random = random.Random(seed)
        self.nursery = nursery
        self.clocks: dict[str, FakeClock] = {}
        self.voters: dict[str, Voter] = {}
        self.coordinators: dict[str, SessionCoordinator] = {}
        self.processes: list[Process] = []
        self.current: dict[str, Process] = {}
        self.announced: dict[str, Announcement] = {}
        self.silent_upstreams: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.no_candidates: set[str] = set()
        self.committed = (0, "")
        self.out_since: dict[str, float] = {}
        self.polls: list[tuple[str, str]] = []
        self.requests: list[tuple[str, PollRequest]] = []
        self.drop: Callable[[str, str, object], bool] = lambda *_: False
        self.settings = CoordinatorSettings(
            lease_ms=LEASE_MS, connection_linger_ms=LINGER_MS, **settings
        )
        self._boots = itertools.count()

    # Building

    def add_instance(self, name: str, data_centre: str, *, voter: bool) -> None:
        # Two clocks differ by at most 1%, within the drift margin.
        self.clocks[name] = FakeClock(rate=self.random.uniform(0.995, 1.005))
        self.current[name] = None  # type: ignore[assignment]
        if voter:
            state = self.voters[name] = Voter(self, name)
            self.coordinators[name] = SessionCoordinator(
                settings=self.settings,
                clock=self.clocks[name],
                leadership=state,
                configuration=state,
            )
        self._info = getattr(self, "_info", {})
        self._info[name] = InstanceInfo(name, data_centre, f"{name}:1", f"{name}:2")

    def start(self, name: str) -> Process:
        """Start an instance, killing the process that runs it."""
        former = self.current[name]
        if former is not None:
            former.scope.cancel()
            former.killed = True
        process = Process(self, self._info[name], next(self._boots))
        self.current[name] = process
        self.processes.append(process)
        self.nursery.start_soon(process.run)
        return process

    def apply(self, *out: str) -> None:
        """Commit a configuration under which some data centres are out of service."""
        lines = ['[cluster]\nname = "c"', '[[members]]\nname = "m"']
        lines += ['[[services]]\nname = "s"\nshards = {p1 = 1}']
        for name in sorted({info.data_centre for info in self._info.values()}):
            in_service = str(name not in out).lower()
            lines += [f'[[data_centres]]\nname = "{name}"\nin_service = {in_service}']
        self.committed = (self.committed[0] + 1, "\n".join(lines))
        self.out_since = {name: self.out_since.get(name, now_ms()) for name in out}

    def configure(self, voter: Voter) -> None:
        if voter.version != self.committed[0]:
            voter.version, voter.text = self.committed
            voter.configuration = parse_configuration(voter.text)
            self.coordinators[voter.name].configuration_changed()

    # Network

    def connected(self, a: str, b: str) -> bool:
        frozen = self.clocks[a].is_frozen or self.clocks[b].is_frozen
        return frozenset((a, b)) not in self.cuts and not frozen

    async def carry(self, a: str, b: str) -> bool:
        """Bring a message over; return False if it is lost."""
        await self.clocks[a].running()
        if frozenset((a, b)) in self.cuts:
            return False
        await trio.sleep(self.random.uniform(0.0005, 0.002))
        await self.clocks[b].running()
        return True

    async def serve(self, name: str, request: PollRequest) -> PollReply:
        voter = self.voters[name]
        if not voter.is_leader and voter.leader and self.connected(name, voter.leader):
            if voter.leader == name:
                raise NotLeaderError(None)
            return await self.serve(voter.leader, request)
        return await self.coordinators[name].poll(request)

    def cut_off(self, name: str, others: list[str] | None = None) -> None:
        for other in others or [item for item in self.clocks if item != name]:
            self.cuts.add(frozenset((name, other)))

    def freeze(self, name: str) -> None:
        if not self.clocks[name].is_frozen:
            self.clocks[name].thawed = trio.Event()

    def thaw(self, name: str) -> None:
        thawed, self.clocks[name].thawed = self.clocks[name].thawed, None
        if thawed is not None:
            thawed.set()

    @property
    def leader(self) -> str:
        """The voter that leads with the highest term."""
        return max((v for v in self.voters.values()), key=_leading).name

    # Running

    async def run(self) -> None:
        """Elect leaders, announce upstreams and check the rules."""
        for tick in itertools.count():
            for voter in self.voters.values():
                voter.step()
            if tick % 50 == 0:
                for said in self.announced.values():
                    self.announce(said)
            self.check()
            await trio.sleep(0.02)

    def announce(self, said: Announcement) -> None:
        """Announce an upstream to an instance that is up."""
        self.announced[said.upstream] = said
        up = [
            process
            for name, process in self.current.items()
            if process is not None and not self.clocks[name].is_frozen
        ]
        if up and said.upstream not in self.silent_upstreams:
            self.random.choice(up).client.announce(said)

    def check(self) -> None:
        """Assert what must hold at any moment."""
        owners: dict[str, Process] = {}
        caps: dict[str, int] = {}
        for process in self.processes:
            # What a killed process sent may still run until its lease would end.
            for upstream in process.held():
                assert upstream not in owners, (
                    f"{upstream} at {now_ms():.0f}: {owners[upstream].describe()} "
                    f"and {process.describe()}"
                )
                owners[upstream] = process
                data_centre = self.announced[upstream].data_centre
                if upstream in process.view.owned and data_centre in self.out_since:
                    out_ms = now_ms() - self.out_since[data_centre]
                    assert out_ms <= LEASE_MS, f"{upstream} out for {out_ms:.0f} ms"
            clock = self.clocks[process.info.instance]
            end_ms = process.view.lease.expires_at_ms + LINGER_MS
            if not process.killed or clock.monotonic_ms() < end_ms:
                for upstream, grant in process.working.items():
                    caps[upstream] = caps.get(upstream, 0) + grant.connection_cap
        for upstream, total in caps.items():
            assert total <= self.announced[upstream].connection_limit, upstream

    def owner(self, upstream: str) -> Process | None:
        """Return the process that may send work to an upstream."""
        for process in self.current.values():
            if upstream in process.view.owned and process.view.lease.is_valid():
                return process
        return None


def _leading(voter: Voter) -> float:
    return voter.term if voter.is_leader else -math.inf


def simulate(
    scenario: Callable[[World], Awaitable[None]],
    *,
    seed: int = 1,
    instances: str = "a:x* b:y* c:z* d:x e:y",
    **settings: Any,
) -> None:
    """Run a scenario; a star after the data centre marks a voter."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(seed, nursery, **settings)
            for item in instances.split():
                name, data_centre = item.rstrip("*").split(":")
                world.add_instance(name, data_centre, voter=item.endswith("*"))
            world.apply()
            for name in world.clocks:
                world.start(name)
            nursery.start_soon(world.run)
            await scenario(world)
            nursery.cancel_scope.cancel()

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
