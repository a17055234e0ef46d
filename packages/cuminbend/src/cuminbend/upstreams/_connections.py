"""Connections that count against the limit of an upstream."""

from cuminbend.ports import Clock


class LingeringConnections:
    """Connections closed at this end that the upstream may still hold open."""

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
        """Return the connections that still count."""
        if not self._until_ms:
            return 0
        now_ms = self._clock.monotonic_ms()
        for key in [key for key, end in self._until_ms.items() if end <= now_ms]:
            del self._until_ms[key]
        return len(self._until_ms)

    def next_expiry_ms(self) -> float:
        """Return when the next one stops counting, or infinity."""
        self.count()
        return min(self._until_ms.values(), default=float("inf"))
