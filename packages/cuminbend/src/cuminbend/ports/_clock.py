"""Protocols for time and random numbers."""

import math
from datetime import datetime, timedelta
from typing import Protocol


def milliseconds(value: float) -> timedelta:
    """Return a duration of ``value`` milliseconds, rounded up to a microsecond.

    Rounding down would turn a short remaining time into zero, and a loop that waits for
    the rest of an interval would then spin.
    """
    return timedelta(microseconds=math.ceil(value * 1000))


class Clock(Protocol):
    """Source of time."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""

    def monotonic_ms(self) -> float:
        """Return milliseconds on a clock that never goes back.

        The clock must include the time for which the process or machine was suspended,
        because the expiry of leases is computed from it.
        """

    async def sleep(self, delay: timedelta) -> None:
        """Return after ``delay``."""


class RandomSource(Protocol):
    """Source of random numbers, such as :class:`random.Random`."""

    def random(self) -> float:
        """Return a number from 0 up to but not including 1."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between ``a`` and ``b``."""

    def getrandbits(self, k: int) -> int:
        """Return an integer of ``k`` random bits."""
