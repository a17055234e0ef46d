"""Fake cluster: instances that run the production code over fake ports."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from cuminbend.accounts import MemberAccounts
from cuminbend.exceptions import (
    NoQuorumError,
    PeerUnreachableError,
    RunState,
    UnavailableError,
)
from cuminbend.messages import (
    Announcement,
    InstanceInfo,
    PollReply,
    PollRequest,
    ShardReply,
    ShardRequest,
)
from cuminbend.query import QueryCoordinator, QuerySettings
from cuminbend.replicated import (
    ApplyConfiguration,
    ReplicatedState,
    decode_result,
    encode_command,
)
from cuminbend.sessions import (
    CoordinatorSettings,
    Lease,
    SessionClient,
    SessionCoordinator,
    SessionSettings,
    SessionView,
)
from cuminbend.submit import SubmitCoordinator, SubmitSettings
from cuminbend.upstreams import GateSettings, GateTable

from inprocess._clock import EPOCH, VirtualClock
from inprocess._upstreams import FakeUpstreams, LatencyFunction

LEADER = "leader"
ANNOUNCE_INTERVAL_S = 1.0
_LOCAL_ONE_WAY_S = 0.00005
_HEARTBEAT_AGE_MS = 50.0
_FOLLOW_INTERVAL_S = 0.05
_OWNERSHIP_POLL_S = 0.05


class _ConstantLeadership:
    """A leader that is always confirmed; the tests of consensus cover elections."""

    is_leader = True
    leader = LEADER
    term = 1

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        # Leases of former terms ended long before the run starts.
        self.led_since_ms = -1e9

    def confirmed_at_ms(self) -> float | None:
        """Return the start of the last heartbeat round, up to 100 ms ago."""
        return self._clock.monotonic_ms() - _HEARTBEAT_AGE_MS


class _AttemptCounter:
    def __init__(self) -> None:
        self.attempts = 0

    def search_finished(self, **_: Any) -> None:
        """Ignore the event, because the callers record the answers."""

    def attempt_finished(self, **_: Any) -> None:
        """Count an attempt at an upstream."""
        self.attempts += 1


class _ConfiguredShares:
    def __init__(self, view: SessionView) -> None:
        self._view = view

    def share(self, member: str) -> float:
        """Return the configured share of a member, 1.0 if it is unknown."""
        configuration = self._view.configuration
        members = configuration.members_by_name if configuration else {}
        return members[member].share if member in members else 1.0


class FakeInstance:
    """An entry instance whose peers, upstreams and control log are fakes.

    Attributes:
        is_cut_off: Whether a network partition separates the instance from the leader,
            from the instances that are not cut off and from all upstreams.
    """

    def __init__(
        self,
        *,
        cluster: "FakeCluster",
        name: str,
        data_centre: str,
        query_settings: QuerySettings,
        gate_settings: GateSettings,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.cluster = cluster
        self.clock = VirtualClock()
        self.is_cut_off = False
        self.observer = _AttemptCounter()
        rng = random.Random(f"{cluster.seed}/{name}")
        self.view = SessionView(
            lease=Lease(clock=self.clock, lease_ms=cluster.lease_ms),
            clock=self.clock,
            local_data_centre=data_centre,
        )
        latency = LatencyFunction(
            origin=data_centre, cross_data_centre_ms=cluster.cross_data_centre_ms
        )
        self.transport = cluster.upstreams.transport(latency_ms=latency)
        self.gates = GateTable(
            settings=gate_settings,
            transport=self.transport,
            clock=self.clock,
            random=rng,
            lease=self.view.lease,
            control=self,
            shares=_ConfiguredShares(self.view),
            data_centre_in_service=self.view.is_in_service,
            suspect_view=self.view,
        )
        self.sessions = SessionClient(
            settings=SessionSettings(voters=(LEADER,), lease_ms=cluster.lease_ms),
            info=InstanceInfo(name, data_centre, f"{name}:1", f"{name}:2"),
            transport=self,
            clock=self.clock,
            random=rng,
            boot_id=f"boot-{name}",
            listener=self.gates,
            view=self.view,
        )
        self.queries = QueryCoordinator(
            settings=query_settings,
            view=self.view,
            dispatcher=self,
            clock=self.clock,
            random=rng,
            observer=self.observer,
        )
        self.submits = SubmitCoordinator(
            settings=SubmitSettings(),
            view=self.view,
            dispatcher=self,
            control=self,
            clock=self.clock,
            random=rng,
            instance=name,
            boot_id=f"boot-{name}",
            accounts=MemberAccounts(),
        )

    def cut_off(self) -> None:
        """Start a network partition; see ``is_cut_off``."""
        self.is_cut_off = self.transport.is_cut_off = True

    def reconnect(self) -> None:
        """End the network partition."""
        self.is_cut_off = self.transport.is_cut_off = False

    async def poll(
        self, instance: str, request: PollRequest, timeout_ms: float
    ) -> PollReply:
        """Poll the leader over the fake network.

        Raises:
            PeerUnreachableError: The leader did not answer in time.
        """
        try:
            with anyio.fail_after(timeout_ms / 1000):
                await self._cross_network()
                reply = await self.cluster.coordinator.poll(request)
                await self._cross_network()
                return reply
        except TimeoutError as error:
            raise PeerUnreachableError(instance, sent=True) from error

    async def _cross_network(self) -> None:
        await self.clock.resumed.wait()
        if self.is_cut_off:
            await anyio.sleep_forever()
        await anyio.sleep(self.cluster.cross_data_centre_ms / 1000)

    async def propose(self, command: Any, timeout_ms: float) -> Any:
        """Commit a command on the fake control log.

        Raises:
            NoQuorumError: The leader did not answer in time.
        """
        try:
            with anyio.fail_after(timeout_ms / 1000):
                await self._cross_network()
                result = self.cluster.apply_command(command)
                await self._cross_network()
                return result
        except TimeoutError as error:
            raise NoQuorumError("no quorum") from error

    async def dispatch(self, request: ShardRequest) -> ShardReply:
        """Run a request at the owner of its upstream.

        Raises:
            UnavailableError: No owner is known, or the owner cannot be reached.
        """
        record = self.view.upstreams.get(request.upstream)
        if record is None or record.owner is None:
            raise UnavailableError("no owner", retry_after_ms=100)
        if record.owner == self.name:
            return await self.gates.run(request)
        owner = self.cluster.instances[record.owner]
        if owner.is_cut_off != self.is_cut_off:
            raise UnavailableError("unreachable", run_state=RunState.NOT_RUN)
        one_way_s = _LOCAL_ONE_WAY_S
        if owner.data_centre != self.data_centre:
            one_way_s = self.cluster.cross_data_centre_ms / 1000
        await anyio.sleep(one_way_s)
        await owner.clock.resumed.wait()
        try:
            reply = await owner.gates.run(request)
        finally:
            await anyio.sleep(one_way_s)
        if owner.is_cut_off != self.is_cut_off:
            raise UnavailableError("reply lost", run_state=RunState.UNKNOWN)
        return reply


class FakeCluster:
    """Entry instances, one leader and upstreams on virtual time."""

    def __init__(
        self,
        *,
        upstreams: FakeUpstreams,
        data_centres: tuple[str, ...],
        instances: int = 8,
        cross_data_centre_ms: float = 0.5,
        lease_ms: float = 3000,
        seed: int = 0,
        query_settings: QuerySettings | None = None,
        gate_settings: GateSettings | None = None,
    ) -> None:
        self.upstreams = upstreams
        self.cross_data_centre_ms = cross_data_centre_ms
        self.lease_ms = lease_ms
        self.seed = seed
        self.clock = VirtualClock()
        self.state = ReplicatedState()
        self.coordinator = SessionCoordinator(
            settings=CoordinatorSettings(lease_ms=lease_ms),
            clock=self.clock,
            leadership=_ConstantLeadership(self.clock),
            configuration=self.state,
        )
        self.state.on_configuration_change = self.coordinator.on_configuration_changed
        self.instances: dict[str, FakeInstance] = {}
        for index in range(instances):
            name = f"entry-{index + 1}"
            self.instances[name] = FakeInstance(
                cluster=self,
                name=name,
                data_centre=data_centres[index % len(data_centres)],
                query_settings=query_settings or QuerySettings(),
                gate_settings=gate_settings or GateSettings(),
            )

    def apply_command(self, command: Any) -> Any:
        """Apply a command to the state machine and return its decoded result."""
        at_ms = (EPOCH.timestamp() + anyio.current_time()) * 1000
        return decode_result(
            self.state.apply("command", encode_command(command), at_ms)
        )

    def configure(self, text: str) -> None:
        """Apply an operator file on top of the version in force.

        Raises:
            ValueError: The operator file has problems; the error contains them.
        """
        version = self.state.version
        result = self.apply_command(
            ApplyConfiguration(f"apply-{version}", version, text)
        )
        if not result.accepted:
            raise ValueError(result.problems)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all instances and announce all upstreams until the context ends."""
        async with anyio.create_task_group() as task_group:
            for instance in self.instances.values():
                task_group.start_soon(instance.sessions.run)
                task_group.start_soon(instance.submits.run)
                task_group.start_soon(self._follow_configuration, instance)
            task_group.start_soon(self._announce_periodically)
            yield
            task_group.cancel_scope.cancel()

    async def _follow_configuration(self, instance: FakeInstance) -> None:
        version = 0
        while True:
            if instance.view.configuration_version != version:
                version = instance.view.configuration_version
                instance.gates.on_configuration_changed()
            await anyio.sleep(_FOLLOW_INTERVAL_S)

    async def _announce_periodically(self) -> None:
        while True:
            for upstream in self.upstreams.by_name.values():
                if not upstream.lost:
                    self.announce(upstream.current_announcement())
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    def announce(self, announcement: Announcement) -> None:
        """Send an announcement to the first instance that is not cut off."""
        for instance in self.instances.values():
            if not instance.is_cut_off:
                instance.sessions.announce(announcement)
                return

    async def wait_until_owned(self, timeout_s: float = 20.0) -> None:
        """Wait until every instance sees an owner for every upstream.

        Raises:
            TimeoutError: An upstream has no owner after ``timeout_s``.
        """
        upstream_count = len(self.upstreams.by_name)
        with anyio.fail_after(timeout_s):
            while not all(  # noqa: ASYNC110 (virtual time)
                sum(
                    record.owner is not None
                    for record in instance.view.upstreams.values()
                )
                == upstream_count
                for instance in self.instances.values()
            ):
                await anyio.sleep(_OWNERSHIP_POLL_S)
