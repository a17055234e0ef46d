"""Server for connections of other instances: answers calls and hands over streams."""

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
        on_call: Returns the reply to a request. If it raises a
            :class:`CuminbendError`, no reply is sent and the call times out.
        on_stream: Handles a connection from a frame with call id 0 on, given its
            message and the stream. The connection is closed when it returns.
    """

    def __init__(
        self, *, codec: Codec, on_call: CallHandler, on_stream: StreamHandler
    ) -> None:
        self._codec = codec
        self._on_call = on_call
        self._on_stream = on_stream
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        Raises:
            OSError: If the address is in use.
        """
        self._server = await asyncio.start_server(self._accept_connection, host, port)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._connection_tasks):
            task.cancel()

    async def _accept_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        stream = FrameStream(self._codec, reader, writer)
        try:
            await self._serve_connection(stream)
        except ChannelError as error:
            logger.debug("event=channel_closed error='%s'", error)
        except asyncio.CancelledError:
            pass
        finally:
            stream.close()
            self._connection_tasks.discard(task)

    async def _serve_connection(self, stream: FrameStream) -> None:
        async with asyncio.TaskGroup() as group:
            try:
                while True:
                    call_id, message = await stream.read()
                    if not call_id:
                        await self._on_stream(message, stream)
                        return
                    group.create_task(self._answer_call(stream, call_id, message))
            except ChannelError as error:
                logger.debug("event=channel_closed error='%s'", error)

    async def _answer_call(
        self, stream: FrameStream, call_id: int, request: Any
    ) -> None:
        try:
            reply = await self._on_call(request)
            await stream.write(reply, call_id=call_id)
        except CuminbendError as error:
            logger.debug(
                "event=call_unanswered kind=%s error='%s'",
                type(request).__name__,
                error,
            )
