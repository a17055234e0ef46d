"""Recent service times of one upstream."""

from collections import deque
from statistics import median

from cuminbend.ports import Clock

# Enough for a p95 that rests on several samples.
SAMPLES = 100
# Below this number a p95 is only the largest sample.
MIN_SAMPLES = 10
# Older samples are not used. Without this, a long estimate would refuse all requests
# as too late, and no reply would ever correct it.
MAX_AGE_MS = 5000.0
# Estimates are reused for this time, because each request asks for them many times.
REFRESH_MS = 20.0


class ServiceTimes:
    """Estimates over the most recent service times, in milliseconds."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._samples: deque[tuple[float, float, bool]] = deque(maxlen=SAMPLES)
        self._refreshed_ms = float("-inf")
        self._median_ms: float | None = None
        self._p95_ms: float | None = None

    def record(self, service_time_ms: float, *, answered: bool = True) -> None:
        """Add an observation; without an answer it is a lower bound."""
        self._samples.append((self._clock.monotonic_ms(), service_time_ms, answered))

    def median_ms(self) -> float | None:
        """Return the median of the answered, or None without observations."""
        self._refresh()
        return self._median_ms

    def p95_ms(self) -> float | None:
        """Return the 95th percentile, or None with too few observations.

        It includes those without an answer, so that a time limit that turns out to be
        too short grows.
        """
        self._refresh()
        return self._p95_ms

    def _refresh(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._refreshed_ms + REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        while self._samples and self._samples[0][0] < now_ms - MAX_AGE_MS:
            self._samples.popleft()
        answered = [time_ms for _, time_ms, is_answered in self._samples if is_answered]
        self._median_ms = median(answered) if answered else None
        ordered = sorted(time_ms for _, time_ms, _ in self._samples)
        enough = len(ordered) >= MIN_SAMPLES
        self._p95_ms = ordered[int(0.95 * (len(ordered) - 1))] if enough else None
