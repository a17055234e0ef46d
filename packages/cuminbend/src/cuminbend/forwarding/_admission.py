"""Admission of fan-outs by the expected wait in the queues of their shards.

When the load exceeds the capacity of the searchers, their queues grow until every
answer is late or incomplete, and the work on it is wasted. A request that cannot be
answered in time is rejected before anything is sent, so that other requests can be
answered in time.
"""

# The load of a request is its expected time divided by the time left. Up to the first
# value every request is admitted, from the second value on none. Queue lengths come
# from reports that are up to 200 ms old, and several instances react to the same
# reports; the range between the values keeps the instances from all rejecting every
# request at the same time.
_FULL_ADMISSION_LOAD = 1.25
_NO_ADMISSION_LOAD = 2.0
# Each priority rank increases the load by this share, so that less urgent requests are
# rejected before more urgent ones.
_LOAD_INCREASE_PER_RANK = 0.25
_MAX_PRIORITY_RANK = 4
_MIN_TIME_LEFT_MS = 1.0


def admission_probability(
    *, capacity_wait_ms: float, service_ms: float, time_left_ms: float, priority: int
) -> float:
    """Return the probability, 0 to 1, with which to admit a fan-out.

    A fan-out that can start without a wait is always admitted.

    Args:
        capacity_wait_ms: Expected time until enough shards can start on the request.
        service_ms: Time that a shard takes for the request once it has started.
        time_left_ms: Time within which the answer should be sent.
        priority: Rank of the route; 0 is the most urgent.
    """
    if not capacity_wait_ms:
        return 1.0
    rank = min(max(priority, 0), _MAX_PRIORITY_RANK)
    load = (capacity_wait_ms + service_ms) / max(_MIN_TIME_LEFT_MS, time_left_ms)
    load *= 1 + _LOAD_INCREASE_PER_RANK * rank
    return min(
        1.0,
        max(
            0.0,
            (_NO_ADMISSION_LOAD - load) / (_NO_ADMISSION_LOAD - _FULL_ADMISSION_LOAD),
        ),
    )
