"""Entries and snapshots that a follower or learner receives, and own snapshots."""

import logging

import anyio

from cuminbend.consensus._core import ReplicaCore
from cuminbend.consensus._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    SnapshotReply,
    SnapshotRequest,
)
from cuminbend.consensus._storage import LogSnapshot
from cuminbend.exceptions import CorruptDataError, DiskError, UnsupportedDataError
from cuminbend.ports import milliseconds

logger = logging.getLogger(__name__)

_MAX_WAIT_MS = 60_000
# The leader sends a snapshot again as soon as it has the answer. The pause keeps a
# replica that cannot read it from receiving it all the time.
_UNSUPPORTED_SNAPSHOT_PAUSE_MS = 5000


async def handle_append(core: ReplicaCore, request: AppendRequest) -> AppendReply:
    """Write the entries of the leader and answer once they are synced.

    If the entries cannot be written, the error is logged and ``success`` is False.
    """
    if _is_heartbeat_during_write(core, request):
        core.follow(request.leader)
        retry_index = _find_retry_index(core, request)
        last_index = request.prev_index if retry_index is None else retry_index
        return _append_reply(
            core, request, success=retry_index is None, last_index=last_index
        )
    async with core.lock:
        if not await _accept_leader(core, request.term, request.leader):
            return _append_reply(core, request, success=False, last_index=0)
        _record_leader_commit(core, request.commit_index)
        retry_index = _find_retry_index(core, request)
        if retry_index is not None:
            return _append_reply(core, request, success=False, last_index=retry_index)
        try:
            await _write_entries(core, request.entries)
        except DiskError as error:
            # The reply still confirms the leader, so that leases of instances are
            # renewed although this replica cannot write entries.
            core.report_disk_error(error)
            last_index = core.storage.last_index
            return _append_reply(core, request, success=False, last_index=last_index)
        last_index = request.prev_index + len(request.entries)
        core.advance_commit(min(request.commit_index, last_index))
        return _append_reply(core, request, success=True, last_index=last_index)


def _is_heartbeat_during_write(core: ReplicaCore, request: AppendRequest) -> bool:
    """Return whether a message is a heartbeat to be answered without the lock.

    Writing a snapshot can take longer than an election timeout, and voters write
    theirs at about the same time. If heartbeats waited for the lock, the leader would
    lose its majority.
    """
    return (
        core.lock.locked() and not request.entries and request.term == core.storage.term
    )


async def _accept_leader(core: ReplicaCore, term: int, leader: str) -> bool:
    """Return whether a message is from the current leader, and record the contact."""
    if term < core.storage.term:
        return False
    if term > core.storage.term:
        try:
            await core.adopt_term(term)
        except DiskError as error:
            # The reply still confirms the new leader, so that leases of instances are
            # renewed.
            core.report_disk_error(error)
            core.storage.adopt_term_in_memory(term)
    core.follow(leader)
    return True


def _record_leader_commit(core: ReplicaCore, commit_index: int) -> None:
    """Record the leader's commit index, which shows whether this replica lags."""
    core.leader_commit_index = max(core.leader_commit_index, commit_index)


def _append_reply(
    core: ReplicaCore, request: AppendRequest, *, success: bool, last_index: int
) -> AppendReply:
    snapshot = core.storage.snapshot
    return AppendReply(
        term=core.storage.term,
        success=success,
        last_index=last_index,
        round=request.round,
        disk_id=core.storage.disk_id,
        snapshot_index=snapshot.index if snapshot else 0,
    )


def _find_retry_index(core: ReplicaCore, request: AppendRequest) -> int | None:
    """Return the index after which the leader has to retry, or None if all matches.

    The result is None if the log holds the entry before those sent. Otherwise it is the
    last index that may match: the end of the log, or the entry before the first one of
    the conflicting term, so that each retry skips a whole term.
    """
    storage = core.storage
    if request.prev_index > storage.last_index:
        return storage.last_index
    if request.prev_index <= core.commit_index:
        return None
    term = storage.term_at(request.prev_index)
    if term == request.prev_term:
        return None
    index = request.prev_index
    while index > core.commit_index and storage.term_at(index) == term:
        index -= 1
    return index


async def _write_entries(core: ReplicaCore, entries: tuple[Entry, ...]) -> None:
    """Append the entries that the log lacks, after removing those that conflict.

    Entries that are present are kept: a delayed message may end before the log does,
    and the entries after it may have been acknowledged since.

    Raises:
        CorruptDataError: If an entry differs from a committed one.
        DiskError: If the entries cannot be written.
    """
    storage = core.storage
    for position, entry in enumerate(entries):
        term = storage.term_at(entry.index)
        if entry.index <= core.commit_index:
            if term is not None and term != entry.term:
                raise CorruptDataError(
                    f"the leader's entry {entry.index} differs from the committed one; "
                    "check that all instances name the same initial voters"
                )
            continue
        if entry.index <= storage.last_index and term == entry.term:
            continue
        if entry.index <= storage.last_index:
            await storage.truncate_from(entry.index)
        await storage.append(entries[position:])
        core.disk_works = True
        return


async def handle_snapshot(core: ReplicaCore, request: SnapshotRequest) -> SnapshotReply:
    """Replace log and state machine by a snapshot unless they are as recent already.

    A snapshot that this release cannot read changes nothing.

    Raises:
        DiskError: If the snapshot cannot be written.
    """
    is_outdated = request.term < core.storage.term
    if request.last_index > core.commit_index and not is_outdated:
        try:
            core.check_snapshot(request.data, request.last_index)
        except UnsupportedDataError:
            await core.clock.sleep(milliseconds(_UNSUPPORTED_SNAPSHOT_PAUSE_MS))
            return SnapshotReply(
                core.storage.term, core.commit_index, core.storage.disk_id
            )
    async with core.snapshot_lock, core.lock:
        if not await _accept_leader(core, request.term, request.leader):
            return SnapshotReply(core.storage.term, 0, core.storage.disk_id)
        if request.last_index > core.commit_index:
            snapshot = LogSnapshot(
                request.last_index, request.last_term, request.voters, request.data
            )
            # Shielded, so that memory does not stay behind the disk if the caller
            # gives up.
            with anyio.CancelScope(shield=True):
                await core.storage.save_snapshot(snapshot)
                core.restore_snapshot()
            core.follow(request.leader)
        return SnapshotReply(core.storage.term, core.commit_index, core.storage.disk_id)


async def take_snapshots(core: ReplicaCore) -> None:
    """Store a snapshot whenever enough entries have been applied, until cancelled."""
    while True:
        if not _is_snapshot_due(core):
            await core.wait_until(lambda: _is_snapshot_due(core), _MAX_WAIT_MS)
            continue
        try:
            async with core.snapshot_lock:
                await _store_snapshot(core)
        except DiskError as error:
            core.report_disk_error(error)
            await core.clock.sleep(milliseconds(core.settings.disk_retry_ms))


async def _store_snapshot(core: ReplicaCore) -> None:
    index = core.commit_index
    snapshot = LogSnapshot(
        index=index,
        term=core.storage.term_at(index) or 0,
        voters=core.storage.voters_at(index),
        data=core.state_machine.snapshot(),
    )
    await core.storage.write_snapshot(snapshot)
    async with core.lock:
        await core.storage.compact(snapshot)
        core.log_size_after_compaction_bytes = core.storage.log_size_bytes


def _is_snapshot_due(core: ReplicaCore) -> bool:
    snapshot = core.storage.snapshot
    applied_entries = core.commit_index - (snapshot.index if snapshot else 0)
    if applied_entries == 0:
        return False
    # Compaction keeps the newest segment, so only the growth since then counts.
    growth_bytes = core.storage.log_size_bytes - core.log_size_after_compaction_bytes
    return (
        applied_entries >= core.settings.snapshot_after_entries
        or growth_bytes >= core.settings.snapshot_after_bytes
    )
