"""Settings of a replica."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSettings:
    """Settings of one voter.

    Attributes:
        instance: Name of this instance.
        initial_voters: Instances that have a disk; the same on all of them.
        bootstraps: Whether a new cluster may be started; False on an instance that is
            added to a cluster or whose disk was replaced.
        rpc_timeout_ms: Limit of one message; below the minimum election timeout, so
            that one lost heartbeat does not start an election.
        snapshot_timeout_ms: Limit of sending a whole snapshot.
        snapshot_after_entries: Entries applied between two snapshots.
        snapshot_after_bytes: Growth of the log after which a snapshot is taken even
            with fewer entries; operator files may be large.
        max_batch_entries: Entries in one append to disk or to a peer.
        max_batch_bytes: Data in one append to a peer, unless one entry is larger;
            below the default message limit of gRPC (4 MiB).
        max_uncommitted_entries: Proposals are refused beyond this, because the log
            cannot be compacted while no majority takes entries.
        disk_retry_ms: Pause after a failed write before the disk is tried again.
        first_election_timeout_max_ms: Longest wait for a leader after the start, if
            shorter than ``election_timeout_min_ms``. Only where no lease relies on a
            restarted voter's silence: it may vote at once then.
        candidate_lifetime_ms: Time for which a request to become a voter counts;
            candidates repeat it.
        remove_silent_after_ms: Silence after which a voter may be removed, once a
            newcomer has taken its place. Two elections fit into it.
    """

    instance: str
    initial_voters: tuple[str, ...]
    bootstraps: bool = True
    heartbeat_ms: float = 100
    election_timeout_min_ms: float = 600
    election_timeout_max_ms: float = 1200
    rpc_timeout_ms: float = 250
    snapshot_timeout_ms: float = 10_000
    snapshot_after_entries: int = 1000
    snapshot_after_bytes: int = 1 << 20
    max_batch_entries: int = 500
    max_batch_bytes: int = 1 << 20
    max_uncommitted_entries: int = 5000
    disk_retry_ms: float = 1000
    first_election_timeout_max_ms: float | None = None
    candidate_lifetime_ms: float = 5000
    remove_silent_after_ms: float = 2500
