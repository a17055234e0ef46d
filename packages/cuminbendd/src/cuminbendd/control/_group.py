"""The control group: the replica of this instance and calls to the leader."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from cuminbend.consensus import LogStorage, Replica, ReplicaSettings
from cuminbend.exceptions import (
    AbandonedError,
    CorruptDataError,
    CuminbendError,
    UnavailableError,
    UnsupportedDataError,
)
from cuminbend.newest import (
    RESULT_OUTDATED,
    Command,
    HighestVersionState,
    SetConfiguration,
    SetEvacuated,
    encode_command,
)
from cuminbend.ports import Clock, Disk

from cuminbendd.channel import ChannelPool
from cuminbendd.control._messages import (
    CONTROL_CODEC,
    AdmitReply,
    AdmitRequest,
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
    StopNotice,
    StopNoticeReply,
)
from cuminbendd.control._settings import ControlSettings
from cuminbendd.feed import ControlInfo

logger = logging.getLogger(__name__)

# These timeouts are shorter than the defaults, because no lease has to expire before an
# election here, and because nothing is served after the loss of the whole group until
# there is a leader.
_ELECTION_TIMEOUT_MIN_MS = 350.0
_ELECTION_TIMEOUT_MAX_MS = 700.0
_FIRST_ELECTION_TIMEOUT_MAX_MS = 250.0
_RPC_TIMEOUT_MS = 200.0
_ADMIT_TIMEOUT_MS = 300.0
_READ_TIMEOUT_MS = 400.0
_READ_WAIT_MS = 300.0
_POLL_INTERVAL_S = 0.02
# Long enough for two transfers of the leadership and an election.
_HAND_OVER_TIMEOUT_MS = 1500.0
# Long enough for the commit of one entry, after which the process ends in any case.
_REMOVAL_TIMEOUT_MS = 500.0
_STOP_NOTICE_TIMEOUT_MS = 700.0
_RETRY_AFTER_MS = 200


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """What a leader held at a time when a majority confirmed it.

    Attributes:
        version: Version of the configuration in force.
        evacuation_numbers: Number of the latest order by data centre.
    """

    version: int
    evacuation_numbers: dict[str, int]


class ControlGroup:
    """Commits commands and reads the newest configuration through the group's leader.

    Any instance of the group can be asked; it passes requests on to the leader.

    Args:
        settings: Settings of the instance.
        clock: Source of time.
        disk: The data folder.
        state: State machine to which the replica applies commands.
        own_info: Description of this instance that is sent to others.
    """

    def __init__(
        self,
        *,
        settings: ControlSettings,
        clock: Clock,
        disk: Disk,
        state: HighestVersionState,
        own_info: ControlInfo,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._disk = disk
        self._state = state
        self._own_info = own_info
        self._channel_pool = ChannelPool(CONTROL_CODEC)
        self._min_live_voters = 2 * max(settings.max_lost_instances, 1) + 1
        self._is_stopping = False
        self.replica = self._new_replica()

    def _new_replica(self) -> Replica:
        settings = self._settings
        return Replica(
            settings=ReplicaSettings(
                instance=settings.channel_address,
                initial_voters=settings.control_addresses,
                bootstraps=settings.bootstraps,
                rpc_timeout_ms=_RPC_TIMEOUT_MS,
                election_timeout_min_ms=_ELECTION_TIMEOUT_MIN_MS,
                election_timeout_max_ms=_ELECTION_TIMEOUT_MAX_MS,
                first_election_timeout_max_ms=_FIRST_ELECTION_TIMEOUT_MAX_MS,
                min_live_voters=self._min_live_voters,
            ),
            storage=LogStorage(disk=self._disk, instance=settings.channel_address),
            transport=self._channel_pool,
            clock=self._clock,
            random=random.Random(),
            state_machine=self._state,
        )

    async def run(self) -> None:
        """Run the replica until cancelled.

        If the data folder is damaged, it is emptied and the instance rejoins the group
        as one that lost its disk. Its vote then counts only after a leader has brought
        it up to date. If it is of a release unknown to this one, it is kept, and the
        instance stays out of the group.
        """
        while True:
            try:
                await self.replica.run()
            except CorruptDataError as error:
                logger.error("event=data_damaged action=start_empty error='%s'", error)
                for name in self._disk.list_files():
                    await self._disk.delete(name)
                self.replica = self._new_replica()
            except UnsupportedDataError:
                # Logged by the replica, and shown by its dump and a gauge.
                await asyncio.Event().wait()

    async def request_admission(self, addresses: list[str]) -> list[ControlInfo]:
        """Ask other control instances to make this one a voter.

        Args:
            addresses: Channel addresses to ask; this instance's own is left out.

        Returns:
            The control instances known to those that replied, with duplicates.
        """
        request = AdmitRequest(control=self._own_info)
        replies = await asyncio.gather(
            *(
                self._channel_pool.call(address, request, _ADMIT_TIMEOUT_MS)
                for address in addresses
                if address != self._own_info.address
            ),
            return_exceptions=True,
        )
        controls: list[ControlInfo] = []
        for reply in replies:
            if isinstance(reply, AdmitReply):
                controls += reply.controls
            elif not isinstance(reply, CuminbendError):
                logger.error("event=admission_failed error='%r'", reply)
        return controls

    @property
    def needs_admission(self) -> bool:
        """Whether this instance is no voter or has lost contact with the group."""
        if self._is_stopping:
            return False
        replica = self.replica
        max_contact_age_ms = self._settings.max_contact_age_ms
        return not (
            replica.is_voter
            and replica.is_current(max_contact_age_ms=max_contact_age_ms)
        )

    async def handle_admit_request(self, request: AdmitRequest) -> None:
        """Record a request to become a voter, and pass it on to the leader.

        If the leader cannot be reached, this is only logged, because the instance
        repeats its request until it is a voter.
        """
        replica = self.replica
        replica.record_admission_request(request.control.address)
        leader = replica.leader
        if leader is None or replica.is_leader or leader == request.control.address:
            return
        try:
            await self._channel_pool.call(leader, request, _ADMIT_TIMEOUT_MS)
        except CuminbendError as error:
            logger.info(
                "event=admission_not_passed_on leader=%s error='%s'", leader, (error)
            )

    # Commands

    async def commit(self, command: Command) -> None:
        """Commit a command.

        Raises:
            UnavailableError: If it is not known whether the command is committed. It
                may be committed, so the caller has to send it again.
        """
        if (
            isinstance(command, SetConfiguration)
            and command.version <= self._state.stored_configuration.version
        ):
            # This version or a higher one is committed already, so the command has
            # no effect and can be acknowledged.
            return
        await self._propose(command)

    async def order_evacuation(
        self,
        data_centre: str,
        is_evacuated: bool,
        *,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Take a data centre out of service or back, if the caller still waits.

        An operator sends an order again to another instance if it gets no answer. This
        instance may have been frozen or cut off meanwhile, and a later order may be in
        force. So the order gets its number from a leader that is confirmed after the
        order was read, and is committed only if its caller still waits then and no
        other order for the data centre came between.

        Args:
            data_centre: Name of the data centre.
            is_evacuated: Whether it is taken out of service.
            is_abandoned: Returns whether the caller has closed its connection.

        Raises:
            AbandonedError: If the caller no longer waits; nothing is committed then.
            UnavailableError: If it is not known whether the order is in force.
        """
        is_in_force = False
        while not is_in_force:
            reply = await self._read_at_leader()
            if is_abandoned():
                raise AbandonedError(
                    "the caller closed its connection before the order was committed"
                )
            number = reply.evacuation_numbers.get(data_centre, 0) + 1
            is_in_force = await self._propose(
                SetEvacuated(data_centre, is_evacuated, number)
            )

    async def _propose(self, command: Command) -> bool:
        """Commit a command and return whether it took effect.

        Raises:
            UnavailableError: If it is not known whether the command is committed.
        """
        request = ProposeRequest(command=encode_command(command))
        leader = self._known_leader()
        timeout_ms = self._settings.propose_timeout_ms
        reply: object
        if leader == self._own_info.address:
            reply = await self.handle_propose_request(request)
        else:
            reply = await self._call_leader(leader, request, timeout_ms)
        if not isinstance(reply, ProposeReply) or not reply.is_committed:
            raise _unavailable_error("the control group did not commit in time")
        return not reply.is_outdated

    async def handle_propose_request(self, request: ProposeRequest) -> ProposeReply:
        """Commit a command that another control instance sent to this leader."""
        try:
            result = await self.replica.propose(
                request.command, self._settings.propose_timeout_ms
            )
        except CuminbendError as error:
            logger.warning("event=proposal_failed error='%s'", error)
            return ProposeReply(is_committed=False)
        return ProposeReply(is_committed=True, is_outdated=result == RESULT_OUTDATED)

    # Reads

    async def read_newest_version(self) -> int:
        """Return the version in force, after this instance has applied it.

        Raises:
            UnavailableError: If there is no leader, if the leader cannot confirm that
                it still leads, or if this instance lags behind it.
        """
        if self.replica.unsupported is not None:
            raise _unavailable_error("this instance cannot read the control log")
        version = (await self._read_at_leader()).version
        if not await self._wait_for_version(version):
            raise _unavailable_error("this instance lags behind the control group")
        return version

    async def _read_at_leader(self) -> ConfirmedRead:
        """Return what the leader holds, confirmed by a majority after this call."""
        leader = self._known_leader()
        reply: object
        if leader == self._own_info.address:
            reply = await self.handle_read_request(ReadRequest())
        else:
            reply = await self._call_leader(leader, ReadRequest(), _READ_TIMEOUT_MS)
        if not isinstance(reply, ReadReply) or reply.version is None:
            raise _unavailable_error(
                "the leader is not sure of the newest configuration"
            )
        return ConfirmedRead(reply.version, reply.evacuation_numbers)

    def _known_leader(self) -> str:
        leader = self.replica.leader
        if leader is None:
            raise _unavailable_error("the control group has no leader")
        return leader

    async def handle_read_request(self, request: ReadRequest) -> ReadReply:
        """Return a reply with the version in force, or with None if it is uncertain.

        A majority must have confirmed this instance's leadership after the request
        arrived. Otherwise a later leader may have accepted a newer version before the
        request.
        """
        start_ms = self._clock.monotonic_ms()
        while self._clock.monotonic_ms() - start_ms < _READ_WAIT_MS:
            confirmed_ms = self.replica.confirmed_at_ms()
            if confirmed_ms is not None and confirmed_ms >= start_ms:
                return ReadReply(
                    version=self._state.stored_configuration.version,
                    evacuation_numbers=self._state.evacuation_numbers,
                )
            if not self.replica.is_leader:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        return ReadReply(version=None)

    async def _wait_for_version(self, version: int) -> bool:
        """Wait for this instance to have the version; return False at a timeout."""
        start_ms = self._clock.monotonic_ms()
        while self._state.stored_configuration.version < version:
            if self._clock.monotonic_ms() - start_ms > _READ_WAIT_MS:
                return False
            await asyncio.sleep(_POLL_INTERVAL_S)
        return True

    async def _call_leader(
        self, leader: str, request: object, timeout_ms: float
    ) -> object:
        try:
            return await self._channel_pool.call(leader, request, timeout_ms)
        except CuminbendError as error:
            logger.warning(
                "event=leader_unreachable leader=%s error='%s'", leader, (error)
            )
            raise _unavailable_error(
                "the leader of the control group is out of reach"
            ) from (error)

    async def hand_over_leadership(self) -> None:
        """Hand the leadership over before a stop, and give up a vote not needed."""
        self._is_stopping = True
        await self.replica.prepare_for_stop(timeout_ms=_HAND_OVER_TIMEOUT_MS)
        await self._give_up_vote()

    async def _give_up_vote(self) -> None:
        """Ask the leader to remove this instance from the voters.

        The vote is kept if the group needs it, as at a restart of one of three
        instances.
        """
        leader = self.replica.leader
        if leader in (None, self._own_info.address):
            return
        if len(self.replica.voters) <= self._min_live_voters:
            return
        notice = StopNotice(address=self._own_info.address)
        try:
            reply = await self._channel_pool.call(
                leader, notice, _STOP_NOTICE_TIMEOUT_MS
            )
        except CuminbendError as error:
            logger.info("event=stop_notice_failed leader=%s error='%s'", leader, error)
            return
        is_removed = isinstance(reply, StopNoticeReply) and reply.is_removed
        logger.info("event=vote_given_up leader=%s removed=%s", leader, is_removed)

    async def handle_stop_notice(self, notice: StopNotice) -> StopNoticeReply:
        """Remove a control instance that is about to stop from the voters."""
        is_removed = await self.replica.remove_stopping_voter(
            notice.address, timeout_ms=_REMOVAL_TIMEOUT_MS
        )
        return StopNoticeReply(is_removed=is_removed)

    def close(self) -> None:
        """Close the connections to other control instances."""
        self._channel_pool.close()


def _unavailable_error(cause: str) -> UnavailableError:
    return UnavailableError(
        f"{cause}; send the request again, to any instance",
        retry_after_ms=_RETRY_AFTER_MS,
    )
