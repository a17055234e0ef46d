"""A clock for tests of decisions that only read the time."""

from datetime import UTC, datetime, timedelta


class SettableClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def now(self) -> datetime:
        return datetime(2026, 1, 5, tzinfo=UTC)

    def monotonic_ms(self) -> float:
        return self.now_ms

    async def sleep(self, delay: timedelta) -> None:
        raise NotImplementedError
