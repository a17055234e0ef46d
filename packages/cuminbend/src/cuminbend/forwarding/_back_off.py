"""What an upstream asks for when it wants no more requests for a time, or at all."""

import math

# A pause that an upstream asks for is not kept for longer than this, so that a wrong
# statement cannot take it out of service for good.
_MAX_PAUSE_MS = 300_000.0
# An upstream that states that it leaves, and is still registered as ready after this
# time, is used again.
LEAVING_RETENTION_MS = 60_000.0


def parse_pause_ms(value: bytes) -> float | None:
    """Return the pause that a ``Retry-After`` header of an upstream asks for.

    Returns:
        The time in ms, at most five minutes; None if the value is not a number of
        seconds above 0.
    """
    try:
        pause_ms = float(value) * 1000
    except ValueError:
        return None
    if not math.isfinite(pause_ms) or pause_ms <= 0:
        return None
    return min(pause_ms, _MAX_PAUSE_MS)
