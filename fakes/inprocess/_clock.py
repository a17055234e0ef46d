"""Virtual time."""

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
        resume: Set while the instance runs; cleared while it is frozen.
    """

    def __init__(self) -> None:
        self.resume = anyio.Event()
        self.resume.set()

    def now(self) -> datetime:
        """Return the virtual wall-clock time."""
        return EPOCH + timedelta(seconds=anyio.current_time())

    def monotonic_ms(self) -> float:
        """Return virtual milliseconds."""
        return anyio.current_time() * 1000

    async def sleep(self, delay: timedelta) -> None:
        """Return after ``delay``, but not while the instance is frozen."""
        await anyio.sleep(max(0.0, delay.total_seconds()))
        await self.resume.wait()

    def freeze(self) -> None:
        """Stop the instance that has this clock, unless it is stopped."""
        # Tasks wait for the present event, so it must not be replaced.
        if self.resume.is_set():
            self.resume = anyio.Event()

    def thaw(self) -> None:
        """Let it go on."""
        self.resume.set()


def run_virtual(function: Callable[..., Awaitable[T]], *args: Any, seed: int = 0) -> T:
    """Run an async function on virtual time, the same way for the same seed."""
    # Without these two, trio shuffles ready tasks differently on every run.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    trio_run._r = random.Random(seed)  # type: ignore[attr-defined]
    return trio.run(function, *args, clock=trio.testing.MockClock(autojump_threshold=0))
