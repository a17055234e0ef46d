"""Tasks of a leader: writing, replication, commits, voter changes, handover."""

import logging
import math
from collections import deque
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from typing import Any

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
from cuminbend.consensus._progress import Peer, ReplicationProgress
from cuminbend.consensus._voter_changes import next_voters
from cuminbend.exceptions import (
    CuminbendError,
    DiskError,
    NoQuorumError,
    NotLeaderError,
)
from cuminbend.ports import milliseconds

logger = logging.getLogger(__name__)

_MAX_WAIT_MS = 60_000
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class Leadership:
    """Leadership of one term; its methods are for use during that term.

    Attributes:
        term: The term that this replica leads.
        peers: Replication state of the other instances by name.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._storage = core.storage
        self.term = core.storage.term
        self.peers: dict[str, Peer] = {}
        self._progress = ReplicationProgress(core, self.peers)
        self._pending_proposals: deque[Proposal] = deque([Proposal("noop", b"")])
        self._first_own_index = core.storage.last_index + 1
        self._started_ms = core.clock.monotonic_ms()
        self._is_transferring = False
        self._write_start_ms: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether the replica still leads this term."""
        return self._core.role is Role.LEADER and self._storage.term == self.term

    async def run(self) -> None:
        """Lead until the replica steps down."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write_proposals)
                group.start_soon(self._supervise_peers, group)
                group.start_soon(self._watch_disk)
                while self.is_active:
                    await self._core.wait_until(
                        lambda: not self.is_active, _MAX_WAIT_MS
                    )
                group.cancel_scope.cancel()
        finally:
            for proposal in self._pending_proposals:
                proposal.fail(NotLeaderError(self._core.leader))
            self._pending_proposals.clear()

    # Proposals

    async def propose(self, data: bytes, timeout_ms: float) -> bytes:
        """Commit a command and return its result; see :meth:`Replica.propose`."""
        core = self._core
        core.state_machine.check(data)
        if not self.is_active or self._is_transferring or not core.disk_works:
            raise NotLeaderError(None if self.is_active else core.leader)
        uncommitted = (
            self._storage.last_index - core.commit_index + len(self._pending_proposals)
        )
        if uncommitted >= core.settings.max_uncommitted_entries:
            raise NotLeaderError(None)
        proposal = Proposal("command", data)
        self._pending_proposals.append(proposal)
        core.notify()
        try:
            if not await core.wait_for_event(proposal.done, timeout_ms):
                raise NoQuorumError(
                    f"no majority of voters wrote the command within {timeout_ms:.0f} "
                    "ms; it may still be applied, so send it again with the same id"
                )
        finally:
            if proposal in self._pending_proposals:
                self._pending_proposals.remove(proposal)
        if proposal.error is not None:
            raise proposal.error
        return proposal.result

    async def _write_proposals(self) -> None:
        """Append proposals; those that arrive during a sync form the next batch."""
        core = self._core
        while True:
            if not self._pending_proposals:
                await core.wait_until(
                    lambda: bool(self._pending_proposals), core.settings.heartbeat_ms
                )
                continue
            async with core.lock:
                if not self.is_active:
                    return
                await self._write_batch()
            core.notify()

    async def _write_batch(self) -> None:
        core = self._core
        batch = self._next_batch()
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
                self._remove_pending(proposal)
                proposal.fail(
                    NoQuorumError(f"the leader could not write the command: {error}")
                )
            core.report_disk_error(error)
            return
        finally:
            self._write_start_ms = None
        for entry, proposal in zip(entries, batch, strict=True):
            self._remove_pending(proposal)
            core.register_proposal(entry, proposal)
        self._advance_commit()

    def _next_batch(self) -> list[Proposal]:
        limit = self._core.settings.max_batch_entries
        return list(self._pending_proposals)[:limit]

    def _remove_pending(self, proposal: Proposal) -> None:
        if proposal in self._pending_proposals:
            self._pending_proposals.remove(proposal)

    async def _watch_disk(self) -> None:
        """Stop leading if the disk fails.

        A leader that has committed an entry of its term hands over, and steps down
        when another voter takes over. While none can, for instance because all disks
        are full, it continues to lead without accepting proposals, so that leases are
        still renewed.
        """
        core = self._core
        while self.is_active:
            await core.wait_until(
                lambda: not core.disk_works, core.settings.heartbeat_ms
            )
            if self._is_write_hanging():
                logger.error(
                    "event=disk_hangs instance=%s term=%d",
                    core.settings.instance,
                    self.term,
                )
                core.step_down()
            elif not core.disk_works and not self.has_committed_entry:
                core.step_down()
            elif not core.disk_works:
                await self._hand_over_leadership()

    def _is_write_hanging(self) -> bool:
        if self._write_start_ms is None:
            return False
        duration_ms = self._core.clock.monotonic_ms() - self._write_start_ms
        return duration_ms > self._core.settings.election_timeout_max_ms

    async def _hand_over_leadership(self) -> None:
        for peer in self._possible_successors():
            if await self._transfer_leadership_to(peer):
                return
        if not await self._core.probe_disk():
            await self._core.clock.sleep(
                milliseconds(self._core.settings.disk_retry_ms)
            )

    # Commit and confirmation

    def _advance_commit(self) -> None:
        """Commit what a majority has on disk.

        Only an entry of the current term is committed by counting the voters that have
        it; the entries before it are committed with it. A later leader could still
        replace an entry of a former term even though a majority has it.
        """
        voters = self._storage.voters
        indexes = sorted(map(self._progress.match_index, voters), reverse=True)
        index = indexes[majority(len(indexes)) - 1]
        if self.is_active and self._storage.term_at(index) == self.term:
            self._core.advance_commit(index)

    @property
    def has_committed_entry(self) -> bool:
        """Whether an entry of this term is committed."""
        return self.is_active and self._core.commit_index >= self._first_own_index

    def confirmed_at_ms(self) -> float | None:
        """Return the time up to which a majority has confirmed this leader.

        Returns:
            Latest monotonic time such that a majority has answered a message sent then
            or later. None if no entry of this term is committed or no majority has
            answered yet.
        """
        if not self.has_committed_entry:
            return None
        confirmed_ms = self._progress.majority_acknowledged_send_ms(
            self._storage.voters
        )
        return confirmed_ms if confirmed_ms > -math.inf else None

    # Replication, one task per peer

    async def _supervise_peers(self, group: TaskGroup) -> None:
        """Start replication tasks, step down without a majority, change the voters."""
        core = self._core
        while True:
            for instance in sorted(self._replication_targets() - self.peers.keys()):
                peer = Peer(instance, next_index=self._storage.last_index + 1)
                self.peers[instance] = peer
                group.start_soon(self._replicate_to_peer, peer)
            self._step_down_without_majority()
            voters = self._next_voters()
            if voters is not None and not self._is_transferring:
                self._propose_voters(voters)
            # To readmit an instance whose disk was lost, its new disk is added and then
            # its old one removed. Between the two changes there are four voters, of
            # which one is lost, so the second change follows without delay.
            await core.wait_until(
                lambda: not self._is_transferring and self._next_voters() is not None,
                core.settings.heartbeat_ms,
            )

    def _step_down_without_majority(self) -> None:
        """Step down if no majority has answered for an election timeout."""
        core = self._core
        confirmed_ms = self._progress.majority_acknowledged_send_ms(
            self._storage.voters
        )
        silent_ms = core.clock.monotonic_ms() - max(confirmed_ms, self._started_ms)
        if silent_ms > core.settings.election_timeout_max_ms and self.is_active:
            logger.warning(
                "event=majority_lost instance=%s term=%d silent_ms=%.0f",
                core.settings.instance,
                self.term,
                silent_ms,
            )
            core.step_down()

    def _replication_targets(self) -> set[str]:
        """Return the other voters, initial voters and instances to be admitted."""
        core = self._core
        instances = {voter.instance for voter in self._storage.voters}
        instances.update(core.settings.initial_voters)
        instances.update(core.instances_requesting_admission())
        instances.discard(core.settings.instance)
        return instances

    async def _replicate_to_peer(self, peer: Peer) -> None:
        core = self._core
        while True:
            if peer.instance not in self._replication_targets():
                del self.peers[peer.instance]
                return
            try:
                may_continue = await self._send_next_message(peer)
            except CuminbendError as error:
                peer.is_failing = True
                logger.debug(
                    "event=peer_failed instance=%s peer=%s error=%s",
                    core.settings.instance,
                    peer.instance,
                    error,
                )
                await core.clock.sleep(milliseconds(core.settings.heartbeat_ms))
                continue
            if not may_continue:
                await core.clock.sleep(milliseconds(core.settings.heartbeat_ms))
            else:
                await core.wait_until(
                    lambda: self._has_news_for(peer), core.settings.heartbeat_ms
                )

    def _has_news_for(self, peer: Peer) -> bool:
        """Return whether a peer lacks an entry, or does not know that one is committed.

        Followers apply an entry once they know that it is committed. Without a message
        of its own, that would take up to a heartbeat.
        """
        return (
            peer.next_index <= self._storage.last_index
            or peer.known_commit_index < self._core.commit_index
        )

    async def _send_next_message(self, peer: Peer) -> bool:
        """Send one message and return whether the next may follow without a pause."""
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
        size_bytes = sum(len(entry.data) for entry in request.entries)
        if size_bytes > core.settings.max_batch_bytes:
            # Without a limit by its size, a large entry would be sent again and again,
            # and all entries after it would wait.
            timeout_ms = core.settings.snapshot_timeout_ms
            reply = await self._call_with_heartbeats(peer, request, timeout_ms)
        else:
            reply = await core.transport.call(
                peer.instance, request, core.settings.rpc_timeout_ms
            )
        if not isinstance(reply, AppendReply) or reply.round != request.round:
            return False
        return await self._handle_append_reply(peer, request, reply, sent_ms)

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
        if peer.is_failing:
            return ()
        settings = self._core.settings
        entries = self._storage.entries(peer.next_index, settings.max_batch_entries)
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.data)
            if size_bytes > settings.max_batch_bytes and count:
                return entries[:count]
        return entries

    async def _handle_append_reply(
        self, peer: Peer, request: AppendRequest, reply: AppendReply, sent_ms: float
    ) -> bool:
        """Record a reply and return whether the next message may follow at once."""
        if not await self._record_reply(peer, reply, sent_ms):
            return False
        if reply.success:
            peer.match_index = max(peer.match_index, reply.last_index)
            peer.next_index = peer.match_index + 1
            peer.known_commit_index = request.commit_index
            self._advance_commit()
            self._core.notify()
            return True
        next_index = max(1, min(request.prev_index, reply.last_index + 1))
        steps_back = next_index < peer.next_index
        peer.next_index = next_index
        return steps_back

    async def _record_reply(
        self, peer: Peer, reply: AppendReply | SnapshotReply, sent_ms: float
    ) -> bool:
        """Record a reply; return False if it is of another term or this one ended."""
        if reply.term > self.term:
            await self._core.observe_term(reply.term)
            return False
        if reply.term < self.term or not self.is_active:
            return False
        now_ms = self._core.clock.monotonic_ms()
        peer.is_failing = False
        peer.record_reply(reply.disk_id, sent_ms=sent_ms, now_ms=now_ms)
        return True

    async def _send_snapshot(self, peer: Peer) -> bool:
        """Send the snapshot and return whether the next message may follow at once."""
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
        reply = await self._call_with_heartbeats(
            peer, request, core.settings.snapshot_timeout_ms
        )
        if not isinstance(reply, SnapshotReply):
            return False
        if not await self._record_reply(peer, reply, sent_ms):
            return False
        if reply.last_index < snapshot.index:
            return False
        peer.match_index = max(peer.match_index, snapshot.index)
        peer.next_index = peer.match_index + 1
        core.notify()
        return True

    async def _call_with_heartbeats(
        self, peer: Peer, request: Any, timeout_ms: float
    ) -> Any:
        """Send a large message and return the reply, or None if there was none.

        Sending it can take longer than an election timeout, and this peer's replies may
        be needed for a majority, so heartbeats are sent meanwhile.
        """
        reply = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_heartbeats, peer, timeout_ms)
            with suppress(CuminbendError):
                reply = await self._core.transport.call(
                    peer.instance, request, timeout_ms
                )
            group.cancel_scope.cancel()
        if reply is None:
            peer.is_failing = True
        return reply

    async def _send_heartbeats(self, peer: Peer, timeout_ms: float) -> None:
        """Send heartbeats until cancelled; they match any log and commit nothing.

        They wait behind the large message on its connection, and a call that ends
        without a reply may close it, so they get as much time.
        """
        core = self._core
        while True:
            await core.clock.sleep(milliseconds(core.settings.heartbeat_ms))
            request = self._append_request(peer, 0, 0, entries=(), commit_index=0)
            sent_ms = core.clock.monotonic_ms()
            with suppress(CuminbendError):
                reply = await core.transport.call(peer.instance, request, timeout_ms)
                if isinstance(reply, AppendReply) and reply.round == request.round:
                    await self._record_reply(peer, reply, sent_ms)

    # Membership

    def _next_voters(self) -> tuple[Voter, ...] | None:
        """Return the voters after the next change, or None if none may be made now."""
        if not self.has_committed_entry or not self._core.disk_works:
            return None
        if self._storage.voters_index > self._core.commit_index:
            return None
        if any(proposal.kind == "voters" for proposal in self._pending_proposals):
            return None
        return next_voters(self._progress, led_since_ms=self._started_ms)

    def _propose_voters(self, voters: tuple[Voter, ...]) -> None:
        logger.info(
            "event=voters_change instance=%s term=%d voters=%s",
            self._core.settings.instance,
            self.term,
            ",".join(f"{voter.instance}/{voter.disk_id}" for voter in voters),
        )
        self._pending_proposals.append(Proposal("voters", encode_voters(voters)))
        self._core.notify()

    # Handover

    async def transfer_leadership(self) -> bool:
        """Hand over to the voter whose log is most complete.

        Returns:
            Whether this replica no longer leads the term; False if no voter answers.
        """
        successors = self._possible_successors()
        return bool(successors) and await self._transfer_leadership_to(successors[0])

    def _possible_successors(self) -> list[Peer]:
        """Return the peers that are voters and answer, the most complete log first."""
        now_ms = self._core.clock.monotonic_ms()
        settings, voters = self._core.settings, self._storage.voters
        return sorted(
            (
                peer
                for peer in self.peers.values()
                if Voter(peer.instance, peer.disk_id) in voters
                and now_ms - peer.last_acknowledged_send_ms
                < settings.election_timeout_max_ms
            ),
            key=lambda peer: (
                -peer.match_index,
                -peer.last_acknowledged_send_ms,
                peer.instance,
            ),
        )

    def _has_all_entries(self, peer: Peer) -> bool:
        """Return whether a peer has all entries and none is about to be written.

        The other voters would refuse their votes to a successor that lacks an entry
        written after the check.
        """
        return (
            not self._pending_proposals and peer.match_index == self._storage.last_index
        )

    async def _transfer_leadership_to(self, peer: Peer) -> bool:
        """Refuse proposals while a peer catches up and stands for election.

        Returns:
            Whether this replica no longer leads the term.
        """
        core = self._core
        timeout_ms = core.settings.election_timeout_min_ms
        self._is_transferring = True
        try:
            await core.wait_until(
                lambda: self._has_all_entries(peer) or not self.is_active, timeout_ms
            )
            if self.is_active and self._has_all_entries(peer):
                await core.transport.call(
                    peer.instance,
                    TimeoutNowRequest(self.term),
                    core.settings.rpc_timeout_ms,
                )
                await core.wait_until(lambda: not self.is_active, timeout_ms)
        except CuminbendError:
            # The request may have arrived; the return value shows whether it did.
            pass
        finally:
            self._is_transferring = False
        return not self.is_active
