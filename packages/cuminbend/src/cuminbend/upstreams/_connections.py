"""Connections that count against the limit of an upstream."""

from cuminbend.ports import Clock


class LingeringConnections:
    """Connections closed by this instance that the upstream may still hold open.

    Args:
        linger_ms: Time for which such a connection counts.
    """

    def __init__(self, *, clock: Clock, linger_ms: float) -> None:
        self._clock = clock
        self._linger_ms = linger_ms
        self._until_ms: dict[object, float] = {}

    def add(self, key: object) -> None:
        """Count a connection from now on."""
        self._until_ms[key] = self._clock.monotonic_ms() + self._linger_ms

    def discard(self, key: object) -> None:
        """Stop counting a connection that the upstream is known to have closed."""
        self._until_ms.pop(key, None)

    def count(self) -> int:
        """Return the number of connections that still count."""
        if not self._until_ms:
            return 0
        now_ms = self._clock.monotonic_ms()
        for key in [key for key, end_ms in self._until_ms.items() if end_ms <= now_ms]:
            del self._until_ms[key]
        return len(self._until_ms)

    def next_expiry_ms(self) -> float:
        """Return when the next connection stops counting.

        Returns:
            A monotonic time, or infinity if no connection counts.
        """
        self.count()
        return min(self._until_ms.values(), default=float("inf"))
