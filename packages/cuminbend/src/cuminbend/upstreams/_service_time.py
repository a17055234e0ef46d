"""Recent service times of one upstream."""

from collections import deque
from statistics import median

from cuminbend.ports import Clock

# With this number the p95 depends on several samples.
MAX_SAMPLES = 100
# With fewer samples the p95 would be the largest sample.
MIN_P95_SAMPLES = 10
# Older samples are not used. Otherwise an estimate that is too long would refuse all
# requests as too late, and no new reply would correct the estimate.
MAX_SAMPLE_AGE_MS = 5000.0
# Estimates are cached for this time, because each request reads them several times.
REFRESH_INTERVAL_MS = 20.0


class ServiceTimes:
    """Estimates over the most recent service times, in milliseconds."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._samples: deque[tuple[float, float, bool]] = deque(maxlen=MAX_SAMPLES)
        self._refreshed_ms = float("-inf")
        self._median_ms: float | None = None
        self._p95_ms: float | None = None

    def record(self, service_time_ms: float, *, was_answered: bool = True) -> None:
        """Add an observation; without an answer, the time is a lower bound."""
        self._samples.append(
            (self._clock.monotonic_ms(), service_time_ms, was_answered)
        )

    def median_ms(self) -> float | None:
        """Return the median of the answered exchanges, or None without observations."""
        self._refresh()
        return self._median_ms

    def p95_ms(self) -> float | None:
        """Return the 95th percentile, or None with too few observations.

        It includes exchanges without an answer, so that a time limit that is too short
        increases.
        """
        self._refresh()
        return self._p95_ms

    def _refresh(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._refreshed_ms + REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        while self._samples and self._samples[0][0] < now_ms - MAX_SAMPLE_AGE_MS:
            self._samples.popleft()
        answered_ms = [
            time_ms for _, time_ms, was_answered in self._samples if was_answered
        ]
        self._median_ms = median(answered_ms) if answered_ms else None
        sorted_ms = sorted(time_ms for _, time_ms, _ in self._samples)
        has_enough_samples = len(sorted_ms) >= MIN_P95_SAMPLES
        self._p95_ms = (
            sorted_ms[int(0.95 * (len(sorted_ms) - 1))] if has_enough_samples else None
        )
