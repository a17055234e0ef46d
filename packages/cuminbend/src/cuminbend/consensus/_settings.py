"""Settings of a replica."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSettings:
    """Settings of one replica.

    Attributes:
        instance: Name of this instance.
        initial_voters: Instances with a disk that form a new cluster; the same on all
            of them.
        bootstraps: Whether a new cluster may be started; False on an instance that is
            added to a cluster or whose disk was replaced.
        heartbeat_ms: Interval of the leader's messages to each peer.
        election_timeout_min_ms: Shortest time without contact with a leader after
            which a voter stands for election. Within it, voters refuse their votes
            unless the leader asked for the election.
        election_timeout_max_ms: Longest such time; a leader steps down after this time
            without replies from a majority.
        rpc_timeout_ms: Limit for a message and its reply; below the minimum election
            timeout, so that one lost heartbeat does not start an election.
        snapshot_timeout_ms: Limit for sending a whole snapshot, or an entry that is
            larger than ``max_batch_bytes``.
        snapshot_after_entries: Entries applied between two snapshots.
        snapshot_after_bytes: Growth of the log after which a snapshot is taken even
            with fewer entries, because an entry may hold a large operator file.
        max_batch_entries: Most entries in one append to disk or to a peer.
        max_batch_bytes: Most data in one append to a peer, unless one entry is larger;
            below the default message limit of gRPC (4 MiB).
        max_uncommitted_entries: Proposals are refused beyond this number, because the
            log cannot be compacted while no majority accepts entries.
        disk_retry_ms: Pause after a failed write before the disk is tried again.
        first_election_timeout_max_ms: Longest wait for a leader after the start, or
            None for the usual election timeout. If it is set, a restarted voter may
            vote at once, so set it only where leases do not depend on restarted voters
            refusing to vote.
        admission_request_ttl_ms: Time for which a request to become a voter is valid;
            the instance repeats it. A stop notice is valid for the same time.
        remove_silent_after_ms: Time without a reply after which a voter may be removed,
            although fewer than ``min_live_voters`` are in touch; long enough for two
            elections.
        min_live_voters: Number of voters in touch that suffices for the losses that
            the cluster has to bear, which is one more than twice these losses; silent
            voters beyond it are removed.
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
    admission_request_ttl_ms: float = 5000
    remove_silent_after_ms: float = 2500
    min_live_voters: int = 3
