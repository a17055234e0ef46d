"""Waiting for an event with a timeout on the injected clock."""

import anyio

from cuminbend.ports import Clock, milliseconds

__all__ = ["MIN_PAUSE_MS", "wait_event"]

# A timedelta has a resolution of one microsecond. A shorter pause would be rounded to
# zero, and the calling loop would spin until the clock advances.
MIN_PAUSE_MS = 1.0


async def wait_event(event: anyio.Event, *, clock: Clock, timeout_ms: float) -> bool:
    """Wait until ``event`` is set or the timeout ends; return whether it is set."""
    if not event.is_set() and timeout_ms > 0:
        async with anyio.create_task_group() as tasks:

            async def expire() -> None:
                await clock.sleep(milliseconds(max(timeout_ms, MIN_PAUSE_MS)))
                tasks.cancel_scope.cancel()

            tasks.start_soon(expire)
            await event.wait()
            tasks.cancel_scope.cancel()
    return event.is_set()
