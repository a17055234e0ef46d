"""Messages of the control log; field names and order follow ``cuminbend_v1.proto``."""

from dataclasses import dataclass
from typing import Literal

EntryKind = Literal["noop", "command", "voters"]


@dataclass(frozen=True, slots=True, order=True)
class Voter:
    """An instance and its disk; with a replaced disk the instance is a new voter."""

    instance: str
    disk_id: str


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log.

    Attributes:
        kind: ``noop``, ``command`` or ``voters``.
        proposed_at_ms: Wall-clock time of the leader, ms since the epoch.
    """

    index: int
    term: int
    kind: str
    data: bytes
    proposed_at_ms: float


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or whether one would be granted.

    Attributes:
        pre_vote: Only ask whether a vote would be granted; changes no state.
        disk_id: Disk of the candidate.
        transfer: Whether the leader asked for this election; voters then grant it
            without waiting for an election timeout.
    """

    pre_vote: bool
    term: int
    candidate: str
    last_index: int
    last_term: int
    disk_id: str
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a vote request, with the disk that voted."""

    term: int
    granted: bool
    disk_id: str


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries; without entries it is a heartbeat.

    Attributes:
        round: Number of the message in the sequence from this leader to this peer.
        disk_id: Disk of the leader.
    """

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int
    disk_id: str


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to an append.

    Attributes:
        success: Whether the log matches the leader's up to the last entry sent.
        last_index: With success the last index that matches, else the last one that
            may match, after which the leader retries.
        round: The ``round`` of the request.
        snapshot_index: Index of the snapshot that the voter has on disk.
    """

    term: int
    success: bool
    last_index: int
    round: int
    disk_id: str
    snapshot_index: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Replaces the log of a voter that lacks entries the leader has compacted."""

    term: int
    leader: str
    last_index: int
    last_term: int
    voters: tuple[Voter, ...]
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Answer to a snapshot.

    Attributes:
        last_index: Commit index of the voter, or 0 if the sender's term is over.
    """

    term: int
    last_index: int
    disk_id: str


@dataclass(frozen=True, slots=True)
class TimeoutNowRequest:
    """Asks a voter to start an election at once."""

    term: int


@dataclass(frozen=True, slots=True)
class TimeoutNowReply:
    """Answer to a request to start an election."""

    term: int


@dataclass(frozen=True, slots=True)
class IdentifyRequest:
    """Asks an instance which disk it has."""


@dataclass(frozen=True, slots=True)
class IdentifyReply:
    """What an instance has on its disk.

    Attributes:
        empty: Whether the log holds nothing at all.
        voters: Latest voters in its log; lets a voter whose log is still empty learn
            that its disk has been admitted.
    """

    instance: str
    disk_id: str
    empty: bool
    term: int
    last_index: int
    voters: tuple[Voter, ...] = ()


# What voters send each other, for the codecs of transports.
CONSENSUS_MESSAGES = (
    AppendReply,
    AppendRequest,
    IdentifyReply,
    IdentifyRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNowReply,
    TimeoutNowRequest,
    VoteReply,
    VoteRequest,
)
