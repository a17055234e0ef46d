"""Settings of searches."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class QuerySettings:
    """Settings of a query coordinator.

    Attributes:
        answer_margin_ms: Time before the caller's deadline at which the answer is
            returned with the replies so far, at most a tenth of the deadline.
        hedge_ratio: Hedges allowed per shard request.
        hedge_burst: Maximum number of hedge tokens that can accumulate; each hedge
            spends one. With 10, searches with several slow attempts at once found no
            tokens: p99 rose from 24 to 33 ms in a trial with 2% of the requests slowed
            20 times.
        min_hedge_delay_ms: Shortest hedge delay.
        hedge_initial_ms: Hedge delay until there are enough samples.
        max_hedges: Hedges per shard of one search. With 2% slow requests over 50
            shards, every 50th search has a shard whose first hedge is slow too.
        min_samples: Number of samples from which the hedge delay follows the observed
            latencies.
        latency_window: Number of samples kept per service for the hedge delay.
        pooled_window: Number of samples kept of all services together, which are used
            for a service with too few samples.
        overdue_factor: Number of hedge delays after which an unanswered attempt counts
            as lost and the retry budget may be used for another one.
        min_overdue_ms: Shortest time after which an attempt is overdue.
        retry_ratio: Retries allowed per successful attempt of a service.
        retry_burst: Maximum number of retry tokens of a service that can accumulate;
            each retry spends one.
        retry_delay_ms: Delay before an upstream is tried again in the same search; it
            doubles with each round, up to ``retry_delay_max_ms``.
        mismatch_avoid_ms: Time for which an upstream is avoided for a snapshot after it
            replied from another one.
        avoid_ms: Time for which an upstream is avoided after a failure; it doubles
            with each further failure, up to ``avoid_max_ms``.
        remote_penalty_ms: Time added to the expected latency of replicas in other data
            centres.
        latency_half_life_ms: Time in which a latency sample of an upstream loses half
            its weight.
        max_fingerprints: Maximum number of answered fingerprints that are remembered,
            and separately of fingerprints that crashed an upstream.
        canary_valid_ms: Time for which a fingerprint needs no new canary.
        crash_retention_ms: Time for which this instance remembers which upstreams a
            fingerprint crashed. It is longer than the replicated log takes to inform
            all instances.
        max_restarts: Number of times that one search may restart under another
            snapshot.
        latency_coverage: Share of complete shards from which members that prefer
            latency get their answer without waiting for stragglers. The default of 1
            waits for every shard that a reachable replica may still answer.
        min_straggler_wait_ms: Shortest wait for a shard before ``latency_coverage``
            applies to it.
        min_unreachable_attempts: Number of attempts of a search that have to fail to
            reach a replica before the replica counts as unreachable for that search.
            Its holdings then no longer count when snapshots are compared, and searches
            of members that prefer latency no longer wait for it.
        initial_search_limit: Limit of searches in progress at the start.
        min_search_limit: Lowest limit of searches in progress.
        decrease_factor: Factor on the limit after a search that met congestion.
        congestion_factor: Multiple of the base latency above which a search counts as
            congested. The base latency of a target is the lowest one observed,
            corrected by ``base_latency_drift``.
        base_latency_drift: Share of the excess latency of a search that is added to the
            base latency.
        headroom_share: Share of the limit up to which a member may use more than its
            own share.
        member_active_ms: Time after the last search of a member for which its share is
            reserved.
    """

    answer_margin_ms: float = 5.0
    hedge_ratio: float = 0.04
    hedge_burst: float = 30.0
    min_hedge_delay_ms: float = 2.0
    hedge_initial_ms: float = 20.0
    max_hedges: int = 2
    min_samples: int = 20
    latency_window: int = 256
    pooled_window: int = 512
    overdue_factor: float = 4.0
    min_overdue_ms: float = 50.0
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    retry_delay_ms: float = 5.0
    retry_delay_max_ms: float = 100.0
    mismatch_avoid_ms: float = 3000.0
    avoid_ms: float = 200.0
    avoid_max_ms: float = 5000.0
    remote_penalty_ms: float = 1.5
    latency_half_life_ms: float = 5000.0
    max_fingerprints: int = 10_000
    canary_valid_ms: float = 60_000.0
    crash_retention_ms: float = 10_000.0
    max_restarts: int = 2
    latency_coverage: float = 1.0
    min_straggler_wait_ms: float = 100.0
    min_unreachable_attempts: int = 2
    initial_search_limit: float = 64.0
    min_search_limit: float = 4.0
    decrease_factor: float = 0.9
    congestion_factor: float = 4.0
    base_latency_drift: float = 0.002
    headroom_share: float = 0.5
    member_active_ms: float = 2000.0
