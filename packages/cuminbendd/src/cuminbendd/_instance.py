"""Builds one instance from the library's components and adapters, and runs it."""

import logging
import random
import uuid
from typing import Any

import anyio
from anyio.abc import TaskGroup
from cuminbend.accounts import MemberAccounts
from cuminbend.consensus import LogStorage, Replica, ReplicaSettings
from cuminbend.messages import InstanceInfo
from cuminbend.ports import Clock, milliseconds
from cuminbend.query import QueryCoordinator, QuerySettings
from cuminbend.replicated import ReplicatedState
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

from cuminbendd._observers import ConfiguredShares, MemberAccountsObserver, dump_view
from cuminbendd.callers import CallerServer, CallerServices, bind_socket, make_app
from cuminbendd.peers import (
    ConsensusService,
    ControlClient,
    ControlService,
    PeerClients,
    RelayDispatcher,
    RelayService,
    start_server,
)
from cuminbendd.searchers import UPSTREAM_FORMATS, HttpUpstreamTransport
from cuminbendd.settings import InstanceSettings
from cuminbendd.system import FileDisk, SystemClock

logger = logging.getLogger(__name__)

# Time that a planned stop waits at most for requests in flight. It is longer than the
# longest deadline that a request may have.
FINISH_TIMEOUT_MS = 4000.0
RELEASE_TIMEOUT_MS = 4000.0
VIEW_POLL_INTERVAL_MS = 50.0
# Long enough for two transfers of the leadership and an election.
HAND_OVER_TIMEOUT_MS = 3000.0
PEER_SERVER_GRACE_S = 0.5
BOOT_ID_LENGTH = 12


class Voter:
    """Holds the components of an instance that votes on the control log."""

    def __init__(
        self, *, settings: InstanceSettings, peers: PeerClients, clock: Clock
    ) -> None:
        timing = settings.timing
        folder = settings.data_folder
        if folder is None:
            raise ValueError(
                "data_folder is missing; set it in the settings of a voter"
            )
        self.state = ReplicatedState()
        self.storage = LogStorage(
            disk=FileDisk(folder=folder), instance=settings.instance
        )
        self.replica = Replica(
            settings=ReplicaSettings(
                instance=settings.instance,
                initial_voters=tuple(voter.instance for voter in settings.voters),
                heartbeat_ms=timing.heartbeat_ms,
                election_timeout_min_ms=timing.election_timeout_min_ms,
                election_timeout_max_ms=timing.election_timeout_max_ms,
                min_live_voters=len(settings.voters),
            ),
            storage=self.storage,
            transport=peers,
            clock=clock,
            random=random.Random(),
            state_machine=self.state,
        )
        self.coordinator = SessionCoordinator(
            settings=CoordinatorSettings(
                lease_ms=timing.lease_ms,
                connection_linger_ms=timing.connection_linger_ms,
            ),
            clock=clock,
            leadership=self.replica,
            configuration=self.state,
        )
        self.state.on_configuration_change = self.coordinator.on_configuration_changed


class Instance:
    """Runs one instance of the query tier."""

    def __init__(self, *, settings: InstanceSettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._random = random.Random()
        self._boot_id = uuid.uuid4().hex[:BOOT_ID_LENGTH]
        self._stop_requested = anyio.Event()
        self._started_at = self._clock.now()

    def stop(self) -> None:
        """Start a planned stop; :meth:`run` returns when it is complete."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a planned stop is complete.

        Raises:
            ConfigurationError: If an address cannot be bound.
            CorruptDataError: If the data folder is damaged or belongs to another
                instance.
        """
        settings = self._settings
        self._socket = bind_socket(settings.caller_address)
        self._peers = PeerClients(
            addresses={voter.instance: voter.peer_address for voter in settings.voters}
        )
        self._voter = (
            Voter(settings=settings, peers=self._peers, clock=self._clock)
            if settings.is_voter
            else None
        )
        if self._voter is not None:
            await self._voter.storage.open()
        async with anyio.create_task_group() as group:
            self._build_components(group)
            server = await start_server(settings.peer_address, self._peer_services())
            caller_server = CallerServer(app=make_app(self._caller_services()))
            caller_server_stopped = anyio.Event()
            if self._voter is not None:
                group.start_soon(self._voter.replica.run, name="replica")
            group.start_soon(self._sessions.run, name="sessions")
            group.start_soon(self._submits.run, name="submit records")
            group.start_soon(self._propagate_view_changes, name="view")
            group.start_soon(
                self._serve_callers,
                caller_server,
                caller_server_stopped,
                name="callers",
            )
            logger.info(
                "event=instance_started data_centre=%s voter=%s boot_id=%s",
                settings.data_centre,
                settings.is_voter,
                self._boot_id,
            )
            await self._stop_requested.wait()
            await self._drain(caller_server, caller_server_stopped)
            await server.stop(grace=PEER_SERVER_GRACE_S)
            group.cancel_scope.cancel()
        await self._peers.close()
        logger.info("event=instance_stopped")

    def _build_components(self, group: TaskGroup) -> None:
        settings = self._settings
        timing = settings.timing
        self._accounts = MemberAccounts()
        self._upstream_format = UPSTREAM_FORMATS[settings.upstream_format]()
        self._transport = HttpUpstreamTransport(
            upstream_format=self._upstream_format, clock=self._clock, group=group
        )
        info = InstanceInfo(
            instance=settings.instance,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            weight=settings.weight,
        )
        voters = [voter.instance for voter in settings.voters]
        view = SessionView(
            lease=Lease(clock=self._clock, lease_ms=timing.lease_ms),
            clock=self._clock,
            local_data_centre=settings.data_centre,
        )
        self._control = ControlClient(
            peers=self._peers,
            voters=voters,
            replica=self._voter.replica if self._voter is not None else None,
            leader_hint=lambda: view.leader,
            clock=self._clock,
        )
        self._gates = GateTable(
            settings=GateSettings(
                connection_linger_ms=timing.connection_linger_ms,
                lease_ms=timing.lease_ms,
                canary_max_lease_age_ms=timing.lease_ms / 2,
            ),
            transport=self._transport,
            clock=self._clock,
            random=self._random,
            lease=view.lease,
            control=self._control,
            shares=ConfiguredShares(view=view),
            data_centre_in_service=view.is_in_service,
            suspect_view=view,
        )
        self._sessions = SessionClient(
            settings=SessionSettings(
                voters=tuple(voters),
                lease_ms=timing.lease_ms,
                poll_wait_ms=timing.poll_wait_ms,
            ),
            info=info,
            transport=self._peers,
            clock=self._clock,
            random=self._random,
            boot_id=self._boot_id,
            listener=self._gates,
            view=view,
        )
        dispatcher = RelayDispatcher(
            instance=settings.instance,
            view=view,
            gates=self._gates,
            peers=self._peers,
            group=group,
        )
        self._dispatcher = dispatcher
        self._queries = QueryCoordinator(
            settings=QuerySettings(),
            view=view,
            dispatcher=dispatcher,
            clock=self._clock,
            random=self._random,
            observer=MemberAccountsObserver(accounts=self._accounts),
        )
        self._submits = SubmitCoordinator(
            settings=SubmitSettings(),
            view=view,
            dispatcher=dispatcher,
            control=self._control,
            clock=self._clock,
            random=self._random,
            instance=settings.instance,
            boot_id=self._boot_id,
            accounts=self._accounts,
        )

    def _peer_services(self) -> list[Any]:
        services: list[Any] = [RelayService(gates=self._gates)]
        if self._voter is not None:
            services.append(ConsensusService(replica=self._voter.replica))
            services.append(
                ControlService(
                    replica=self._voter.replica,
                    coordinator=self._voter.coordinator,
                    peers=self._peers,
                )
            )
        return services

    def _caller_services(self) -> CallerServices:
        return CallerServices(
            settings=self._settings,
            sessions=self._sessions,
            queries=self._queries,
            submits=self._submits,
            control=self._control,
            accounts=self._accounts,
            state=self._voter.state if self._voter is not None else None,
            upstream_format=self._upstream_format,
            clock=self._clock,
            random=self._random,
            dump=self.dump,
            stop=self.stop,
        )

    async def _serve_callers(
        self, caller_server: CallerServer, stopped: anyio.Event
    ) -> None:
        await caller_server.serve(sockets=[self._socket])
        stopped.set()

    async def _propagate_view_changes(self) -> None:
        """Pass peer addresses and new configurations from the view to the adapters."""
        view = self._sessions.view
        version = view.configuration_version
        while True:
            for info in view.instances:
                self._peers.set_address(info.instance, info.peer_address)
            if view.configuration_version != version:
                version = view.configuration_version
                self._gates.on_configuration_changed()
            await self._clock.sleep(milliseconds(VIEW_POLL_INTERVAL_MS))

    async def _drain(
        self, caller_server: CallerServer, caller_server_stopped: anyio.Event
    ) -> None:
        """Perform a planned stop.

        The instance leaves the directory, releases its upstreams, hands the leadership
        over and finishes the requests in flight.
        """
        logger.info("event=drain_started")
        self._sessions.start_draining()
        with anyio.move_on_after(RELEASE_TIMEOUT_MS / 1000):
            await self._sessions.wait_until_released()
        logger.info("event=drain_released")
        await self._hand_over_leadership()
        # For this long callers may use a cached directory that lists this instance.
        await self._clock.sleep(
            milliseconds(self._settings.timing.directory_max_age_ms)
        )
        # This instance may have been elected meanwhile if no other voter could be.
        await self._hand_over_leadership()
        caller_server.should_exit = True
        with anyio.move_on_after(FINISH_TIMEOUT_MS / 1000):
            await caller_server_stopped.wait()
        logger.info("event=drain_finished")

    async def _hand_over_leadership(self) -> None:
        if self._voter is not None:
            await self._voter.replica.prepare_for_stop(timeout_ms=HAND_OVER_TIMEOUT_MS)

    def dump(self) -> dict[str, Any]:
        """Return the state of this process for operators."""
        dump: dict[str, Any] = {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "boot_id": self._boot_id,
            "started_at": self._started_at.isoformat(),
            "now": self._clock.now().isoformat(),
            "monotonic_ms": self._clock.monotonic_ms(),
            "draining": self._stop_requested.is_set(),
            "sessions": dump_view(self._sessions.view),
            "gates": self._gates.dump(),
            "queries": self._queries.dump(),
            "submits": self._submits.dump(),
            "relay": self._dispatcher.dump(),
        }
        if self._voter is not None:
            dump["control_log"] = self._voter.replica.dump()
            dump["replicated"] = self._voter.state.dump()
            dump["coordinator"] = self._voter.coordinator.dump()
        return dump
