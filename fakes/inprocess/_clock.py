"""Clock and runner on the virtual time of trio's MockClock."""

import random
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

import anyio
import trio
import trio._core._run as trio_run
import trio.testing

T = TypeVar("T")
EPOCH = datetime(2026, 1, 5, 9, 0, tzinfo=UTC)


class VirtualClock:
    """Implements :class:`cuminbend.ports.Clock` on trio's time.

    Attributes:
        resumed: Set while the instance runs; not set while it is paused.
    """

    def __init__(self) -> None:
        self.resumed = anyio.Event()
        self.resumed.set()

    def now(self) -> datetime:
        """Return the virtual wall-clock time."""
        return EPOCH + timedelta(seconds=anyio.current_time())

    def monotonic_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return anyio.current_time() * 1000

    async def sleep(self, delay: timedelta) -> None:
        """Return after ``delay``, but not while the instance is paused."""
        await anyio.sleep(max(0.0, delay.total_seconds()))
        await self.resumed.wait()

    def pause(self) -> None:
        """Pause the instance that has this clock; no effect while it is paused."""
        # Tasks of a paused instance wait for this event, so it must not be replaced.
        if self.resumed.is_set():
            self.resumed = anyio.Event()

    def resume(self) -> None:
        """Resume the instance that has this clock."""
        self.resumed.set()


def run_virtual(function: Callable[..., Awaitable[T]], *args: Any, seed: int = 0) -> T:
    """Run an async function on virtual time, the same way for the same seed."""
    # Without these two settings, trio shuffles ready tasks differently on every run.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    trio_run._r = random.Random(seed)  # type: ignore[attr-defined]
    return trio.run(function, *args, clock=trio.testing.MockClock(autojump_threshold=0))
