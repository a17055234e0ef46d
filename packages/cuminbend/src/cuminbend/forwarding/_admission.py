"""Whether a fan-out is worth starting, given the queues of the shards that it needs.

Beyond what the searchers carry, their queues grow until every answer is late or lacks
parts, and the work on it is lost. A request that cannot be answered in time is rejected
before anything is sent, so that the others are.
"""

# Expected time over time left: up to the first every request is admitted, beyond the
# second none. Queues are known from reports up to 200 ms old, on several instances that
# react to the same reports; the range between keeps them from all stopping at once.
_ADMIT_ALL = 1.25
_ADMIT_NONE = 2.0
# The load counts for this much more with each rank, so that the more urgent requests
# still get in when the less urgent ones no longer do.
_SHARE_PER_RANK = 0.25
_MAX_RANK = 4


def admission_probability(
    *, capacity_wait_ms: float, service_ms: float, time_left_ms: float, priority: int
) -> float:
    """Return the share of such requests to admit.

    Args:
        capacity_wait_ms: Expected time until enough shards can start on it.
        service_ms: Time that a shard takes once it has started.
        time_left_ms: Time in which the answer should go out.
        priority: Rank of the route; 0 is the most urgent.
    """
    if not capacity_wait_ms:
        return 1.0
    rank = min(max(priority, 0), _MAX_RANK)
    load = (capacity_wait_ms + service_ms) / max(1.0, time_left_ms)
    load *= 1 + _SHARE_PER_RANK * rank
    return min(1.0, max(0.0, (_ADMIT_NONE - load) / (_ADMIT_NONE - _ADMIT_ALL)))
