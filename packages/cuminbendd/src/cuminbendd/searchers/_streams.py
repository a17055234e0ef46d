"""TCP streams that report whether the upstream has closed its side."""

from collections.abc import Callable, Iterable
from contextlib import suppress
from socket import SHUT_WR, socket
from ssl import SSLContext
from typing import Any

import anyio
import httpcore

# Time for which a closing stream waits until the upstream has closed its side as well.
PEER_CLOSE_TIMEOUT_S = 2.0
_READ_BYTES = 65536


class DeferredCloseStream(httpcore.AsyncNetworkStream):
    """Calls ``on_close`` instead of closing; :meth:`finish_close` closes the stream.

    httpcore closes a connection whose request failed or was cancelled. A plain close
    would not show whether the upstream noticed. This stream sends end-of-file and
    waits in the background until the upstream closes its side too.
    """

    def __init__(
        self,
        inner: httpcore.AsyncNetworkStream,
        *,
        on_close: Callable[["DeferredCloseStream"], None],
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
        """Call ``on_close`` once; :meth:`finish_close` closes the connection."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close(self)

    async def finish_close(self) -> bool:
        """Close, and return whether the upstream closed its side in time."""
        is_peer_closed = False
        raw_socket: socket | None = self._inner.get_extra_info("socket")
        with anyio.CancelScope(shield=True):
            with (
                suppress(OSError, httpcore.NetworkError, httpcore.TimeoutException),
                anyio.move_on_after(PEER_CLOSE_TIMEOUT_S),
            ):
                if raw_socket is not None:
                    raw_socket.shutdown(SHUT_WR)
                while await self._inner.read(_READ_BYTES):
                    pass
                is_peer_closed = True
            await self._inner.aclose()
        return is_peer_closed

    async def start_tls(
        self,
        ssl_context: SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the stream with TLS on top."""
        return await self._inner.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> Any:
        """Return the information that the inner stream has under this name, or None."""
        return self._inner.get_extra_info(info)


class DeferredCloseBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections as :class:`DeferredCloseStream`."""

    def __init__(self, *, on_close: Callable[[DeferredCloseStream], None]) -> None:
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
        return DeferredCloseStream(stream, on_close=self._on_close)

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise NotImplementedError, because upstreams are reached over TCP only."""
        raise NotImplementedError("upstreams are reached over TCP; use connect_tcp")

    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds``."""
        await anyio.sleep(seconds)
