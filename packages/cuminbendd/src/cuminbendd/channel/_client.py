"""Calls to other instances."""

import asyncio
from contextlib import suppress
from typing import Any

from cuminbend.exceptions import ChannelError

from cuminbendd.channel._frames import Codec, FrameStream, open_stream


class _Connection:
    """One connection with the calls that wait for replies on it."""

    def __init__(self, stream: FrameStream) -> None:
        self.stream = stream
        self.is_open = True
        self._pending_replies: dict[int, asyncio.Future[Any]] = {}
        self._last_call_id = 0
        self._reader_task = asyncio.ensure_future(self._read_replies())

    async def call(self, request: Any) -> Any:
        self._last_call_id += 1
        call_id = self._last_call_id
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_replies[call_id] = future
        try:
            await self.stream.write(request, call_id=call_id)
            return await future
        finally:
            self._pending_replies.pop(call_id, None)

    async def _read_replies(self) -> None:
        try:
            while True:
                call_id, reply = await self.stream.read()
                future = self._pending_replies.get(call_id)
                if future is not None and not future.done():
                    future.set_result(reply)
        except ChannelError as error:
            self._fail_calls(error)

    def _fail_calls(self, error: ChannelError) -> None:
        self.is_open = False
        self.stream.close()
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(error)

    def close(self) -> None:
        self._reader_task.cancel()
        self._fail_calls(
            ChannelError(
                "the connection was closed, because a call on it timed out or "
                "its client was closed"
            )
        )


class ChannelClient:
    """Calls to one address over one connection, opened when it is needed.

    A call that gets no reply in time closes the connection, because the connection may
    never deliver data again although a new one works.
    """

    def __init__(self, codec: Codec, address: str) -> None:
        self._codec = codec
        self._address = address
        self._connection: _Connection | None = None
        self._connect_lock = asyncio.Lock()

    async def call(self, request: Any, *, timeout_ms: float) -> Any:
        """Send a request and return the reply.

        Raises:
            ChannelError: If the connection failed or no reply came within
                ``timeout_ms``.
        """
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                connection = await self._connect(timeout_ms)
                return await connection.call(request)
        except TimeoutError as error:
            if connection is not None:
                connection.close()
            raise ChannelError(
                f"{self._address} did not answer within {timeout_ms:.0f} ms; check "
                "that it runs and can be reached",
            ) from error

    async def _connect(self, timeout_ms: float) -> _Connection:
        async with self._connect_lock:
            if self._connection is None or not self._connection.is_open:
                stream = await open_stream(
                    self._codec, self._address, timeout_ms=timeout_ms
                )
                self._connection = _Connection(stream)
            return self._connection

    def close(self) -> None:
        """Close the connection; calls on it fail with a ChannelError."""
        if self._connection is not None:
            self._connection.close()


class ChannelPool:
    """One client per address; implements the transport of the control log."""

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        self._clients: dict[str, ChannelClient] = {}

    async def call(self, instance: str, request: Any, timeout_ms: float) -> Any:
        """Send a request to the instance with this address and return the reply.

        Raises:
            ChannelError: If the connection failed or no reply came within
                ``timeout_ms``.
        """
        client = self._clients.get(instance)
        if client is None:
            client = self._clients[instance] = ChannelClient(self._codec, instance)
        return await client.call(request, timeout_ms=timeout_ms)

    def close(self) -> None:
        """Close all connections."""
        with suppress(RuntimeError):
            for client in self._clients.values():
                client.close()
