"""Recent service times of one upstream."""

from collections import deque
from statistics import median

# Enough for a p95 that rests on several samples; older ones describe another load.
SAMPLES = 100
# Below this number a p95 is only the largest sample.
MIN_SAMPLES = 10


class ServiceTimes:
    """Estimates over the most recent service times, in milliseconds."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=SAMPLES)

    def record(self, service_time_ms: float) -> None:
        """Add an observation."""
        self._samples.append(service_time_ms)

    def median_ms(self) -> float | None:
        """Return the median, or None without observations."""
        return median(self._samples) if self._samples else None

    def p95_ms(self) -> float | None:
        """Return the 95th percentile, or None with too few observations."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        return ordered[int(0.95 * (len(ordered) - 1))]
