"""Time and random numbers."""

import math
from datetime import datetime, timedelta
from typing import Protocol


def milliseconds(value: float) -> timedelta:
    """Return a duration of ``value`` milliseconds, rounded up to a microsecond.

    Rounding down would turn a short remaining time into no wait at all, and a loop
    that waits for the rest of an interval would spin.
    """
    return timedelta(microseconds=math.ceil(value * 1000))


class Clock(Protocol):
    """Source of time."""

    def now(self) -> datetime:
        """Return the wall-clock time, aware, in UTC."""

    def monotonic_ms(self) -> float:
        """Return milliseconds on a clock that never goes back.

        It has to count the time that the process or machine spent suspended, because
        leases are judged by it.
        """

    async def sleep(self, delay: timedelta) -> None:
        """Return after ``delay``."""


class RandomSource(Protocol):
    """Random numbers; :class:`random.Random` fits."""

    def random(self) -> float:
        """Return a number of 0 up to but not including 1."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between ``a`` and ``b``."""

    def getrandbits(self, k: int) -> int:
        """Return an integer of ``k`` random bits."""
