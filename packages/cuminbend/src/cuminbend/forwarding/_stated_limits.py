"""Limits on requests that upstreams state in their answers."""

import math

# A statement above this is no protection and is treated as none.
_MAX_LIMIT_PER_S = 1e6


def parse_limit(value: bytes) -> float | None:
    """Return a stated limit in requests a second.

    Returns:
        None if the value is not a decimal number, is negative, or is so large that it
        limits nothing.
    """
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or not 0 <= limit_per_s <= _MAX_LIMIT_PER_S:
        return None
    return limit_per_s
