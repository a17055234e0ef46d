"""Settings of the admission gates."""

from dataclasses import dataclass


@dataclass(frozen=True)
class GateSettings:
    """Knobs of a gate; the defaults suit services of 5 to 100 ms per request.

    Attributes:
        window_successes: Successes in sequence that raise the limit by one.
        latency_factor: Multiple of the baseline latency above which a reply is slow.
        recent_replies: Replies whose median is compared with the warm median. One
            slow reply is a straggler; a slow median is a cold or overloaded upstream.
        hold_ms: Time for which the limit stays at 1 after a reset, before jitter.
        max_hold_ms: Bound of the hold, which doubles with each reset in sequence.
        drift_factor: Growth of the baseline latency with each reset at limit 1, so that
            a service that became slower for good is not held cold forever.
        load_tolerance: Reported load, as a share of the slots, that may remain
            unexplained by the requests in flight before it lowers the limit.
        load_floor: Share of the slots below which reported load never lowers the
            limit, so that an upstream that always reports full load still gets work.
        transit_ms: Time that a request may take to the upstream, which counts the
            budget from its arrival on.
        connection_linger_ms: Time for which an abandoned connection is counted.
        initial_time_limit_ms: Time limit of an exchange without recent observations.
        min_time_limit_ms: Lower bound of the time limit of an exchange.
        time_limit_factor: Multiple of the p95 service time that is the time limit.
        budget_share: Share of the remaining budget that the time limit may take, so
            that another replica can still be asked.
        initial_service_time_ms: Service time assumed without recent observations.
        queue_length: Requests that one member may have in the queue.
        commit_timeout_ms: Time limit of one command to the control log.
        suspect_memory_ms: Time for which a suspect is refused without asking the log.
        suspect_memory_size: Suspects remembered at the same time.
        suspect_drain_ms: Time for which a suspect may keep other work waiting until
            the upstream is empty.
        draining_memory_ms: Time for which an upstream that refused work as draining
            stays closed even if an announcement, which may be stale, calls it ready.
        lease_ms: Length of a lease; the same on every instance.
        canary_max_lease_age_ms: Age of the lease up to which this instance knows
            enough of suspects to send a canary. An election takes up to 1200 ms, and a
            leader change is not to interrupt searches.
        not_owner_retry_ms: When a request for an upstream that this instance does not
            own makes sense again; one poll interval.
    """

    window_successes: int = 8
    latency_factor: float = 3.0
    recent_replies: int = 7
    hold_ms: float = 100.0
    max_hold_ms: float = 2000.0
    drift_factor: float = 1.1
    load_tolerance: float = 0.25
    load_floor: float = 0.5
    transit_ms: float = 5.0
    connection_linger_ms: float = 60_000.0
    initial_time_limit_ms: float = 200.0
    min_time_limit_ms: float = 50.0
    time_limit_factor: float = 4.0
    budget_share: float = 0.6
    initial_service_time_ms: float = 5.0
    queue_length: int = 16
    commit_timeout_ms: float = 1000.0
    suspect_memory_ms: float = 60_000.0
    suspect_memory_size: int = 10_000
    suspect_drain_ms: float = 100.0
    draining_memory_ms: float = 5000.0
    lease_ms: float = 3000.0
    canary_max_lease_age_ms: float = 1500.0
    not_owner_retry_ms: float = 250.0
