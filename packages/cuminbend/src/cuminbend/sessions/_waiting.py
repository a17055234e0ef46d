"""Waiting for an event with a limit on the injected clock."""

import anyio

from cuminbend.ports import Clock, milliseconds

__all__ = ["MIN_PAUSE_MS", "wait_event"]

# A timedelta has microseconds, so a shorter rest would become a sleep of zero and the
# loop around it would spin until the clock moves on.
MIN_PAUSE_MS = 1.0


async def wait_event(event: anyio.Event, *, clock: Clock, timeout_ms: float) -> bool:
    """Wait until ``event`` is set or the time is up; return whether it is set."""
    if not event.is_set() and timeout_ms > 0:
        async with anyio.create_task_group() as tasks:

            async def expire() -> None:
                await clock.sleep(milliseconds(max(timeout_ms, MIN_PAUSE_MS)))
                tasks.cancel_scope.cancel()

            tasks.start_soon(expire)
            await event.wait()
            tasks.cancel_scope.cancel()
    return event.is_set()
