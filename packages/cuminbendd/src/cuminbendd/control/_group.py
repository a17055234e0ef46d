"""The control group: this instance's replica, and the way to its leader."""

import asyncio
import logging
import random

from cuminbend.consensus import LogStorage, Replica, ReplicaSettings
from cuminbend.exceptions import (
    CorruptDataError,
    CuminbendError,
    UnavailableError,
)
from cuminbend.newest import (
    Command,
    HighestVersionState,
    SetConfiguration,
    encode_command,
)
from cuminbend.ports import Clock, Disk

from cuminbendd.channel import ChannelPool
from cuminbendd.control._settings import ControlSettings
from cuminbendd.feed import (
    CODEC,
    AdmitReply,
    AdmitRequest,
    ControlInfo,
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
)

logger = logging.getLogger(__name__)

# Shorter than the defaults: no lease waits for an election here, and after the loss
# of the whole group nothing is served until there is a leader.
_ELECTION_TIMEOUT_MIN_MS = 350.0
_ELECTION_TIMEOUT_MAX_MS = 700.0
_FIRST_TIMEOUT_MAX_MS = 250.0
_RPC_TIMEOUT_MS = 200.0
_ADMIT_TIMEOUT_MS = 300.0
_READ_TIMEOUT_MS = 400.0
_READ_WAIT_MS = 300.0
_POLL_S = 0.02
# Room for two transfers of the leadership and an election.
_HAND_OVER_LIMIT_MS = 1500.0
_RETRY_AFTER_MS = 200


class ControlGroup:
    """Commits commands and reads the newest configuration, through any member.

    Args:
        settings: Settings of the instance.
        clock: Source of time.
        disk: The data folder.
        state: Driven by the replica.
        own: This instance, as others should know it.
    """

    def __init__(
        self,
        *,
        settings: ControlSettings,
        clock: Clock,
        disk: Disk,
        state: HighestVersionState,
        own: ControlInfo,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._disk = disk
        self._state = state
        self._own = own
        self._calls = ChannelPool(CODEC)
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
                first_election_timeout_max_ms=_FIRST_TIMEOUT_MAX_MS,
            ),
            storage=LogStorage(disk=self._disk, instance=settings.channel_address),
            transport=self._calls,
            clock=self._clock,
            random=random.Random(),
            state_machine=self._state,
        )

    async def run(self) -> None:
        """Take part until cancelled.

        A damaged data folder is emptied, and the instance rejoins as one that lost
        its disk. Its vote then counts only once a leader has brought it up to date.
        """
        while True:
            try:
                await self.replica.run()
            except CorruptDataError as error:
                logger.error("event=data_damaged action=start_empty error='%s'", error)
                for name in self._disk.list_files():
                    await self._disk.delete(name)
                self.replica = self._new_replica()

    async def ask_for_admission(self, addresses: list[str]) -> list[ControlInfo]:
        """Ask other members to let this instance vote; return whom they know."""
        request = AdmitRequest(control=self._own)
        replies = await asyncio.gather(
            *(
                self._calls.call(address, request, _ADMIT_TIMEOUT_MS)
                for address in addresses
                if address != self._own.address
            ),
            return_exceptions=True,
        )
        known: list[ControlInfo] = []
        for reply in replies:
            if isinstance(reply, AdmitReply):
                known += reply.controls
            elif not isinstance(reply, CuminbendError):
                logger.error("event=admission_failed error='%r'", reply)
        return known

    @property
    def needs_admission(self) -> bool:
        """Whether this instance does not vote, or hears no leader."""
        replica = self.replica
        max_contact_age_ms = self._settings.current_within_ms
        return not (
            replica.is_voter
            and replica.is_current(max_contact_age_ms=max_contact_age_ms)
        )

    async def admit(self, request: AdmitRequest) -> None:
        """Let an instance vote, or pass its request on to the leader."""
        replica = self.replica
        replica.record_admission_request(request.control.address)
        leader = replica.leader
        if leader is None or replica.is_leader or leader == request.control.address:
            return
        try:
            await self._calls.call(leader, request, _ADMIT_TIMEOUT_MS)
        except CuminbendError as error:
            logger.info(
                "event=admission_not_passed_on leader=%s error='%s'", leader, (error)
            )

    # Commands

    async def commit(self, command: Command) -> None:
        """Commit a command.

        Raises:
            UnavailableError: If it is not known to be committed; it may be, so the
                caller sends it again.
        """
        if (
            isinstance(command, SetConfiguration)
            and command.version <= self._state.stored_configuration.version
        ):
            # Committed or overtaken before: to acknowledge it again changes nothing.
            return
        request = ProposeRequest(command=encode_command(command))
        leader = self.replica.leader
        if leader is None:
            raise _unavailable("the control group has no leader")
        timeout_ms = self._settings.propose_timeout_ms
        if leader == self._own.address:
            is_committed = (await self.propose(request)).is_committed
        else:
            reply = await self._call_leader(leader, request, timeout_ms)
            is_committed = isinstance(reply, ProposeReply) and reply.is_committed
        if not is_committed:
            raise _unavailable("the control group did not commit in time")

    async def propose(self, request: ProposeRequest) -> ProposeReply:
        """Commit a command here, as the leader."""
        try:
            await self.replica.propose(
                request.command, self._settings.propose_timeout_ms
            )
        except CuminbendError as error:
            logger.warning("event=proposal_failed error='%s'", error)
            return ProposeReply(is_committed=False)
        return ProposeReply(is_committed=True)

    # Reads

    async def newest_version(self) -> int:
        """Return the version in force as of now, once this instance has it.

        Raises:
            UnavailableError: If nobody can be sure of it.
        """
        leader = self.replica.leader
        if leader is None:
            raise _unavailable("the control group has no leader")
        reply: object
        if leader == self._own.address:
            reply = await self.read(ReadRequest())
        else:
            reply = await self._call_leader(leader, ReadRequest(), _READ_TIMEOUT_MS)
        if not isinstance(reply, ReadReply) or reply.version is None:
            raise _unavailable("the leader is not sure of the newest configuration")
        if not await self._wait_for_version(reply.version):
            raise _unavailable("this instance lags behind the control group")
        return reply.version

    async def read(self, request: ReadRequest) -> ReadReply:
        """Return the version in force here, as the leader, or None.

        A majority must have confirmed the leadership after the request came: only
        then can no later leader have accepted a newer version before it.
        """
        start_ms = self._clock.monotonic_ms()
        while self._clock.monotonic_ms() - start_ms < _READ_WAIT_MS:
            confirmed_ms = self.replica.confirmed_at_ms()
            if confirmed_ms is not None and confirmed_ms >= start_ms:
                return ReadReply(version=self._state.stored_configuration.version)
            if not self.replica.is_leader:
                break
            await asyncio.sleep(_POLL_S)
        return ReadReply(version=None)

    async def _wait_for_version(self, version: int) -> bool:
        start_ms = self._clock.monotonic_ms()
        while self._state.stored_configuration.version < version:
            if self._clock.monotonic_ms() - start_ms > _READ_WAIT_MS:
                return False
            await asyncio.sleep(_POLL_S)
        return True

    async def _call_leader(
        self, leader: str, request: object, timeout_ms: float
    ) -> object:
        try:
            return await self._calls.call(leader, request, timeout_ms)
        except CuminbendError as error:
            logger.warning(
                "event=leader_unreachable leader=%s error='%s'", leader, (error)
            )
            raise _unavailable("the leader of the control group is out of reach") from (
                error
            )

    async def hand_over(self) -> None:
        """Hand the leadership over before this instance stops."""
        await self.replica.prepare_for_stop(timeout_ms=_HAND_OVER_LIMIT_MS)

    def close(self) -> None:
        """Close the connections to other members."""
        self._calls.close()


def _unavailable(cause: str) -> UnavailableError:
    return UnavailableError(
        f"{cause}; send the request again, to any instance",
        retry_after_ms=_RETRY_AFTER_MS,
    )
