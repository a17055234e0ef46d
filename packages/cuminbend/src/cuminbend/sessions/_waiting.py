"""Waiting for an event with a limit on the injected clock."""

import anyio

from cuminbend.ports import Clock, ms

__all__ = ["wait_event"]


async def wait_event(event: anyio.Event, *, clock: Clock, timeout_ms: float) -> bool:
    """Wait until ``event`` is set or the time is up; return whether it is set."""
    if not event.is_set() and timeout_ms > 0:
        async with anyio.create_task_group() as tasks:

            async def expire() -> None:
                await clock.sleep(ms(timeout_ms))
                tasks.cancel_scope.cancel()

            tasks.start_soon(expire)
            await event.wait()
            tasks.cancel_scope.cancel()
    return event.is_set()
