"""The listening end: calls are answered, streams are handed over."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from cuminbend.exceptions import ChannelError, CuminbendError

from cuminbendd.channel._frames import Codec, FrameStream

logger = logging.getLogger(__name__)

CallHandler = Callable[[Any], Awaitable[Any]]
StreamHandler = Callable[[Any, FrameStream], Awaitable[None]]


class ChannelServer:
    """Accepts connections of other instances.

    Args:
        codec: Message types of both ends.
        on_call: Answers a request; a :class:`CuminbendError` leaves it unanswered,
            which the caller sees as a time-out.
        on_stream: Takes over a connection whose first frame has no call id.
    """

    def __init__(
        self, *, codec: Codec, on_call: CallHandler, on_stream: StreamHandler
    ) -> None:
        self._codec = codec
        self._on_call = on_call
        self._on_stream = on_stream
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen.

        Raises:
            OSError: If the address is in use.
        """
        self._server = await asyncio.start_server(self._accept, host, port)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._connections):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        stream = FrameStream(self._codec, reader, writer)
        try:
            await self._serve(stream)
        except ChannelError as error:
            logger.debug("event=channel_closed error='%s'", error)
        except asyncio.CancelledError:
            pass
        finally:
            stream.close()
            self._connections.discard(task)

    async def _serve(self, stream: FrameStream) -> None:
        async with asyncio.TaskGroup() as group:
            try:
                while True:
                    call_id, message = await stream.read()
                    if not call_id:
                        await self._on_stream(message, stream)
                        return
                    group.create_task(self._answer(stream, call_id, message))
            except ChannelError as error:
                logger.debug("event=channel_closed error='%s'", error)

    async def _answer(self, stream: FrameStream, call_id: int, request: Any) -> None:
        try:
            reply = await self._on_call(request)
            await stream.write(reply, call_id=call_id)
        except CuminbendError as error:
            logger.debug(
                "event=call_unanswered kind=%s error='%s'",
                type(request).__name__,
                error,
            )
