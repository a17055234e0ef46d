"""When a caller whose request was rejected should come back."""

import random
from collections.abc import Sequence

# Callers that were rejected together return spread over this range of the time in
# which there is room again, and not before there is.
_SPREAD = (1.0, 1.5)
# Added to that time for each step of priority, so that the more urgent come first.
_SHARE_PER_RANK = 0.15
_MAX_RANK = 4
_MIN_MS = 30.0


def fan_out_capacity_wait_ms(
    ready_in_ms: Sequence[float], *, min_coverage: float
) -> float:
    """Return the time until enough shards can start on one more request.

    Args:
        ready_in_ms: Time until each shard can.
        min_coverage: Smallest share of the shards that makes a success.
    """
    # The margin keeps 0.75 * 20 at 15 in spite of rounding.
    needed = max(1, -int(-(min_coverage * len(ready_in_ms) - 1e-9) // 1))
    return sorted(ready_in_ms)[needed - 1]


def retry_after_ms(
    capacity_wait_ms: float, *, priority: int, rng: random.Random
) -> float:
    """Return the time after which a rejected caller should come back.

    Args:
        capacity_wait_ms: Time until there is room for the request.
        priority: Rank of its route; 0 is the most urgent.
        rng: Spreads callers.
    """
    rank = min(max(priority, 0), _MAX_RANK)
    spread = rng.uniform(*_SPREAD) * (1 + _SHARE_PER_RANK * rank)
    return max(_MIN_MS, capacity_wait_ms * spread)
