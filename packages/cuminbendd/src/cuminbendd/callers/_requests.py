"""Reading of requests, and the end of those whose caller disconnects."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from cuminbend.exceptions import CuminbendError, InvalidRequestError
from starlette.requests import Request

# The largest body that any service may allow; a larger one is refused while it is read.
MAX_BODY_BYTES = 16 * 1024 * 1024


async def read_body(request: Request) -> bytes:
    """Return the request body.

    Raises:
        InvalidRequestError: If it is larger than any service may allow.
    """
    parts: list[bytes] = []
    size_bytes = 0
    async for part in request.stream():
        size_bytes += len(part)
        if size_bytes > MAX_BODY_BYTES:
            raise InvalidRequestError(
                f"the body is larger than {MAX_BODY_BYTES} bytes; send a smaller one"
            )
        parts.append(part)
    return b"".join(parts)


async def run_until_disconnect(
    request: Request, run: Callable[[], Awaitable[Any]]
) -> Any:
    """Return the result of ``run``, which is cancelled if the caller disconnects.

    Raises:
        CuminbendError: The error that ``run`` raised.
        InvalidRequestError: If the caller disconnected before there was a result.
    """
    result: list[Any] = []
    failure: list[CuminbendError] = []
    async with anyio.create_task_group() as group:

        async def watch_for_disconnect() -> None:
            while (await request.receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(watch_for_disconnect)
        try:
            result.append(await run())
        except CuminbendError as error:
            failure.append(error)
        group.cancel_scope.cancel()
    if failure:
        raise failure[0]
    if not result:
        raise InvalidRequestError("the caller closed the connection")
    return result[0]
