"""Quantiles of recent latencies."""

from bisect import bisect_left, insort
from collections import deque

# Subtracted before a rank is rounded up, so that a rounding error does not turn a whole
# number, such as 0.95 * 20 = 19, into the next one.
_RANK_TOLERANCE = 1e-9


class LatencyQuantiles:
    """Quantiles of the most recent latency samples.

    The samples are also kept in sorted order, so adding a sample takes two binary
    searches and reading a quantile takes one look-up.

    Args:
        window: Number of samples kept.
    """

    def __init__(self, *, window: int = 256) -> None:
        self._window = window
        self._samples: deque[float] = deque()
        self._sorted_samples: list[float] = []

    def __len__(self) -> int:
        return len(self._samples)

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
        if len(self._samples) == self._window:
            oldest = self._samples.popleft()
            del self._sorted_samples[bisect_left(self._sorted_samples, oldest)]
        self._samples.append(latency_ms)
        insort(self._sorted_samples, latency_ms)

    def quantile_ms(self, share: float) -> float | None:
        """Return the smallest sample that ``share`` of the samples do not exceed.

        Args:
            share: Share of the samples, 0 to 1.

        Returns:
            The sample, or None without samples.
        """
        if not self._sorted_samples:
            return None
        rank = -int(-(share * len(self._sorted_samples) - _RANK_TOLERANCE) // 1)
        return self._sorted_samples[min(max(rank, 1), len(self._sorted_samples)) - 1]
