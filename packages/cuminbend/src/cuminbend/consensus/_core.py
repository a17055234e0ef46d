"""State of a replica that its modules share."""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import anyio

from cuminbend.consensus._base import StateMachine
from cuminbend.consensus._messages import Entry, Voter
from cuminbend.consensus._settings import ReplicaSettings
from cuminbend.consensus._storage import LogStorage
from cuminbend.exceptions import (
    DiskError,
    NoQuorumError,
    NotLeaderError,
    UnsupportedDataError,
)
from cuminbend.ports import Clock, ConsensusTransport, RandomSource, milliseconds

logger = logging.getLogger(__name__)

# A remaining time below the resolution of timedelta (1 us) would become 0, and the
# waiting loop would spin.
_MIN_SLEEP_MS = 0.1


class Role(StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, eq=False)
class Proposal:
    """An entry to be committed and the caller that waits for its result."""

    kind: str
    data: bytes
    done: anyio.Event = field(default_factory=anyio.Event)
    result: bytes = b""
    error: Exception | None = None

    def succeed(self, result: bytes) -> None:
        """Complete the proposal with the result of the state machine."""
        self.result = result
        self.done.set()

    def fail(self, error: Exception) -> None:
        """Complete the proposal with an error."""
        self.error = error
        self.done.set()


class ReplicaCore:
    """Term, role, voters and commit index of a replica.

    A task holds ``lock`` to change the log or the vote, and ``snapshot_lock`` to write
    a snapshot; ``snapshot_lock`` is acquired first. State in memory is only changed
    between two awaits. A change wakes every waiting task, which checks its condition
    again.

    Attributes:
        leader: Instance believed to lead, or None.
        log_size_after_compaction_bytes: Size of the log after the last compaction.
        led_since_ms: Monotonic time at which this replica won the election, or None
            if it does not lead.
        last_leader_contact_ms: Monotonic time of the last message from a leader. Before
            the first one, it is the time of the start, or ``-inf`` if
            ``first_election_timeout_max_ms`` is set.
        leader_commit_index: Highest commit index that a leader has sent.
        peer_reported_voters: Voters in a peer's log that include this disk, or empty.
        disk_works: False from a failed write until a write succeeds.
        requested_election_term: Term whose leader asked this replica to stand for
            election, or 0.
        is_stopping: Whether this replica prepares for a planned stop.
        unsupported: Why this release cannot go on from its state, or None. The log is
            still written and acknowledged, but nothing after that point is applied.
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
        self.settings = settings
        self.storage = storage
        self.transport = transport
        self.clock = clock
        self.random = random
        self.state_machine = state_machine
        self.lock = anyio.Lock()
        self.snapshot_lock = anyio.Lock()
        self.is_started = False
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.log_size_after_compaction_bytes = 0
        self.led_since_ms: float | None = None
        self.last_leader_contact_ms = float("-inf")
        self.commit_index = 0
        self.leader_commit_index = 0
        self.peer_reported_voters: tuple[Voter, ...] = ()
        self.disk_works = True
        self.requested_election_term = 0
        self.is_stopping = False
        self.unsupported: str | None = None
        self._unsupported_index = 0
        self._admission_requests: dict[str, float] = {}
        self._stop_notices: dict[str, float] = {}
        self._waiting_proposals: dict[int, tuple[int, Proposal]] = {}
        self._change_event = anyio.Event()

    async def start(self) -> None:
        """Recover the state from disk.

        Raises:
            UnsupportedDataError: If this release cannot read the snapshot.
        """
        if not self.storage.is_open:
            await self.storage.open()
        if self.storage.snapshot is not None:
            self.check_snapshot(self.storage.snapshot.data, self.storage.snapshot.index)
            self.state_machine.restore(self.storage.snapshot.data)
            self.commit_index = self.storage.snapshot.index
        # A voter that restarts may have answered a leader just before, so it must not
        # vote within the minimum election timeout.
        if self.settings.first_election_timeout_max_ms is None:
            self.last_leader_contact_ms = self.clock.monotonic_ms()
        self.is_started = True

    # Waiting

    def notify(self) -> None:
        """Wake every task that waits for a change."""
        self._change_event.set()
        self._change_event = anyio.Event()

    async def wait_for_event(self, event: anyio.Event, timeout_ms: float) -> bool:
        """Return whether ``event`` is set within ``timeout_ms``."""
        async with self._time_limit(timeout_ms):
            await event.wait()
        return event.is_set()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_ms: float
    ) -> bool:
        """Return whether ``condition`` becomes true within ``timeout_ms``."""
        if condition():
            return True
        async with self._time_limit(timeout_ms):
            while not condition():
                await self._change_event.wait()
        return condition()

    @asynccontextmanager
    async def _time_limit(self, timeout_ms: float) -> AsyncIterator[None]:
        """Cancel the block after ``timeout_ms``, as measured by ``clock``."""
        async with anyio.create_task_group() as group:

            async def expire() -> None:
                await self.clock.sleep(milliseconds(max(timeout_ms, _MIN_SLEEP_MS)))
                group.cancel_scope.cancel()

            group.start_soon(expire)
            yield
            group.cancel_scope.cancel()

    # Identity

    @property
    def own_voter(self) -> Voter:
        """This instance with its disk, as a voter."""
        return Voter(self.settings.instance, self.storage.disk_id)

    @property
    def is_voter(self) -> bool:
        """Whether this disk is among the latest voters of the log."""
        return self.own_voter in self.storage.voters

    @property
    def may_vote(self) -> bool:
        """Whether this disk may grant votes.

        A disk that is not a voter in its own log yet may vote if it is one in a peer's
        log: at the first start, or when a leader stopped before it had replicated the
        entry that adds this disk. Without this vote, there might be no majority.
        """
        return self.is_voter or self.own_voter in self.peer_reported_voters

    @property
    def has_live_leader(self) -> bool:
        """Whether a leader sent a message within the minimum election timeout.

        Always True on the leader itself.
        """
        if self.role is Role.LEADER:
            return True
        silent_ms = self.clock.monotonic_ms() - self.last_leader_contact_ms
        return silent_ms < self.settings.election_timeout_min_ms

    # Admission

    def record_admission_request(self, instance: str) -> None:
        """Record that an instance asks to become a voter."""
        self._admission_requests[instance] = self.clock.monotonic_ms()
        self._stop_notices.pop(instance, None)

    def instances_requesting_admission(self) -> list[str]:
        """Return the instances with a valid request to become a voter."""
        return self._instances_since_ttl(self._admission_requests)

    def record_stop_notice(self, instance: str) -> None:
        """Record that an instance is about to stop and does without its vote."""
        self._stop_notices[instance] = self.clock.monotonic_ms()
        self._admission_requests.pop(instance, None)
        self.notify()

    def stopping_instances(self) -> list[str]:
        """Return the instances with a valid stop notice."""
        return self._instances_since_ttl(self._stop_notices)

    def _instances_since_ttl(self, times_ms: dict[str, float]) -> list[str]:
        since_ms = self.clock.monotonic_ms() - self.settings.admission_request_ttl_ms
        return [name for name, at_ms in times_ms.items() if at_ms >= since_ms]

    @property
    def has_had_leader_contact(self) -> bool:
        """Whether a leader sent a message since the start.

        Always True without ``first_election_timeout_max_ms``.
        """
        return self.last_leader_contact_ms > float("-inf")

    # Role

    async def adopt_term(self, term: int) -> None:
        """Enter a later term as a follower; the caller holds ``lock``.

        Raises:
            DiskError: If the term cannot be persisted; the replica has stepped down.
        """
        self.step_down()
        self.leader = None
        await self.storage.save_vote(term, None)
        self.notify()

    async def observe_term(self, term: int) -> None:
        """Enter the term of a reply if it is later than the own one."""
        if term <= self.storage.term:
            return
        async with self.lock:
            if term > self.storage.term:
                try:
                    await self.adopt_term(term)
                except DiskError as error:
                    self.report_disk_error(error)

    def step_down(self) -> None:
        """Stop leading or standing for election."""
        if self.role is Role.LEADER:
            self.leader = None
            logger.info(
                "event=step_down instance=%s term=%d",
                self.settings.instance,
                self.storage.term,
            )
        self.role = Role.FOLLOWER
        self.led_since_ms = None
        self.notify()

    def follow(self, leader: str) -> None:
        """Record a message from the leader of the current term and follow it."""
        self.role = Role.FOLLOWER
        self.leader = leader
        self.last_leader_contact_ms = self.clock.monotonic_ms()
        self.notify()

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        self.role = Role.LEADER
        self.leader = self.settings.instance
        self.led_since_ms = self.clock.monotonic_ms()
        logger.info(
            "event=elected instance=%s term=%d last_index=%d",
            self.settings.instance,
            self.storage.term,
            self.storage.last_index,
        )
        self.notify()

    def report_disk_error(self, error: DiskError) -> None:
        """Record a failed write; no election is started before a write succeeds.

        Otherwise a voter with a full disk could win elections but write no entries.
        """
        if self.disk_works:
            logger.error(
                "event=disk_error instance=%s error=%s", self.settings.instance, error
            )
        self.disk_works = False
        self.notify()

    async def probe_disk(self) -> bool:
        """Test whether the disk can be written, and update ``disk_works``."""
        try:
            async with self.lock:
                await self.storage.check_writable()
        except DiskError as error:
            self.report_disk_error(error)
            return False
        self.disk_works = True
        return True

    # Commit

    def register_proposal(self, entry: Entry, proposal: Proposal) -> None:
        """Register ``proposal`` to get the result of ``entry`` once it is applied."""
        _, former = self._waiting_proposals.get(entry.index, (0, None))
        if former is not None:
            former.fail(
                NoQuorumError(
                    "the leader lost the entry of this command when it lost its term; "
                    "send the command again with the same id"
                )
            )
        self._waiting_proposals[entry.index] = (entry.term, proposal)

    def advance_commit(self, index: int) -> None:
        """Apply entries up to ``index``, which are known to be committed."""
        if index <= self.commit_index:
            return
        for entry in self.storage.entries(
            self.commit_index + 1, index - self.commit_index
        ):
            try:
                self._apply(entry)
            except UnsupportedDataError as error:
                # Skipping the entry would make this replica differ from those that
                # applied it, and nobody could tell.
                self._report_unsupported(entry.index, f"entry {entry.index}: {error}")
                self.step_down()
                break
            if entry.index >= self._unsupported_index:
                # What could not be read was not committed, or came in a snapshot that
                # the log has made superfluous.
                self.unsupported = None
        self.notify()

    def _apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind == "command":
            result = self.state_machine.apply(
                entry.kind, entry.data, entry.proposed_at_ms
            )
        self.commit_index = entry.index
        term, proposal = self._waiting_proposals.pop(entry.index, (0, None))
        if proposal is None:
            return
        if term == entry.term:
            proposal.succeed(result)
        else:
            # Another leader's entry has this index: the proposal is not in the log.
            proposal.fail(NotLeaderError(self.leader))

    def _report_unsupported(self, index: int, text: str) -> None:
        """Record that this release cannot read what the log has up to an index."""
        if text != self.unsupported:
            logger.error(
                "event=data_unsupported instance=%s error='%s' remedy='upgrade this "
                "instance and keep its data folder; until then it serves no state'",
                self.settings.instance,
                text,
            )
        self.unsupported = text
        self._unsupported_index = index

    def can_apply_log(self) -> bool:
        """Return whether this release can apply all entries of the log.

        A leader commits all of them, so a replica that cannot must not lead.
        """
        first, last = self.commit_index + 1, self.storage.last_index
        for entry in self.storage.entries(first, last - self.commit_index):
            if entry.kind == "command":
                try:
                    self.state_machine.check(entry.data)
                except UnsupportedDataError as error:
                    self._report_unsupported(
                        entry.index, f"entry {entry.index}: {error}"
                    )
                    return False
        return True

    def check_snapshot(self, data: bytes, index: int) -> None:
        """Check that this release can restore a snapshot, before it is stored.

        Args:
            data: The snapshot.
            index: Index of the last entry in it.

        Raises:
            UnsupportedDataError: If it cannot.
        """
        try:
            self.state_machine.check_snapshot(data)
        except UnsupportedDataError as error:
            self._report_unsupported(index, f"snapshot: {error}")
            raise

    def restore_snapshot(self) -> None:
        """Continue from the snapshot that has just been stored."""
        snapshot = self.storage.snapshot
        assert snapshot is not None
        self.state_machine.restore(snapshot.data)
        self.unsupported = None
        self.commit_index = snapshot.index
        for index in [i for i in self._waiting_proposals if i <= snapshot.index]:
            _, proposal = self._waiting_proposals.pop(index)
            proposal.fail(
                NoQuorumError("the entry was replaced by a snapshot; ask for its state")
            )
        self.notify()
