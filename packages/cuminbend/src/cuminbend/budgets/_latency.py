"""Quantiles of recent latencies."""

from bisect import bisect_left, insort
from collections import deque


class LatencyQuantiles:
    """Quantiles over the last samples.

    The samples are also kept sorted, so a sample costs two binary searches and a
    quantile one look-up.

    Args:
        window: Number of samples kept.
    """

    def __init__(self, *, window: int = 256) -> None:
        self._window = window
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._recent)

    @property
    def p50_ms(self) -> float | None:
        """Median, or None without samples."""
        return self.quantile_ms(0.5)

    @property
    def p95_ms(self) -> float | None:
        """95th percentile, or None without samples."""
        return self.quantile_ms(0.95)

    def record(self, latency_ms: float) -> None:
        """Add a sample and drop the oldest one if the window is full."""
        if len(self._recent) == self._window:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._recent.append(latency_ms)
        insort(self._sorted, latency_ms)

    def quantile_ms(self, share: float) -> float | None:
        """Return the smallest sample that ``share`` of the samples do not exceed."""
        if not self._sorted:
            return None
        # The margin keeps 0.95 * 20 at 19 in spite of rounding.
        rank = -int(-(share * len(self._sorted) - 1e-9) // 1)
        return self._sorted[min(max(rank, 1), len(self._sorted)) - 1]
