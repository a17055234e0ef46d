"""Settings of searches."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class QuerySettings:
    """Settings of a query coordinator.

    Attributes:
        answer_margin_ms: Time before the caller's deadline at which the answer is
            given with what has arrived, at most a tenth of the deadline.
        hedge_ratio: Hedges per shard request.
        hedge_burst: Hedges that can be saved up. With 10, queries that met several
            stragglers at once found no tokens: p99 rose from 24 to 33 ms in a trial
            with 2% of the requests slowed 20 times.
        hedge_floor_ms: Shortest hedge delay.
        hedge_initial_ms: Hedge delay of a service with too few samples.
        max_hedges: Hedges per shard of one query. With 2% slow requests over 50
            shards, every 50th query has a shard whose first hedge is slow too.
        min_samples: Samples from which on the hedge delay follows observations.
        latency_window: Samples per service that the hedge delay is taken from.
        pooled_window: Samples of all services together that stand in for a service
            with too few samples.
        overdue_factor: Hedge delays after which an unanswered attempt is taken for
            lost and the retry budget may pay for another one.
        overdue_floor_ms: Shortest time after which an attempt is overdue.
        retry_ratio: Retries per success of a service.
        retry_burst: Retries of a service that can be saved up.
        retry_delay_ms: Pause before an upstream is asked again in the same query;
            it doubles with each round, up to ``retry_delay_max_ms``.
        doubt_ms: Time for which a holding is avoided after a reply from another
            snapshot.
        avoid_ms: Time for which an upstream is avoided after a failure; it doubles
            with each further failure, up to ``avoid_max_ms``.
        hop_ms: Advantage that a replica of the local data centre gets.
        forget_ms: Time in which an old latency of an upstream loses half its weight.
        proven_limit: Fingerprints remembered as answered.
        proven_ms: Time for which a fingerprint needs no new canary.
        broken_ms: Time for which this instance remembers which upstreams a
            fingerprint broke; longer than the log needs to tell all instances.
        max_restarts: Times that one query may start again under another snapshot.
        latency_coverage: Share of shards from which on members that prefer latency
            get their answer without the stragglers. The default of 1 waits for every
            shard that a reachable replica may still answer.
        straggler_wait_ms: Least time that a shard is given before
            ``latency_coverage`` applies to it.
        latency_rounds: For members that prefer latency, how often each replica of a
            shard has to be found unreachable before the shard is given up.
        initial_search_limit: Searches in progress at this instance at first.
        min_search_limit: Least limit of searches in progress.
        decrease_factor: Factor on the limit after a search that met congestion.
        congested_factor: Multiple of the base latency above which a search counts as
            congested.
        base_drift: Share of the excess by which the base latency follows a search.
        lend_share: Share of the limit up to which a member may use more than its own
            share.
        member_active_ms: Time after its last search for which a member's share is
            kept for it.
    """

    answer_margin_ms: float = 5.0
    hedge_ratio: float = 0.04
    hedge_burst: float = 30.0
    hedge_floor_ms: float = 2.0
    hedge_initial_ms: float = 20.0
    max_hedges: int = 2
    min_samples: int = 20
    latency_window: int = 256
    pooled_window: int = 512
    overdue_factor: float = 4.0
    overdue_floor_ms: float = 50.0
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    retry_delay_ms: float = 5.0
    retry_delay_max_ms: float = 100.0
    doubt_ms: float = 3000.0
    avoid_ms: float = 200.0
    avoid_max_ms: float = 5000.0
    hop_ms: float = 1.5
    forget_ms: float = 5000.0
    proven_limit: int = 10_000
    proven_ms: float = 60_000.0
    broken_ms: float = 10_000.0
    max_restarts: int = 2
    latency_coverage: float = 1.0
    straggler_wait_ms: float = 100.0
    latency_rounds: int = 2
    initial_search_limit: float = 64.0
    min_search_limit: float = 4.0
    decrease_factor: float = 0.9
    congested_factor: float = 4.0
    base_drift: float = 0.002
    lend_share: float = 0.5
    member_active_ms: float = 2000.0
