"""The clock of the operating system."""

import time
from datetime import UTC, datetime, timedelta

import anyio

# CLOCK_BOOTTIME continues while the machine is suspended, which leases rely on.
_LEASE_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """Implements :class:`cuminbend.ports.Clock`."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic_ms(self) -> float:
        """Return milliseconds since boot, including time spent suspended."""
        return time.clock_gettime_ns(_LEASE_CLOCK) / 1e6

    async def sleep(self, delay: timedelta) -> None:
        """Return after ``delay``."""
        await anyio.sleep(max(0.0, delay.total_seconds()))
