"""TCP streams that learn whether the other side has closed."""

from collections.abc import Callable, Iterable
from contextlib import suppress
from socket import SHUT_WR, socket
from ssl import SSLContext
from typing import Any

import anyio
import httpcore

# Time for which a closed stream waits to read that the upstream closed as well.
PEER_CLOSE_S = 2.0


class ClosingStream(httpcore.AsyncNetworkStream):
    """Hands itself over instead of closing, so that the close can be observed.

    httpcore closes a connection whose request failed or was cancelled. A plain close
    would not tell whether the upstream noticed; this stream sends end-of-file and
    waits in the background until the upstream closes too.
    """

    def __init__(
        self,
        inner: httpcore.AsyncNetworkStream,
        *,
        on_close: Callable[["ClosingStream"], None],
    ) -> None:
        self._inner = inner
        self._on_close = on_close
        self._is_closed = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read from the upstream."""
        return await self._inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write to the upstream."""
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Begin to close; :meth:`finish` does it."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close(self)

    async def finish(self) -> bool:
        """Close, and return whether the upstream was seen to close its side."""
        seen = False
        raw: socket | None = self._inner.get_extra_info("socket")
        with anyio.CancelScope(shield=True):
            with (
                suppress(OSError, httpcore.NetworkError, httpcore.TimeoutException),
                anyio.move_on_after(PEER_CLOSE_S),
            ):
                if raw is not None:
                    raw.shutdown(SHUT_WR)
                while await self._inner.read(65536):
                    pass
                seen = True
            await self._inner.aclose()
        return seen

    async def start_tls(
        self,
        ssl_context: SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the stream with TLS on top."""
        return await self._inner.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> Any:
        """Return what the inner stream knows."""
        return self._inner.get_extra_info(info)


class ClosingBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections as :class:`ClosingStream`."""

    def __init__(self, *, on_close: Callable[[ClosingStream], None]) -> None:
        self._inner = httpcore.AnyIOBackend()
        self._on_close = on_close

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to an upstream."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return ClosingStream(stream, on_close=self._on_close)

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to a local socket; upstreams are reached over TCP only."""
        raise NotImplementedError("upstreams are reached over TCP")

    async def sleep(self, seconds: float) -> None:
        """Return after some seconds."""
        await anyio.sleep(seconds)
