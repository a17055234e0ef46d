"""Durable state of one voter: identity, term and vote, snapshot, log segments."""

import json
import uuid
from bisect import bisect_right
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio

from cuminbend.consensus._base import decode_voters, encode_voters
from cuminbend.consensus._messages import Entry, Voter
from cuminbend.consensus._records import (
    CORRUPTION_REMEDY,
    decode_entry,
    decode_records,
    encode_entry,
    encode_record,
)
from cuminbend.exceptions import CorruptDataError, DiskError
from cuminbend.ports import Disk

IDENTITY_FILE = "consensus-identity"
VOTE_FILE = "consensus-vote"
SNAPSHOT_FILE = "consensus-snapshot"
PROBE_FILE = "consensus-probe"
SEGMENT_PREFIX = "consensus-log-"
# Bounds what a truncation or a recovery has to read at a time.
SEGMENT_SIZE_BYTES = 1 << 20
# Larger than one file-system block, so that a full disk fails the probe.
PROBE_SIZE_BYTES = 64 << 10
# Header, voters, and data of the state machine.
_SNAPSHOT_RECORDS = 3


@dataclass(frozen=True, slots=True)
class LogSnapshot:
    """State of the state machine and voters as of the entry ``index`` of the log."""

    index: int
    term: int
    voters: tuple[Voter, ...]
    data: bytes


@dataclass(slots=True)
class _Segment:
    """A log file; ``entry_ends`` holds the byte offset at which each entry ends."""

    name: str
    first_index: int
    entry_ends: list[int] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        return self.first_index + len(self.entry_ends) - 1

    @property
    def size_bytes(self) -> int:
        return self.entry_ends[-1] if self.entry_ends else 0


def _segment_name(first_index: int) -> str:
    return f"{SEGMENT_PREFIX}{first_index:020d}"


class LogStorage:
    """Files of one voter.

    Every writing method returns once the data is synced. Writes are shielded from
    cancellation, so that memory and disk stay consistent, and must not overlap; the
    replica serialises them. A write that fails with DiskError leaves the state as
    it was before; leftovers on disk are removed before the next write.

    Attributes:
        disk_id: Identity of the data folder.
        term: Latest term seen.
        voted_for: Candidate that got this voter's vote in the term, or None.
        snapshot: Latest snapshot, or None.
    """

    def __init__(
        self,
        *,
        disk: Disk,
        instance: str,
        new_disk_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._disk = disk
        self._new_disk_id = new_disk_id
        self.instance = instance
        self.disk_id = ""
        self.term = 0
        self.voted_for: Voter | None = None
        self.snapshot: LogSnapshot | None = None
        self._segments: list[_Segment] = []
        self._entries: list[Entry] = []
        self._voters_history: list[tuple[int, tuple[Voter, ...]]] = []
        self._pending_repairs: list[Callable[[], Awaitable[None]]] = []
        self._starts_new_segment = False
        self._is_term_saved = True

    # Recovery

    async def open(self) -> None:
        """Recover the state from the folder, creating an identity if it is empty.

        Raises:
            CorruptDataError: If the folder is damaged or belongs to another instance.
            DiskError: If the folder cannot be read or written.
        """
        self._segments, self._entries, self._voters_history = [], [], []
        names = self._disk.list_files()
        await self._load_or_create_identity(names)
        if VOTE_FILE in names:
            self._load_vote()
        if SNAPSHOT_FILE in names:
            self._load_snapshot()
        await self._load_segments(
            [name for name in names if name.startswith(SEGMENT_PREFIX)]
        )
        if self.last_index and not self.term:
            raise CorruptDataError(f"{VOTE_FILE} is missing; {CORRUPTION_REMEDY}")

    @property
    def log_size_bytes(self) -> int:
        """Size of all log segments on disk."""
        return sum(segment.size_bytes for segment in self._segments)

    @property
    def is_open(self) -> bool:
        """Whether :meth:`open` has succeeded."""
        return bool(self.disk_id)

    async def _load_or_create_identity(self, names: list[str]) -> None:
        if IDENTITY_FILE not in names:
            found = [name for name in names if name.startswith("consensus-")]
            if found:
                raise CorruptDataError(
                    f"{IDENTITY_FILE} is missing beside {found[0]}; {CORRUPTION_REMEDY}"
                )
            disk_id = self._new_disk_id()
            await self._replace(
                IDENTITY_FILE,
                _encode_json({"instance": self.instance, "disk_id": disk_id}),
            )
            self.disk_id = disk_id
            return
        identity = self._read_json(IDENTITY_FILE)
        if identity["instance"] != self.instance:
            raise CorruptDataError(
                f"the data folder belongs to instance {identity['instance']}, not to "
                f"{self.instance}; correct the instance name or the path of the data "
                "folder in the settings file"
            )
        self.disk_id = identity["disk_id"]

    def _load_vote(self) -> None:
        vote = self._read_json(VOTE_FILE)
        self.term = vote["term"]
        if vote["voted_for"] is not None:
            self.voted_for = Voter(*vote["voted_for"])

    def _load_snapshot(self) -> None:
        content = self._disk.read(SNAPSHOT_FILE)
        bodies, records_bytes = decode_records(SNAPSHOT_FILE, content)
        if records_bytes != len(content) or len(bodies) != _SNAPSHOT_RECORDS:
            raise CorruptDataError(
                f"{SNAPSHOT_FILE} is incomplete; {CORRUPTION_REMEDY}"
            )
        header = json.loads(bodies[0])
        self.snapshot = LogSnapshot(
            header["index"], header["term"], decode_voters(bodies[1]), bodies[2]
        )
        self._voters_history = [(self.snapshot.index, self.snapshot.voters)]

    async def _load_segments(self, names: list[str]) -> None:
        for name in names:
            await self._load_segment(name, is_last=name == names[-1])
        if self.snapshot is None:
            if self._entries and self._entries[0].index != 1:
                raise CorruptDataError(
                    f"{SNAPSHOT_FILE} is missing; {CORRUPTION_REMEDY}"
                )
            return
        if self._entries and self._entries[0].index > self.snapshot.index + 1:
            raise CorruptDataError(
                f"the log starts at entry {self._entries[0].index}, but the snapshot "
                f"ends at {self.snapshot.index}; {CORRUPTION_REMEDY}"
            )
        # An installed snapshot replaces the log; a crash can leave the old log files.
        if not self._log_matches_snapshot(self.snapshot):
            await self._drop_segments(len(self._segments))

    async def _load_segment(self, name: str, *, is_last: bool) -> None:
        content = self._disk.read(name)
        bodies, records_bytes = decode_records(name, content)
        if records_bytes < len(content):
            if not is_last:
                raise CorruptDataError(
                    f"{name} ends within a record; {CORRUPTION_REMEDY}"
                )
            await self._truncate(name, records_bytes)
        if not bodies:
            await self._delete(name)
            return
        entries = [decode_entry(body) for body in bodies]
        segment = _Segment(name, entries[0].index)
        expected = self._entries[-1].index + 1 if self._entries else entries[0].index
        for offset, entry in enumerate(entries):
            if entry.index != expected + offset or name != _segment_name(
                entries[0].index
            ):
                raise CorruptDataError(
                    f"{name} holds entry {entry.index} where entry "
                    f"{expected + offset} is expected; {CORRUPTION_REMEDY}"
                )
        self._segments.append(segment)
        for entry in entries:
            self._add_entry(segment, entry, len(encode_entry(entry)))

    def _read_json(self, name: str) -> dict[str, Any]:
        content = self._disk.read(name)
        bodies, records_bytes = decode_records(name, content)
        if records_bytes != len(content) or len(bodies) != 1:
            raise CorruptDataError(f"{name} is incomplete; {CORRUPTION_REMEDY}")
        value: dict[str, Any] = json.loads(bodies[0])
        return value

    # Reading

    @property
    def last_index(self) -> int:
        """Index of the last entry, 0 if there is none."""
        if self._entries:
            return self._entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_term(self) -> int:
        """Term of the last entry, 0 if there is none."""
        return self.term_at(self.last_index) or 0

    @property
    def first_index(self) -> int:
        """Index of the first entry that the log still holds or would hold."""
        return self._entries[0].index if self._entries else self.last_index + 1

    @property
    def is_empty(self) -> bool:
        """Whether the log never held anything."""
        return self.last_index == 0

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Latest voters in the log, committed or not."""
        return self._voters_history[-1][1] if self._voters_history else ()

    @property
    def voters_index(self) -> int:
        """Index of the entry that contains the latest voters, 0 if there is none."""
        return self._voters_history[-1][0] if self._voters_history else 0

    def voters_at(self, index: int) -> tuple[Voter, ...]:
        """Return the voters as of an entry, which must not precede the snapshot."""
        position = bisect_right(self._voters_history, index, key=lambda item: item[0])
        return self._voters_history[position - 1][1] if position else ()

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, 0 for index 0, None if it is unknown."""
        if self.first_index <= index <= self.last_index and self._entries:
            return self._entries[index - self.first_index].term
        if self.snapshot is not None and index == self.snapshot.index:
            return self.snapshot.term
        return 0 if index == 0 else None

    def entries(self, start: int, limit: int) -> tuple[Entry, ...]:
        """Return up to ``limit`` entries from index ``start``.

        Args:
            start: Index from ``first_index`` on; beyond the last entry, the result is
                empty.
            limit: Maximum number of entries.
        """
        position = start - self.first_index
        return tuple(self._entries[position : position + limit])

    # Writing

    async def save_vote(self, term: int, voted_for: Voter | None) -> None:
        """Persist the term and the vote.

        Raises:
            DiskError: If they cannot be written; memory keeps the former values.
        """
        pair = None if voted_for is None else [voted_for.instance, voted_for.disk_id]
        await self._replace(VOTE_FILE, _encode_json({"term": term, "voted_for": pair}))
        self.term = term
        self.voted_for = voted_for
        self._is_term_saved = True

    def adopt_term_in_memory(self, term: int) -> None:
        """Enter a later term in memory only, without a vote.

        For use when the disk cannot be written. This is safe because no vote is given
        in the term; the term is written before the next entry or vote.
        """
        self.term = term
        self.voted_for = None
        self._is_term_saved = False

    async def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that follow the last one, with one sync.

        Raises:
            DiskError: If they cannot be written; none of them is in the log then.
        """
        if not entries:
            return
        await self._prepare_write()
        records = [encode_entry(entry) for entry in entries]
        segment = self._segments[-1] if self._segments else None
        if (
            segment is None
            or self._starts_new_segment
            or segment.size_bytes >= SEGMENT_SIZE_BYTES
        ):
            segment = _Segment(_segment_name(entries[0].index), entries[0].index)
        try:
            await self._append(segment.name, b"".join(records))
        except DiskError:
            self._pending_repairs.append(
                self._truncation_repair(segment.name, segment.size_bytes)
            )
            await self._try_repairs()
            raise
        if not segment.entry_ends:
            self._segments.append(segment)
            self._starts_new_segment = False
        for entry, record in zip(entries, records, strict=True):
            self._add_entry(segment, entry, len(record))

    async def truncate_from(self, index: int) -> None:
        """Remove the entry ``index`` and all later ones.

        Raises:
            DiskError: If the files cannot be changed. The entries are gone from
                memory; the files are corrected before the next write.
        """
        await self._run_repairs()
        while self._segments and self._segments[-1].first_index >= index:
            self._pending_repairs.append(
                self._truncation_repair(self._segments.pop().name, 0)
            )
        if self._segments and self._segments[-1].last_index >= index:
            segment = self._segments[-1]
            del segment.entry_ends[index - segment.first_index :]
            self._pending_repairs.append(
                self._truncation_repair(segment.name, segment.size_bytes)
            )
        if self._entries:
            del self._entries[max(0, index - self.first_index) :]
        self._voters_history = [
            item for item in self._voters_history if item[0] < index
        ]
        await self._run_repairs()

    async def save_snapshot(self, snapshot: LogSnapshot) -> None:
        """Persist a snapshot and remove the log segments that it replaces.

        Raises:
            DiskError: If it cannot be written; the previous one is still valid.
        """
        await self._prepare_write()
        await self.write_snapshot(snapshot)
        await self.compact(snapshot)

    async def write_snapshot(self, snapshot: LogSnapshot) -> None:
        """Write the file of a snapshot; the caller calls :meth:`compact` next.

        Unlike other writes, this one may overlap with those of the log and the vote,
        so that they do not wait for a large snapshot.

        Raises:
            DiskError: If it cannot be written; the previous one is still valid.
        """
        content = (
            _encode_json({"index": snapshot.index, "term": snapshot.term})
            + encode_record(encode_voters(snapshot.voters))
            + encode_record(snapshot.data)
        )
        await self._replace(SNAPSHOT_FILE, content)

    async def compact(self, snapshot: LogSnapshot) -> None:
        """Remove the log segments that a written snapshot replaces.

        If the log holds the entry that the snapshot ends with, the entries since the
        previous snapshot are kept for peers that are slightly behind. Otherwise the
        whole log is replaced.
        """
        former_snapshot_index = self.snapshot.index if self.snapshot else 0
        self.snapshot = snapshot
        log_matches = self._log_matches_snapshot(snapshot)
        later = [item for item in self._voters_history if item[0] > snapshot.index]
        self._voters_history = [(snapshot.index, snapshot.voters)]
        if log_matches:
            self._voters_history += later
            removable_segments = sum(
                s.last_index <= former_snapshot_index for s in self._segments
            )
            # A segment that ends here can be deleted as a whole later.
            self._starts_new_segment = True
            await self._drop_segments(removable_segments)
        else:
            await self._drop_segments(len(self._segments))

    async def check_writable(self) -> None:
        """Write and delete a small file.

        Raises:
            DiskError: If the folder cannot be written.
        """
        await self._run_repairs()
        try:
            await self._replace(PROBE_FILE, bytes(PROBE_SIZE_BYTES))
        finally:
            await self._delete(PROBE_FILE)

    def _log_matches_snapshot(self, snapshot: LogSnapshot) -> bool:
        if not self._entries or not (
            self.first_index - 1 <= snapshot.index <= self.last_index
        ):
            return False
        if snapshot.index < self.first_index:
            return True
        return self._entries[snapshot.index - self.first_index].term == snapshot.term

    def _add_entry(self, segment: _Segment, entry: Entry, size_bytes: int) -> None:
        segment.entry_ends.append(segment.size_bytes + size_bytes)
        self._entries.append(entry)
        if entry.kind == "voters" and entry.index > self.voters_index:
            self._voters_history.append((entry.index, decode_voters(entry.data)))

    async def _drop_segments(self, count: int) -> None:
        """Delete the first ``count`` segments.

        If the whole log is deleted, the last segment is deleted first, so that segments
        left by a crash never continue the snapshot with entries of another history.
        """
        dropped, self._segments = self._segments[:count], self._segments[count:]
        del self._entries[: sum(len(segment.entry_ends) for segment in dropped)]
        ordered = dropped if self._segments else dropped[::-1]
        self._pending_repairs.extend(
            self._truncation_repair(segment.name, 0) for segment in ordered
        )
        await self._try_repairs()

    # Writes shielded from cancellation

    def _truncation_repair(
        self, name: str, size_bytes: int
    ) -> Callable[[], Awaitable[None]]:
        async def truncate_or_delete() -> None:
            if size_bytes:
                await self._truncate(name, size_bytes)
            else:
                await self._delete(name)

        return truncate_or_delete

    async def _prepare_write(self) -> None:
        """Finish pending repairs, and save a term that is only in memory."""
        await self._run_repairs()
        if not self._is_term_saved:
            await self.save_vote(self.term, self.voted_for)

    async def _run_repairs(self) -> None:
        while self._pending_repairs:
            await self._pending_repairs[0]()
            del self._pending_repairs[0]

    async def _try_repairs(self) -> None:
        try:
            await self._run_repairs()
        except DiskError:
            # The repairs are tried again before the next write.
            pass

    async def _append(self, name: str, data: bytes) -> None:
        with anyio.CancelScope(shield=True):
            await self._disk.append(name, data)

    async def _replace(self, name: str, data: bytes) -> None:
        with anyio.CancelScope(shield=True):
            await self._disk.replace(name, data)

    async def _truncate(self, name: str, size_bytes: int) -> None:
        with anyio.CancelScope(shield=True):
            await self._disk.truncate(name, size_bytes)

    async def _delete(self, name: str) -> None:
        with anyio.CancelScope(shield=True):
            await self._disk.delete(name)


def _encode_json(value: dict[str, Any]) -> bytes:
    return encode_record(json.dumps(value).encode())
