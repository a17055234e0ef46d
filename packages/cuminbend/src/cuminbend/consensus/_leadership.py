"""What a leader does: write, replicate, commit, change voters, hand over."""

import logging
import math
from collections import deque
from contextlib import suppress
from datetime import UTC, datetime, timedelta

import anyio
from anyio.abc import TaskGroup

from cuminbend.consensus._base import encode_voters, majority
from cuminbend.consensus._core import Proposal, ReplicaCore, Role
from cuminbend.consensus._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNowRequest,
    Voter,
)
from cuminbend.consensus._progress import Peer, Progress
from cuminbend.consensus._voter_changes import next_voters
from cuminbend.exceptions import (
    CuminbendError,
    DiskError,
    NoQuorumError,
    NotLeaderError,
)
from cuminbend.ports import milliseconds

logger = logging.getLogger(__name__)

_IDLE_MS = 60_000
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class Leadership:
    """One term of leadership; all methods are for use while it lasts."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._storage = core.storage
        self.term = core.storage.term
        self.peers: dict[str, Peer] = {}
        self._progress = Progress(core, self.peers)
        self._pending: deque[Proposal] = deque([Proposal("noop", b"")])
        self._first_index = core.storage.last_index + 1
        self._started_ms = core.clock.monotonic_ms()
        self._transferring = False
        self._write_start_ms: float | None = None

    @property
    def active(self) -> bool:
        """Whether the replica still leads this term."""
        return self._core.role is Role.LEADER and self._storage.term == self.term

    async def run(self) -> None:
        """Lead until the replica steps down."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write_proposals)
                group.start_soon(self._supervise, group)
                group.start_soon(self._watch_disk)
                while self.active:
                    await self._core.wait_until(lambda: not self.active, _IDLE_MS)
                group.cancel_scope.cancel()
        finally:
            for proposal in self._pending:
                proposal.fail(NotLeaderError(self._core.leader))
            self._pending.clear()

    # Proposals

    async def propose(self, data: bytes, timeout_ms: float) -> bytes:
        """Commit a command and return its result; see :meth:`Replica.propose`."""
        core = self._core
        if not self.active or self._transferring or not core.disk_works:
            raise NotLeaderError(None if self.active else core.leader)
        uncommitted = self._storage.last_index - core.commit_index + len(self._pending)
        if uncommitted >= core.settings.max_uncommitted_entries:
            raise NotLeaderError(None)
        proposal = Proposal("command", data)
        self._pending.append(proposal)
        core.notify()
        try:
            if not await core.wait(proposal.done, timeout_ms):
                raise NoQuorumError(
                    f"no majority of voters wrote the command within {timeout_ms:.0f} "
                    "ms; it may still be applied, so send it again with the same id"
                )
        finally:
            if proposal in self._pending:
                self._pending.remove(proposal)
        if proposal.error is not None:
            raise proposal.error
        return proposal.result

    async def _write_proposals(self) -> None:
        """Append what has arrived; what arrives during a sync forms the next batch."""
        core = self._core
        while True:
            if not self._pending:
                await core.wait_until(
                    lambda: bool(self._pending), core.settings.heartbeat_ms
                )
                continue
            async with core.lock:
                if not self.active:
                    return
                await self._write_batch()
            core.notify()

    async def _write_batch(self) -> None:
        core = self._core
        batch = self._take_batch()
        at_ms = (core.clock.now() - _EPOCH) / timedelta(milliseconds=1)
        start = self._storage.last_index + 1
        entries = [
            Entry(start + offset, self.term, proposal.kind, proposal.data, at_ms)
            for offset, proposal in enumerate(batch)
        ]
        self._write_start_ms = core.clock.monotonic_ms()
        try:
            await self._storage.append(entries)
        except DiskError as error:
            for proposal in batch:
                self._discard(proposal)
                proposal.fail(
                    NoQuorumError(f"the leader could not write the command: {error}")
                )
            core.report_disk_error(error)
            return
        finally:
            self._write_start_ms = None
        for entry, proposal in zip(entries, batch, strict=True):
            self._discard(proposal)
            core.expect(entry, proposal)
        self._advance_commit()

    def _take_batch(self) -> list[Proposal]:
        limit = self._core.settings.max_batch_entries
        return list(self._pending)[:limit]

    def _discard(self, proposal: Proposal) -> None:
        if proposal in self._pending:
            self._pending.remove(proposal)

    async def _watch_disk(self) -> None:
        """Stop leading if the disk fails.

        A leader that is established hands over, and steps down when another voter
        takes over. While none can, for instance because all disks are full, it goes
        on to lead without taking proposals, so that leases are still renewed.
        """
        core = self._core
        while self.active:
            await core.wait_until(
                lambda: not core.disk_works, core.settings.heartbeat_ms
            )
            if self._write_hangs():
                logger.error(
                    "event=disk_hangs instance=%s term=%d",
                    core.settings.instance,
                    self.term,
                )
                core.step_down()
            elif not core.disk_works and not self.established:
                core.step_down()
            elif not core.disk_works:
                await self._hand_over()

    def _write_hangs(self) -> bool:
        if self._write_start_ms is None:
            return False
        duration_ms = self._core.clock.monotonic_ms() - self._write_start_ms
        return duration_ms > self._core.settings.election_timeout_max_ms

    async def _hand_over(self) -> None:
        for peer in self._successors():
            if await self._transfer_to(peer):
                return
        if not await self._core.probe_disk():
            await self._core.clock.sleep(
                milliseconds(self._core.settings.disk_retry_ms)
            )

    # Commit and confirmation

    def _advance_commit(self) -> None:
        """Commit what a majority has on disk.

        Only an entry of the own term is committed by counting; it commits those
        before it. An entry of a former term could still be replaced by a later
        leader even though a majority has it.
        """
        voters = self._storage.voters
        indexes = sorted(map(self._progress.match_index, voters), reverse=True)
        index = indexes[majority(len(indexes)) - 1]
        if self.active and self._storage.term_at(index) == self.term:
            self._core.advance_commit(index)

    @property
    def established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self.active and self._core.commit_index >= self._first_index

    def confirmed_at_ms(self) -> float | None:
        """Return when the last round that a majority acknowledged was started."""
        if not self.established:
            return None
        confirmed_ms = self._progress.majority_acknowledged_ms(self._storage.voters)
        return confirmed_ms if confirmed_ms > -math.inf else None

    # Replication, one task per peer

    async def _supervise(self, group: TaskGroup) -> None:
        """Start the task of each peer, watch the majority, and change the voters."""
        core = self._core
        while True:
            for instance in sorted(self._wanted_peers() - self.peers.keys()):
                peer = Peer(instance, next_index=self._storage.last_index + 1)
                self.peers[instance] = peer
                group.start_soon(self._replicate, peer)
            self._check_majority()
            voters = self._next_voters()
            if voters is not None and not self._transferring:
                self._propose_voters(voters)
            # Between the two changes of a readmission four voters count, of which
            # one is lost, so the second change follows without delay.
            await core.wait_until(
                lambda: not self._transferring and self._next_voters() is not None,
                core.settings.heartbeat_ms,
            )

    def _check_majority(self) -> None:
        """Step down if no majority has answered for an election timeout."""
        core = self._core
        confirmed_ms = self._progress.majority_acknowledged_ms(self._storage.voters)
        silent_ms = core.clock.monotonic_ms() - max(confirmed_ms, self._started_ms)
        if silent_ms > core.settings.election_timeout_max_ms and self.active:
            logger.warning(
                "event=majority_lost instance=%s term=%d silent_ms=%.0f",
                core.settings.instance,
                self.term,
                silent_ms,
            )
            core.step_down()

    def _wanted_peers(self) -> set[str]:
        """Return the instances that are voters, may be voters, or ask to be."""
        core = self._core
        instances = {voter.instance for voter in self._storage.voters}
        instances.update(core.settings.initial_voters)
        instances.update(core.recent_candidates())
        instances.discard(core.settings.instance)
        return instances

    async def _replicate(self, peer: Peer) -> None:
        core = self._core
        while True:
            if peer.instance not in self._wanted_peers():
                del self.peers[peer.instance]
                return
            try:
                progress = await self._exchange(peer)
            except CuminbendError as error:
                peer.failing = True
                logger.debug(
                    "event=peer_failed instance=%s peer=%s error=%s",
                    core.settings.instance,
                    peer.instance,
                    error,
                )
                await core.clock.sleep(milliseconds(core.settings.heartbeat_ms))
                continue
            if not progress:
                await core.clock.sleep(milliseconds(core.settings.heartbeat_ms))
            else:
                await core.wait_until(
                    lambda: peer.next_index <= self._storage.last_index,
                    core.settings.heartbeat_ms,
                )

    async def _exchange(self, peer: Peer) -> bool:
        """Send one message; return False if sending more at once is pointless."""
        prev_index = peer.next_index - 1
        prev_term = self._storage.term_at(prev_index)
        if prev_term is None or peer.next_index < self._storage.first_index:
            return await self._send_snapshot(peer)
        core = self._core
        request = self._append_request(
            peer,
            prev_index,
            prev_term,
            entries=self._next_entries(peer),
            commit_index=core.commit_index,
        )
        sent_ms = core.clock.monotonic_ms()
        reply = await core.transport.call(
            peer.instance, request, core.settings.rpc_timeout_ms
        )
        if not isinstance(reply, AppendReply) or reply.round != request.round:
            return False
        return await self._on_append_reply(peer, request, reply, sent_ms)

    def _append_request(
        self,
        peer: Peer,
        prev_index: int,
        prev_term: int,
        *,
        entries: tuple[Entry, ...],
        commit_index: int,
    ) -> AppendRequest:
        peer.round += 1
        return AppendRequest(
            term=self.term,
            leader=self._core.settings.instance,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=entries,
            commit_index=commit_index,
            round=peer.round,
            disk_id=self._storage.disk_id,
        )

    def _next_entries(self, peer: Peer) -> tuple[Entry, ...]:
        if peer.failing:
            return ()
        settings = self._core.settings
        entries = self._storage.entries(peer.next_index, settings.max_batch_entries)
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.data)
            if size_bytes > settings.max_batch_bytes and count:
                return entries[:count]
        return entries

    async def _on_append_reply(
        self, peer: Peer, request: AppendRequest, reply: AppendReply, sent_ms: float
    ) -> bool:
        if not await self._note_reply(peer, reply, sent_ms):
            return False
        if reply.success:
            peer.match_index = max(peer.match_index, reply.last_index)
            peer.next_index = peer.match_index + 1
            self._advance_commit()
            self._core.notify()
            return True
        next_index = max(1, min(request.prev_index, reply.last_index + 1))
        steps_back = next_index < peer.next_index
        peer.next_index = next_index
        return steps_back

    async def _note_reply(
        self, peer: Peer, reply: AppendReply | SnapshotReply, sent_ms: float
    ) -> bool:
        if reply.term > self.term:
            await self._core.observe_term(reply.term)
            return False
        if reply.term < self.term or not self.active:
            return False
        now_ms = self._core.clock.monotonic_ms()
        peer.failing = False
        peer.note_reply(reply.disk_id, sent_ms=sent_ms, now_ms=now_ms)
        return True

    async def _send_snapshot(self, peer: Peer) -> bool:
        snapshot = self._storage.snapshot
        assert snapshot is not None
        core = self._core
        request = SnapshotRequest(
            term=self.term,
            leader=core.settings.instance,
            last_index=snapshot.index,
            last_term=snapshot.term,
            voters=snapshot.voters,
            data=snapshot.data,
        )
        sent_ms = core.clock.monotonic_ms()
        reply = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._keep_alive, peer)
            with suppress(CuminbendError):
                reply = await core.transport.call(
                    peer.instance, request, core.settings.snapshot_timeout_ms
                )
            group.cancel_scope.cancel()
        if not isinstance(reply, SnapshotReply):
            return False
        if not await self._note_reply(peer, reply, sent_ms):
            return False
        if reply.last_index < snapshot.index:
            return False
        peer.match_index = max(peer.match_index, snapshot.index)
        peer.next_index = peer.match_index + 1
        core.notify()
        return True

    async def _keep_alive(self, peer: Peer) -> None:
        """Send heartbeats while a snapshot is under way.

        That can take longer than an election timeout, and this peer's answers may be
        needed for a majority. The messages match any log and commit nothing.
        """
        core = self._core
        while True:
            await core.clock.sleep(milliseconds(core.settings.heartbeat_ms))
            request = self._append_request(peer, 0, 0, entries=(), commit_index=0)
            sent_ms = core.clock.monotonic_ms()
            with suppress(CuminbendError):
                reply = await core.transport.call(
                    peer.instance, request, core.settings.rpc_timeout_ms
                )
                if isinstance(reply, AppendReply) and reply.round == request.round:
                    await self._note_reply(peer, reply, sent_ms)

    # Membership

    def _next_voters(self) -> tuple[Voter, ...] | None:
        """Return the voters after the next change, by one, if one is due."""
        if not self.established or not self._core.disk_works:
            return None
        if self._storage.voters_index > self._core.commit_index:
            return None
        if any(proposal.kind == "voters" for proposal in self._pending):
            return None
        return next_voters(self._progress, led_since_ms=self._started_ms)

    def _propose_voters(self, voters: tuple[Voter, ...]) -> None:
        logger.info(
            "event=voters_change instance=%s term=%d voters=%s",
            self._core.settings.instance,
            self.term,
            ",".join(f"{v.instance}/{v.disk_id}" for v in voters),
        )
        self._pending.append(Proposal("voters", encode_voters(voters)))
        self._core.notify()

    # Handover

    async def transfer(self) -> bool:
        """Hand over to the voter that is furthest; return whether it took over."""
        successors = self._successors()
        return bool(successors) and await self._transfer_to(successors[0])

    def _successors(self) -> list[Peer]:
        """Return the voters that answer, the one that is furthest first."""
        now_ms = self._core.clock.monotonic_ms()
        settings, voters = self._core.settings, self._storage.voters
        return sorted(
            (
                peer
                for peer in self.peers.values()
                if Voter(peer.instance, peer.disk_id) in voters
                and now_ms - peer.acknowledged_ms < settings.election_timeout_max_ms
            ),
            key=lambda peer: (-peer.match_index, -peer.acknowledged_ms, peer.instance),
        )

    def _has_everything(self, peer: Peer) -> bool:
        """Return whether a peer has all entries and none is about to be written.

        The other voters would refuse their votes to a successor that lacks an entry
        written after the check.
        """
        return not self._pending and peer.match_index == self._storage.last_index

    async def _transfer_to(self, peer: Peer) -> bool:
        """Take no proposals while one voter catches up and stands for election."""
        core = self._core
        timeout_ms = core.settings.election_timeout_min_ms
        self._transferring = True
        try:
            await core.wait_until(
                lambda: self._has_everything(peer) or not self.active, timeout_ms
            )
            if self.active and self._has_everything(peer):
                await core.transport.call(
                    peer.instance,
                    TimeoutNowRequest(self.term),
                    core.settings.rpc_timeout_ms,
                )
                await core.wait_until(lambda: not self.active, timeout_ms)
        except CuminbendError:
            # The request may have arrived; the role tells.
            pass
        finally:
            self._transferring = False
        return not self.active
