"""Instances with real decisions over fake ports."""

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
ANNOUNCE_S = 1.0


class _Leadership:
    """A leader that is always confirmed; elections are proved elsewhere."""

    is_leader = True
    leader = LEADER
    term = 1

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        # Leases of former terms have ended long before the session starts.
        self.led_since_ms = -1e9

    def confirmed_at_ms(self) -> float | None:
        """Return the start of the last heartbeat round, up to 100 ms ago."""
        return self._clock.monotonic_ms() - 50.0


class _Observer:
    def __init__(self) -> None:
        self.attempts = 0

    def search_finished(self, **_: Any) -> None:
        """Ignore; callers keep the answers."""

    def attempt_finished(self, **_: Any) -> None:
        """Count a request to an upstream."""
        self.attempts += 1


class _Shares:
    def __init__(self, view: SessionView) -> None:
        self._view = view

    def share(self, member: str) -> float:
        """Return the configured weight."""
        configuration = self._view.configuration
        members = configuration.members_by_name if configuration else {}
        return members[member].share if member in members else 1.0


class FakeInstance:
    """One entry instance."""

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
        self.cut = False
        self.observer = _Observer()
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
            shares=_Shares(self.view),
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
        """Cut it off from all instances that are not cut off and from upstreams."""
        self.cut = self.transport.cut = True

    def reconnect(self) -> None:
        """End the network partition."""
        self.cut = self.transport.cut = False

    async def poll(
        self, instance: str, request: PollRequest, timeout_ms: float
    ) -> PollReply:
        """Poll the leader over the fake network."""
        try:
            with anyio.fail_after(timeout_ms / 1000):
                await self._cross()
                reply = await self.cluster.coordinator.poll(request)
                await self._cross()
                return reply
        except TimeoutError as error:
            raise PeerUnreachableError(instance, sent=True) from error

    async def _cross(self) -> None:
        await self.clock.resume.wait()
        if self.cut:
            await anyio.sleep_forever()
        await anyio.sleep(self.cluster.cross_data_centre_ms / 1000)

    async def propose(self, command: Any, timeout_ms: float) -> Any:
        """Commit a command on the fake control log."""
        try:
            with anyio.fail_after(timeout_ms / 1000):
                await self._cross()
                result = self.cluster.apply(command)
                await self._cross()
                return result
        except TimeoutError as error:
            raise NoQuorumError("no quorum") from error

    async def dispatch(self, request: ShardRequest) -> ShardReply:
        """Run a request at the owner of its upstream."""
        record = self.view.upstreams.get(request.upstream)
        if record is None or record.owner is None:
            raise UnavailableError("no owner", retry_after_ms=100)
        if record.owner == self.name:
            return await self.gates.run(request)
        owner = self.cluster.instances[record.owner]
        if owner.cut != self.cut:
            raise UnavailableError("unreachable", run_state=RunState.NOT_RUN)
        one_way_s = 0.00005
        if owner.data_centre != self.data_centre:
            one_way_s = self.cluster.cross_data_centre_ms / 1000
        await anyio.sleep(one_way_s)
        await owner.clock.resume.wait()
        try:
            reply = await owner.gates.run(request)
        finally:
            await anyio.sleep(one_way_s)
        if owner.cut != self.cut:
            raise UnavailableError("reply lost", run_state=RunState.UNKNOWN)
        return reply


class FakeCluster:
    """Instances, one leader and upstreams on virtual time."""

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
            leadership=_Leadership(self.clock),
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

    def apply(self, command: Any) -> Any:
        """Apply a command to the state machine."""
        at_ms = (EPOCH.timestamp() + anyio.current_time()) * 1000
        return decode_result(
            self.state.apply("command", encode_command(command), at_ms)
        )

    def configure(self, text: str) -> None:
        """Apply an operator file on top of the version in force."""
        version = self.state.version
        result = self.apply(ApplyConfiguration(f"apply-{version}", version, text))
        if not result.accepted:
            raise ValueError(result.problems)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all instances and announcements."""
        async with anyio.create_task_group() as group:
            for instance in self.instances.values():
                group.start_soon(instance.sessions.run)
                group.start_soon(instance.submits.run)
                group.start_soon(self._follow, instance)
            group.start_soon(self._announce)
            yield
            group.cancel_scope.cancel()

    async def _follow(self, instance: FakeInstance) -> None:
        version = 0
        while True:
            if instance.view.configuration_version != version:
                version = instance.view.configuration_version
                instance.gates.on_configuration_changed()
            await anyio.sleep(0.05)

    async def _announce(self) -> None:
        while True:
            for upstream in self.upstreams.by_name.values():
                if not upstream.lost:
                    self.announce(upstream.current_announcement())
            await anyio.sleep(ANNOUNCE_S)

    def announce(self, announcement: Announcement) -> None:
        """Let an upstream announce itself to the first instance that is not cut."""
        for instance in self.instances.values():
            if not instance.cut:
                instance.sessions.announce(announcement)
                return

    async def wait_until_owned(self, limit_s: float = 20.0) -> None:
        """Wait until every instance sees an owner for every upstream.

        Raises:
            TimeoutError: If that does not happen in time.
        """
        count = len(self.upstreams.by_name)
        with anyio.fail_after(limit_s):
            while not all(  # noqa: ASYNC110 (virtual time)
                sum(record.owner is not None for record in item.view.upstreams.values())
                == count
                for item in self.instances.values()
            ):
                await anyio.sleep(0.05)
