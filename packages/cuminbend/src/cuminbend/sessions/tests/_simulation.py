"""Simulation of instances, voters and their network on one trio clock."""

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
CONNECTION_LINGER_MS = 8000
SNAPSHOT = Snapshot("v1", "p1")
# A voter stands for election if its peers received no heartbeat for this time.
ELECTION_TIMEOUT_MS = 600


def now_ms() -> float:
    """Return the simulated time, which the clocks of machines deviate from."""
    return trio.current_time() * 1000


def make_announcement(
    name: str, data_centre: str = "x", **changes: Any
) -> Announcement:
    """Return an announcement of shard 0 of service ``s``."""
    announcement = Announcement(
        upstream=name,
        incarnation=1,
        data_centre=data_centre,
        address=f"127.0.0.1:{sum(name.encode())}",
        service="s",
        holdings=(Holding(SNAPSHOT, 0),),
        slots=2,
        connection_limit=25,
    )
    return replace(announcement, **changes)


@dataclass
class FakeClock:
    """Clock of one machine, which runs at its own rate and can be paused.

    Attributes:
        clock_rate: Speed relative to the simulated time.
        timer_lag_ratio: Factor by which timers above one second fire late.
        resumed: Set when a paused machine resumes; None while it is running.
    """

    clock_rate: float = 1.0
    timer_lag_ratio: float = 1.0
    resumed: trio.Event | None = None

    @property
    def is_paused(self) -> bool:
        return self.resumed is not None

    def now(self) -> datetime:
        return datetime.fromtimestamp(trio.current_time(), UTC)

    def monotonic_ms(self) -> float:
        return now_ms() * self.clock_rate

    async def sleep(self, delay: timedelta) -> None:
        seconds = delay.total_seconds() / self.clock_rate
        await trio.sleep(seconds * (self.timer_lag_ratio if seconds > 1 else 1))
        await self.wait_until_resumed()

    async def wait_until_resumed(self) -> None:
        while self.resumed is not None:
            await self.resumed.wait()


@dataclass
class Voter:
    """One voter, with its view of the leadership and the configuration."""

    simulation: "SessionSimulation"
    name: str
    term: int = 0
    is_leader: bool = False
    leader: str | None = None
    led_since_ms: float = 0.0
    confirmed_ms: float | None = None
    last_heartbeat_ms: float = 0.0
    version: int = 0
    text: str = ""
    configuration: Configuration | None = None
    quarantined: frozenset[str] = frozenset()
    suspects: dict[str, str] = field(default_factory=dict)

    @property
    def clock(self) -> FakeClock:
        return self.simulation.clocks[self.name]

    def confirmed_at_ms(self) -> float | None:
        return self.confirmed_ms

    def peers(self) -> list["Voter"]:
        voters = self.simulation.voters.values()
        return [
            other
            for other in voters
            if self.simulation.is_connected(self.name, other.name)
        ]

    def run_heartbeat_round(self) -> None:
        """Send one heartbeat round, after winning an election if there is no leader."""
        if self.clock.is_paused:
            return
        peers = self.peers()
        if any(other.term > self.term for other in peers):
            self.is_leader = False
        has_majority = 2 * len(peers) > len(self.simulation.voters)
        if not self.is_leader:
            silent = all(
                now_ms() - other.last_heartbeat_ms > ELECTION_TIMEOUT_MS
                for other in peers
            )
            if (
                not has_majority
                or not silent
                or self.name in self.simulation.barred_candidates
            ):
                return
            self.term = max(other.term for other in peers) + 1
            self.is_leader = True
            self.led_since_ms = self.clock.monotonic_ms()
            self.confirmed_ms = None
        if has_majority:
            self.confirmed_ms = self.clock.monotonic_ms()
            for other in peers:
                other.last_heartbeat_ms, other.leader = now_ms(), self.name
                other.term = self.term
                self.simulation.apply_committed_configuration(other)
                if other is not self:
                    other.is_leader = False


class Process:
    """One process of an instance; also the ownership listener of its client."""

    def __init__(
        self, simulation: "SessionSimulation", info: InstanceInfo, boot: int
    ) -> None:
        self.simulation = simulation
        self.info = info
        self.scope = trio.CancelScope()
        self.killed = False
        self.active_upstreams: dict[str, OwnedUpstream] = {}
        self.work_ends_ms: dict[str, float] = {}
        self.announcements: list[Announcement] = []
        self.grants: list[OwnedUpstream] = []
        self.client = SessionClient(
            settings=SessionSettings(
                voters=tuple(simulation.voters), lease_ms=LEASE_MS
            ),
            info=info,
            transport=_Transport(simulation, info.instance),
            clock=simulation.clocks[info.instance],
            random=simulation.random,
            boot_id=str(boot),
            listener=self,
        )
        self.view = self.client.view

    def add_upstream(self, grant: OwnedUpstream, announcement: Announcement) -> None:
        assert grant.upstream not in self.active_upstreams
        self.active_upstreams[grant.upstream] = grant
        self.grants.append(grant)
        self.simulation.check_invariants()

    async def release_upstream(self, upstream: str) -> GateHandover:
        # Work in flight has deadlines before the end of the lease.
        self.work_ends_ms[upstream] = self.view.lease.expires_at_ms
        clock = self.simulation.clocks[self.info.instance]
        await clock.sleep(
            timedelta(milliseconds=self.simulation.random.uniform(0, 300))
        )
        del self.active_upstreams[upstream], self.work_ends_ms[upstream]
        return GateHandover(upstream=upstream, incarnation=1, limit=7)

    def update_announcement(self, announcement: Announcement) -> None:
        self.announcements.append(announcement)

    def describe_ownership(self) -> str:
        """Return grants and release deadlines for an assertion message."""
        ids = {name: hex(item.grant_id) for name, item in self.active_upstreams.items()}
        return f"{self.info.instance} killed={self.killed} {ids} {self.work_ends_ms}"

    def upstreams_in_use(self) -> list[str]:
        """Return the upstreams that may be running work of this process."""
        lease_ms = self.view.lease.expires_at_ms
        read_ms = self.simulation.clocks[self.info.instance].monotonic_ms()
        return [
            upstream
            for upstream in self.active_upstreams
            if self.work_ends_ms.get(upstream, lease_ms) > read_ms
        ]

    async def run(self) -> None:
        with self.scope:
            await self.client.run()


@dataclass
class _Transport:
    """Sends polls through the simulated network, which can delay and drop messages."""

    simulation: "SessionSimulation"
    source: str

    async def poll(
        self, instance: str, request: PollRequest, timeout_ms: float
    ) -> PollReply:
        simulation, clock = self.simulation, self.simulation.clocks[self.source]
        simulation.polls.append((self.source, instance))
        simulation.requests.append((self.source, request))
        outcomes: list[PollReply | CuminbendError] = []
        delivered = trio.Event()

        async def serve_poll() -> None:
            if not await simulation.deliver(self.source, instance):
                return
            try:
                outcomes.append(await simulation.serve_poll(instance, request))
            except CuminbendError as error:
                outcomes.append(error)
            if await simulation.deliver(
                instance, self.source
            ) and not simulation.should_drop(instance, self.source, outcomes[0]):
                delivered.set()

        simulation.nursery.start_soon(serve_poll)
        with trio.move_on_after(timeout_ms / 1000):
            await delivered.wait()
        await clock.wait_until_resumed()
        if not delivered.is_set():
            raise PeerUnreachableError(instance, sent=True)
        if isinstance(outcomes[0], CuminbendError):
            raise outcomes[0]
        return outcomes[0]


class SessionSimulation:
    """Clocks, voters, instances and network, and the invariants that must hold."""

    def __init__(self, seed: int, nursery: trio.Nursery, **settings: Any) -> None:
        self.random = random.Random(seed)
        self.nursery = nursery
        self.clocks: dict[str, FakeClock] = {}
        self.voters: dict[str, Voter] = {}
        self.coordinators: dict[str, SessionCoordinator] = {}
        self.processes: list[Process] = []
        self.current_processes: dict[str, Process] = {}
        self.current_announcements: dict[str, Announcement] = {}
        self.silent_upstreams: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.barred_candidates: set[str] = set()
        self.committed_configuration = (0, "")
        self.out_of_service_since: dict[str, float] = {}
        self.polls: list[tuple[str, str]] = []
        self.requests: list[tuple[str, PollRequest]] = []
        self.should_drop: Callable[[str, str, object], bool] = lambda *_: False
        self.settings = CoordinatorSettings(
            lease_ms=LEASE_MS, connection_linger_ms=CONNECTION_LINGER_MS, **settings
        )
        self._boots = itertools.count()

    # Setup

    def add_instance(self, name: str, data_centre: str, *, voter: bool) -> None:
        # Two clocks differ by at most 1%, which is within the drift margin.
        self.clocks[name] = FakeClock(clock_rate=self.random.uniform(0.995, 1.005))
        self.current_processes[name] = None  # type: ignore[assignment]
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
        """Start a process of an instance; kill the one that is running."""
        former = self.current_processes[name]
        if former is not None:
            former.scope.cancel()
            former.killed = True
        process = Process(self, self._info[name], next(self._boots))
        self.current_processes[name] = process
        self.processes.append(process)
        self.nursery.start_soon(process.run)
        return process

    def apply_configuration(self, *out_of_service: str) -> None:
        """Commit a configuration with the named data centres out of service."""
        lines = ['[cluster]\nname = "c"', '[[members]]\nname = "m"']
        lines += ['[[services]]\nname = "s"\nshards = {p1 = 1}']
        for name in sorted({info.data_centre for info in self._info.values()}):
            in_service = str(name not in out_of_service).lower()
            lines += [f'[[data_centres]]\nname = "{name}"\nin_service = {in_service}']
        self.committed_configuration = (
            self.committed_configuration[0] + 1,
            "\n".join(lines),
        )
        self.out_of_service_since = {
            name: self.out_of_service_since.get(name, now_ms())
            for name in out_of_service
        }

    def apply_committed_configuration(self, voter: Voter) -> None:
        if voter.version != self.committed_configuration[0]:
            voter.version, voter.text = self.committed_configuration
            voter.configuration = parse_configuration(voter.text)
            self.coordinators[voter.name].on_configuration_changed()

    # Network

    def is_connected(self, a: str, b: str) -> bool:
        any_paused = self.clocks[a].is_paused or self.clocks[b].is_paused
        return frozenset((a, b)) not in self.cut_links and not any_paused

    async def deliver(self, a: str, b: str) -> bool:
        """Delay a message; return whether it is delivered."""
        await self.clocks[a].wait_until_resumed()
        if frozenset((a, b)) in self.cut_links:
            return False
        await trio.sleep(self.random.uniform(0.0005, 0.002))
        await self.clocks[b].wait_until_resumed()
        return True

    async def serve_poll(self, name: str, request: PollRequest) -> PollReply:
        voter = self.voters[name]
        if (
            not voter.is_leader
            and voter.leader
            and self.is_connected(name, voter.leader)
        ):
            if voter.leader == name:
                raise NotLeaderError(None)
            return await self.serve_poll(voter.leader, request)
        return await self.coordinators[name].poll(request)

    def disconnect(self, name: str, others: list[str] | None = None) -> None:
        for other in others or [item for item in self.clocks if item != name]:
            self.cut_links.add(frozenset((name, other)))

    def pause(self, name: str) -> None:
        if not self.clocks[name].is_paused:
            self.clocks[name].resumed = trio.Event()

    def resume(self, name: str) -> None:
        resumed, self.clocks[name].resumed = self.clocks[name].resumed, None
        if resumed is not None:
            resumed.set()

    @property
    def leader(self) -> str:
        """The voter that leads with the highest term."""
        return max((v for v in self.voters.values()), key=_leading_term).name

    # Running

    async def run(self) -> None:
        """Elect leaders, announce upstreams and check the invariants."""
        for tick in itertools.count():
            for voter in self.voters.values():
                voter.run_heartbeat_round()
            if tick % 50 == 0:
                for announcement in self.current_announcements.values():
                    self.announce(announcement)
            self.check_invariants()
            await trio.sleep(0.02)

    def announce(self, announcement: Announcement) -> None:
        """Announce an upstream to a random instance that is running."""
        self.current_announcements[announcement.upstream] = announcement
        running_processes = [
            process
            for name, process in self.current_processes.items()
            if process is not None and not self.clocks[name].is_paused
        ]
        if running_processes and announcement.upstream not in self.silent_upstreams:
            self.random.choice(running_processes).client.announce(announcement)

    def check_invariants(self) -> None:
        """Assert the invariants.

        An upstream has one owner at a time, owners stop work in a data centre within a
        lease after it goes out of service, and connection caps stay within the limit.
        """
        owners: dict[str, Process] = {}
        caps: dict[str, int] = {}
        for process in self.processes:
            # Work sent by a killed process may run until its lease would have ended.
            for upstream in process.upstreams_in_use():
                assert upstream not in owners, (
                    f"{upstream} has two owners at {now_ms():.0f} ms: "
                    f"{owners[upstream].describe_ownership()} "
                    f"and {process.describe_ownership()}"
                )
                owners[upstream] = process
                data_centre = self.current_announcements[upstream].data_centre
                if (
                    upstream in process.view.owned
                    and data_centre in self.out_of_service_since
                ):
                    out_ms = now_ms() - self.out_of_service_since[data_centre]
                    assert out_ms <= LEASE_MS, (
                        f"{upstream} is still owned {out_ms:.0f} ms after its "
                        "data centre went out of service"
                    )
            clock = self.clocks[process.info.instance]
            end_ms = process.view.lease.expires_at_ms + CONNECTION_LINGER_MS
            if not process.killed or clock.monotonic_ms() < end_ms:
                for upstream, grant in process.active_upstreams.items():
                    caps[upstream] = caps.get(upstream, 0) + grant.connection_cap
        for upstream, total in caps.items():
            assert total <= self.current_announcements[upstream].connection_limit, (
                f"the caps of the owners of {upstream} exceed its connection limit"
            )

    def owner(self, upstream: str) -> Process | None:
        """Return the process that may send work to an upstream, or None."""
        for process in self.current_processes.values():
            if upstream in process.view.owned and process.view.lease.is_valid():
                return process
        return None


def _leading_term(voter: Voter) -> float:
    return voter.term if voter.is_leader else -math.inf


def run_scenario(
    scenario: Callable[[SessionSimulation], Awaitable[None]],
    *,
    seed: int = 1,
    instances: str = "a:x* b:y* c:z* d:x e:y",
    **settings: Any,
) -> None:
    """Run a scenario with a seeded scheduler on simulated time.

    Each item of ``instances`` is ``name:data_centre``, with a star after a voter.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            simulation = SessionSimulation(seed, nursery, **settings)
            for item in instances.split():
                name, data_centre = item.rstrip("*").split(":")
                simulation.add_instance(name, data_centre, voter=item.endswith("*"))
            simulation.apply_configuration()
            for name in simulation.clocks:
                simulation.start(name)
            nursery.start_soon(simulation.run)
            await scenario(simulation)
            nursery.cancel_scope.cancel()

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
