"""Replica of the control log."""

import logging
import math
from functools import singledispatchmethod
from typing import Any

import anyio

from cuminbend.consensus._base import StateMachine
from cuminbend.consensus._core import ReplicaCore, Role
from cuminbend.consensus._election import campaign, handle_vote
from cuminbend.consensus._following import (
    handle_append,
    handle_snapshot,
    take_snapshots,
)
from cuminbend.consensus._joining import run_join_step
from cuminbend.consensus._leadership import Leadership
from cuminbend.consensus._messages import (
    AppendReply,
    AppendRequest,
    IdentifyReply,
    IdentifyRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNowReply,
    TimeoutNowRequest,
    Voter,
    VoteReply,
    VoteRequest,
)
from cuminbend.consensus._settings import ReplicaSettings
from cuminbend.consensus._storage import LogStorage
from cuminbend.exceptions import NotLeaderError, UnavailableError
from cuminbend.ports import Clock, ConsensusTransport, RandomSource, milliseconds

logger = logging.getLogger(__name__)

# A voter that prepares for a stop waits this many times longer before it stands for
# election, so that it leads again only if no other voter can.
_STOPPING_TIMEOUT_FACTOR = 4
# Ratio of the longest to the shortest first election timeout.
_FIRST_TIMEOUT_MAX_TO_MIN_RATIO = 5
_NOT_STARTED_RETRY_AFTER_MS = 1000


class Replica:
    """Replicates commands over the voters and drives the state machine.

    Based on Ongaro and Ousterhout, "In Search of an Understandable Consensus
    Algorithm" (USENIX ATC 2014), with pre-vote and single-server membership changes
    from Ongaro's thesis (2014).
    """

    def __init__(
        self,
        *,
        settings: ReplicaSettings,
        storage: LogStorage,
        transport: ConsensusTransport,
        clock: Clock,
        random: RandomSource,
        state_machine: StateMachine,
    ) -> None:
        self._settings = settings
        self._storage = storage
        self._clock = clock
        self._random = random
        self._core = ReplicaCore(
            settings=settings,
            storage=storage,
            transport=transport,
            clock=clock,
            random=random,
            state_machine=state_machine,
        )
        self._leadership: Leadership | None = None

    # State

    @property
    def leader(self) -> str | None:
        """Instance believed to lead, or None."""
        return self._core.leader

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows."""
        return self._core.role is Role.LEADER

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self._storage.term

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed; all up to it are applied."""
        return self._core.commit_index

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Latest voters in the log."""
        return self._storage.voters

    @property
    def led_since_ms(self) -> float:
        """Monotonic time of this replica's election, or ``inf`` if it does not lead."""
        since_ms = self._core.led_since_ms
        return since_ms if since_ms is not None else float("inf")

    def confirmed_at_ms(self) -> float | None:
        """Return the time up to which a majority has confirmed this leader.

        Returns:
            Latest reading of the clock's ``monotonic_ms`` such that a majority has
            answered a message sent then or later. None if this replica does not lead,
            no entry of its term is committed, or no majority has answered yet.
        """
        leadership = self._current_leadership()
        return leadership.confirmed_at_ms() if leadership else None

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        core, storage = self._core, self._storage
        leadership = self._current_leadership()
        return {
            "instance": self._settings.instance,
            "disk_id": storage.disk_id,
            "term": storage.term,
            "role": str(core.role) if core.is_voter else "learner",
            "leader": core.leader,
            "led_since_ms": core.led_since_ms,
            "confirmed_at_ms": self.confirmed_at_ms(),
            "first_index": storage.first_index,
            "last_index": storage.last_index,
            "commit_index": core.commit_index,
            "snapshot_index": storage.snapshot.index if storage.snapshot else 0,
            "disk_works": core.disk_works,
            "unsupported": core.unsupported,
            "voters": [f"{voter.instance}/{voter.disk_id}" for voter in storage.voters],
            "peers": {
                peer.instance: {
                    "disk_id": peer.disk_id,
                    "match_index": peer.match_index,
                    "last_contact_ms": peer.last_contact_ms,
                }
                for peer in (leadership.peers.values() if leadership else ())
            },
        }

    # Proposals, admission and handover

    async def propose(self, data: bytes, timeout_ms: float) -> bytes:
        """Commit a command and return the result of the state machine.

        Raises:
            NotLeaderError: If this replica does not accept proposals; the command is
                not in the log.
            NoQuorumError: If it is not known whether the command was committed.
            UnsupportedDataError: If this release cannot apply the command; it is not in
                the log.
        """
        leadership = self._current_leadership()
        if leadership is None:
            raise NotLeaderError(self.leader)
        return await leadership.propose(data, timeout_ms)

    def record_admission_request(self, instance: str) -> None:
        """Record that an instance asks to become a voter.

        The leader adds the instance once it has caught up. The instance repeats its
        request at intervals below ``admission_request_ttl_ms``, so that a new leader
        acts on it too.
        """
        self._core.record_admission_request(instance)

    async def remove_stopping_voter(self, instance: str, *, timeout_ms: float) -> bool:
        """Remove an instance that is about to stop, if enough voters are in touch.

        It becomes a voter again by a request for admission.

        Args:
            instance: The instance, which is not this one.
            timeout_ms: Longest time to wait for the removal.

        Returns:
            Whether the removal is committed.
        """
        core, storage = self._core, self._storage
        core.record_stop_notice(instance)

        def is_removed() -> bool:
            return storage.voters_index <= core.commit_index and all(
                voter.instance != instance for voter in storage.voters
            )

        await core.wait_until(is_removed, timeout_ms)
        return is_removed()

    def is_current(self, *, max_contact_age_ms: float) -> bool:
        """Return whether this replica has applied what the cluster has committed.

        Args:
            max_contact_age_ms: Longest time since a majority confirmed this replica as
                the leader or, if it does not lead, since the leader's last message.
        """
        core = self._core
        if core.unsupported is not None:
            return False
        now_ms = self._clock.monotonic_ms()
        if core.role is Role.LEADER:
            confirmed_ms = self.confirmed_at_ms()
            return (
                confirmed_ms is not None and now_ms - confirmed_ms < max_contact_age_ms
            )
        return (
            core.leader is not None
            and now_ms - core.last_leader_contact_ms < max_contact_age_ms
            and core.commit_index >= max(core.leader_commit_index, 1)
        )

    @property
    def unsupported(self) -> str | None:
        """Why this release cannot apply what is committed, or None if it can."""
        return self._core.unsupported

    def contact_age_ms(self) -> float:
        """Return the time since the contact on which :meth:`is_current` stands.

        It is infinite before the first contact.
        """
        core = self._core
        contact_ms = (
            self.confirmed_at_ms()
            if core.role is Role.LEADER
            else core.last_leader_contact_ms
        )
        return (
            math.inf if contact_ms is None else self._clock.monotonic_ms() - contact_ms
        )

    async def wait_for_contact_change(
        self, *, max_contact_age_ms: float, timeout_ms: float
    ) -> None:
        """Wait until :meth:`is_current` changes, for at most ``timeout_ms``.

        A loss of contact is a matter of time only and is not noticed before the
        timeout.

        Args:
            max_contact_age_ms: As for :meth:`is_current`.
            timeout_ms: Longest time to wait.
        """
        was_current = self.is_current(max_contact_age_ms=max_contact_age_ms)
        await self._core.wait_until(
            lambda: (
                self.is_current(max_contact_age_ms=max_contact_age_ms)
                is not was_current
            ),
            timeout_ms,
        )

    @property
    def is_voter(self) -> bool:
        """Whether this disk is among the latest voters of its log."""
        return self._core.is_voter

    async def transfer_leadership(self) -> bool:
        """Hand the leadership over to the voter whose log is most complete.

        Returns:
            Whether another voter took over; False also if this replica does not lead.
        """
        leadership = self._current_leadership()
        return await leadership.transfer_leadership() if leadership else False

    async def prepare_for_stop(self, *, timeout_ms: float) -> None:
        """Prepare for a planned stop: hand over, and delay standing for election.

        Args:
            timeout_ms: Time after which the handover is given up.
        """
        self._core.is_stopping = True
        succeeded = await self._hand_over_leadership(timeout_ms)
        logger.info(
            "event=leadership_handed_over instance=%s succeeded=%s leader=%s",
            self._settings.instance,
            succeeded,
            self.leader,
        )

    async def _hand_over_leadership(self, timeout_ms: float) -> bool:
        """Hand over if leading; return whether another voter leads in time."""
        core = self._core
        if self.voters == (core.own_voter,):
            return False
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        while (left_ms := deadline_ms - self._clock.monotonic_ms()) > 0:
            if self.is_leader:
                await self.transfer_leadership()
            wait_ms = min(left_ms, self._settings.election_timeout_max_ms)
            await core.wait_until(lambda: core.leader is not None, wait_ms)
            if core.leader not in (None, self._settings.instance):
                return True
            # Wait, because a transfer fails at once if there is no successor.
            await self._clock.sleep(milliseconds(self._settings.heartbeat_ms))
        return False

    def _current_leadership(self) -> Leadership | None:
        leadership = self._leadership
        return leadership if leadership and leadership.is_active else None

    # Running

    async def run(self) -> None:
        """Take part in the cluster until cancelled.

        Raises:
            CorruptDataError: If the data folder is damaged or of another instance.
            DiskError: If the data folder cannot be read.
            UnsupportedDataError: If the snapshot is of a release unknown to this one.
        """
        await self._core.start()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(take_snapshots, self._core)
                while True:
                    await self._run_current_role()
        finally:
            self._core.is_started = False
            self._core.step_down()

    async def _run_current_role(self) -> None:
        if self._core.role is Role.LEADER:
            await self._run_leader()
        elif self._core.is_voter:
            await self._run_follower()
        else:
            await run_join_step(self._core)

    async def _run_leader(self) -> None:
        self._leadership = Leadership(self._core)
        try:
            await self._leadership.run()
        finally:
            self._leadership = None

    async def _run_follower(self) -> None:
        """Stand for election after a random timeout without contact with a leader."""
        core = self._core
        timeout_ms = self._election_timeout_ms()
        start_ms = self._clock.monotonic_ms()
        while core.is_voter:
            silent_since_ms = max(start_ms, core.last_leader_contact_ms)
            remaining_ms = silent_since_ms + timeout_ms - self._clock.monotonic_ms()
            transfer = core.requested_election_term == core.storage.term
            if transfer or remaining_ms <= 0:
                core.requested_election_term = 0
                if core.can_apply_log() and await self._is_disk_writable():
                    await campaign(core, transfer=transfer)
                return
            await core.wait_until(
                lambda: (
                    not core.is_voter
                    or core.requested_election_term == core.storage.term
                ),
                remaining_ms,
            )

    def _election_timeout_ms(self) -> float:
        settings = self._settings
        first_max_ms = settings.first_election_timeout_max_ms
        if self._core.has_had_leader_contact or first_max_ms is None:
            timeout_ms = self._random.uniform(
                settings.election_timeout_min_ms, settings.election_timeout_max_ms
            )
            if self._core.is_stopping:
                return timeout_ms * _STOPPING_TIMEOUT_FACTOR
            return timeout_ms
        return self._random.uniform(
            first_max_ms / _FIRST_TIMEOUT_MAX_TO_MIN_RATIO, first_max_ms
        )

    async def _is_disk_writable(self) -> bool:
        """Test the disk before an election, since a leader must be able to write.

        Waits for ``disk_retry_ms`` if the disk cannot be written.
        """
        if await self._core.probe_disk():
            return True
        await self._clock.sleep(milliseconds(self._settings.disk_retry_ms))
        return False

    # Messages

    async def handle(self, request: Any) -> Any:
        """Answer a message from another replica.

        Raises:
            UnavailableError: If the replica has not started yet or has stopped.
            DiskError: If the answer needs a write that fails.
        """
        if not self._core.is_started:
            raise UnavailableError(
                "the replica has not recovered its log yet; try again in a second",
                retry_after_ms=_NOT_STARTED_RETRY_AFTER_MS,
            )
        return await self._handle(request)

    @singledispatchmethod
    async def _handle(self, request: Any) -> Any:
        raise TypeError(f"not a message of the control log: {type(request).__name__}")

    @_handle.register
    async def _(self, request: VoteRequest) -> VoteReply:
        return await handle_vote(self._core, request)

    @_handle.register
    async def _(self, request: AppendRequest) -> AppendReply:
        return await handle_append(self._core, request)

    @_handle.register
    async def _(self, request: SnapshotRequest) -> SnapshotReply:
        return await handle_snapshot(self._core, request)

    @_handle.register
    async def _(self, request: TimeoutNowRequest) -> TimeoutNowReply:
        core = self._core
        if request.term == core.storage.term and core.is_voter:
            core.requested_election_term = request.term
            core.notify()
        return TimeoutNowReply(core.storage.term)

    @_handle.register
    async def _(self, request: IdentifyRequest) -> IdentifyReply:
        storage = self._storage
        return IdentifyReply(
            instance=self._settings.instance,
            disk_id=storage.disk_id,
            empty=storage.is_empty,
            term=storage.term,
            last_index=storage.last_index,
            voters=storage.voters,
        )
