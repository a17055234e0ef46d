"""Settings of the admission gates."""

from dataclasses import dataclass


@dataclass(frozen=True)
class GateSettings:
    """Settings of a gate; the defaults suit services of 5 to 100 ms per request.

    Attributes:
        window_successes: Number of consecutive successes that raises the limit by one.
        slow_latency_factor: Multiple of the baseline latency above which a reply is
            slow.
        recent_reply_count: Number of recent replies whose median is compared with the
            baseline latency. A single slow reply is a straggler; a slow median
            indicates a cold or overloaded upstream.
        reset_hold_ms: Time for which the limit stays at 1 after a reset, before jitter.
        max_reset_hold_ms: Upper bound of the hold time, which starts at
            ``reset_hold_ms`` and doubles with each consecutive reset.
        baseline_growth_factor: Factor on the baseline latency for each reset at limit
            1, so that a service that became permanently slower does not stay cold.
        unexplained_load_tolerance: Reported load, as a share of the slots, that may
            remain unexplained by the requests in flight before it lowers the limit.
        min_load_limit_share: Share of the slots below which reported load never lowers
            the limit, so that an upstream that always reports full load still gets
            requests.
        transit_ms: Time that a request may take to reach the upstream, which counts
            the budget from the arrival of the request.
        connection_linger_ms: Time for which an abandoned connection counts against the
            limit of connections.
        initial_time_limit_ms: Time limit of an exchange without recent observations.
        min_time_limit_ms: Lower bound of the time limit of an exchange.
        time_limit_factor: Multiple of the p95 service time that is the time limit.
        max_budget_share: Share of the remaining budget that the time limit may take, so
            that the request can still be sent to another replica.
        initial_service_time_ms: Service time assumed without recent observations.
        member_queue_length: Number of requests that one member may have in the queue.
        commit_timeout_ms: Time limit of one command to the control log.
        suspect_cache_ttl_ms: Time for which a suspect is refused without reading the
            control log.
        suspect_cache_size: Maximum number of cached suspects.
        max_suspect_drain_ms: Time for which a suspect may delay other requests while it
            waits until the upstream has no requests in flight.
        draining_closed_ms: Time for which an upstream that refused a request because it
            is draining gets no requests, even if an announcement, which may be stale,
            has the state ready.
        lease_ms: Length of a lease; the same on every instance.
        canary_max_lease_age_ms: Age of the lease up to which the suspects known to this
            instance are recent enough to send a canary. An election takes up to
            1200 ms, and a change of leader must not interrupt searches.
        not_owner_retry_ms: Time after which a request for an upstream that this
            instance does not own should be repeated; one poll interval.
    """

    window_successes: int = 8
    slow_latency_factor: float = 3.0
    recent_reply_count: int = 7
    reset_hold_ms: float = 100.0
    max_reset_hold_ms: float = 2000.0
    baseline_growth_factor: float = 1.1
    unexplained_load_tolerance: float = 0.25
    min_load_limit_share: float = 0.5
    transit_ms: float = 5.0
    connection_linger_ms: float = 60_000.0
    initial_time_limit_ms: float = 200.0
    min_time_limit_ms: float = 50.0
    time_limit_factor: float = 4.0
    max_budget_share: float = 0.6
    initial_service_time_ms: float = 5.0
    member_queue_length: int = 16
    commit_timeout_ms: float = 1000.0
    suspect_cache_ttl_ms: float = 60_000.0
    suspect_cache_size: int = 10_000
    max_suspect_drain_ms: float = 100.0
    draining_closed_ms: float = 5000.0
    lease_ms: float = 3000.0
    canary_max_lease_age_ms: float = 1500.0
    not_owner_retry_ms: float = 250.0
