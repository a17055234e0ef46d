"""Budget for extra work within a sliding window of time."""

from collections import deque


class WindowBudget:
    """Limits extra work to a number of units within any window of time.

    Units become available again one window after they were spent, without regular work
    in between.

    Args:
        window_ms: Length of the window.
    """

    def __init__(self, *, window_ms: float) -> None:
        self._window_ms = window_ms
        self._spent_ms: deque[float] = deque()

    def remaining(self, limit: int, *, now_ms: float) -> int:
        """Return the units left of ``limit`` units in a window."""
        oldest_ms = now_ms - self._window_ms
        while self._spent_ms and self._spent_ms[0] <= oldest_ms:
            self._spent_ms.popleft()
        return max(0, limit - len(self._spent_ms))

    def spend(self, *, now_ms: float, count: int = 1) -> None:
        """Record extra work; the caller has checked :meth:`remaining`."""
        self._spent_ms.extend([now_ms] * count)
