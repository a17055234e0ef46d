"""Time after which a caller should repeat a rejected request."""

import random
from collections.abc import Sequence

# Callers that are rejected at the same time are spread over this range. It is a factor
# on the time until there is capacity, so no caller repeats its request before that.
_SPREAD_FACTOR_RANGE = (1.0, 1.5)
# Each priority rank increases the time by this share, so that more urgent requests are
# repeated first.
_DELAY_INCREASE_PER_RANK = 0.15
_MAX_PRIORITY_RANK = 4
_MIN_RETRY_AFTER_MS = 30.0
# Subtracted before a product is rounded up, so that a rounding error does not turn a
# whole number, such as 0.75 * 20 = 15, into the next one.
_ROUNDING_TOLERANCE = 1e-9


def fan_out_capacity_wait_ms(
    ready_in_ms: Sequence[float], *, min_coverage: float
) -> float:
    """Return the time until enough shards can start one more request.

    Args:
        ready_in_ms: For each shard, the time until it can start one more request; has
            one item or more.
        min_coverage: Smallest share of the shards that makes a success; above 1 none
            does, and the time is that of all shards.
    """
    needed_share = min(1.0, max(0.0, min_coverage))
    needed_shards = max(
        1, -int(-(needed_share * len(ready_in_ms) - _ROUNDING_TOLERANCE) // 1)
    )
    return sorted(ready_in_ms)[needed_shards - 1]


def retry_after_ms(
    capacity_wait_ms: float, *, priority: int, rng: random.Random
) -> float:
    """Return the time after which a caller should repeat a rejected request.

    Args:
        capacity_wait_ms: Time until there is capacity for the request.
        priority: Rank of the route; 0 is the most urgent.
        rng: Source of the random factor that spreads callers.
    """
    rank = min(max(priority, 0), _MAX_PRIORITY_RANK)
    spread = rng.uniform(*_SPREAD_FACTOR_RANGE) * (1 + _DELAY_INCREASE_PER_RANK * rank)
    return max(_MIN_RETRY_AFTER_MS, capacity_wait_ms * spread)
