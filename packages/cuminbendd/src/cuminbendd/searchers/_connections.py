"""Connections to upstreams, each an httpcore connection outside any httpcore pool.

A pool that assigns requests over all connections costs ten times as much processor
time per request at present sizes, because the assignment takes quadratic time.
"""

from dataclasses import dataclass, field

import anyio
import httpcore
from anyio.abc import TaskGroup
from cuminbend.exceptions import RunState, UpstreamError, UpstreamErrorKind
from cuminbend.messages import Announcement, ShardReply, ShardRequest
from cuminbend.ports import Clock, ExchangeObserver

from cuminbendd.searchers._base import UpstreamFormat
from cuminbendd.searchers._reply_memory import ReplyMemory
from cuminbendd.searchers._streams import DeferredCloseBackend, DeferredCloseStream

# Longer than any connect on a healthy path (6 ms), shorter than a query's deadline.
CONNECT_TIMEOUT_S = 0.25
# A larger reply is a fault of the upstream; reading it would exhaust memory.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Room for the replies that are read at the same time; four of the largest ones fit.
MAX_HELD_BYTES = 4 * MAX_REPLY_BYTES


class _Connection:
    """One HTTP/1.1 connection and the exchange that uses it."""

    def __init__(self, *, address: str, group: TaskGroup) -> None:
        host, _, port = address.rpartition(":")
        self._group = group
        self.observer: ExchangeObserver | None = None
        self.was_reset = False
        self.http = httpcore.AsyncHTTPConnection(
            origin=httpcore.Origin(b"http", host.strip("[]").encode(), int(port)),
            retries=0,
            network_backend=DeferredCloseBackend(on_close=self._on_stream_close),
        )

    def is_reusable(self) -> bool:
        """Return whether another request can be sent on this connection."""
        return self.http.is_available() and not self.http.has_expired()

    def _on_stream_close(self, stream: DeferredCloseStream) -> None:
        self._group.start_soon(self._finish_close, stream, self.observer)

    async def _finish_close(
        self, stream: DeferredCloseStream, observer: ExchangeObserver | None
    ) -> None:
        if await stream.finish_close() and observer is not None:
            observer.connection_closed()
            # An upstream treats a closed connection as the cancellation of its request.
            # A reset does not confirm that: the request may have crashed the upstream.
            if not self.was_reset:
                observer.work_ended()


@dataclass
class _UpstreamConnections:
    address: str
    idle: list[_Connection] = field(default_factory=list)
    open_count: int = 0


class HttpUpstreamTransport:
    """Implements :class:`cuminbend.ports.UpstreamTransport` over HTTP/1.1."""

    def __init__(
        self, *, upstream_format: UpstreamFormat, clock: Clock, group: TaskGroup
    ) -> None:
        self._format = upstream_format
        self._clock = clock
        self._group = group
        self._connections_by_upstream: dict[str, _UpstreamConnections] = {}
        self._reply_memory = ReplyMemory(limit_bytes=MAX_HELD_BYTES)

    async def exchange(
        self,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
        observer: ExchangeObserver,
    ) -> ShardReply:
        """Send a request on a free connection; see UpstreamTransport."""
        connections = await self._connections_to(upstream)
        connection = await self._take_connection(connections)
        connection.observer = observer
        try:
            return await self._send_request(connection, upstream, request, timeout_ms)
        finally:
            # httpcore marks a connection idle only after a whole reply was read, so a
            # connection that failed, timed out or was cancelled is never used again.
            if connection.http.is_idle():
                connections.idle.append(connection)
            else:
                connections.open_count -= 1
                await _close_connection(connection)

    def open_connection_count(self, upstream: str) -> int:
        """Return the number of connections to an upstream that are open at this end."""
        connections = self._connections_by_upstream.get(upstream)
        return connections.open_count if connections is not None else 0

    async def close(self, upstream: str) -> None:
        """Close the idle connections to an upstream; one in use is closed after use."""
        connections = self._connections_by_upstream.pop(upstream, None)
        if connections is not None:
            await self._close_idle(connections)

    async def _connections_to(self, upstream: Announcement) -> _UpstreamConnections:
        connections = self._connections_by_upstream.get(upstream.upstream)
        if connections is None:
            connections = _UpstreamConnections(address=upstream.address)
            self._connections_by_upstream[upstream.upstream] = connections
        elif connections.address != upstream.address:
            connections.address = upstream.address
            await self._close_idle(connections)
        return connections

    async def _close_idle(self, connections: _UpstreamConnections) -> None:
        idle, connections.idle = connections.idle, []
        connections.open_count -= len(idle)
        for connection in idle:
            await _close_connection(connection)

    async def _take_connection(self, connections: _UpstreamConnections) -> _Connection:
        while connections.idle:
            connection = connections.idle.pop()
            if connection.is_reusable():
                return connection
            connections.open_count -= 1
            await _close_connection(connection)
        connections.open_count += 1
        return _Connection(address=connections.address, group=self._group)

    async def _send_request(
        self,
        connection: _Connection,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
    ) -> ShardReply:
        started_ms = self._clock.monotonic_ms()
        message = self._format.encode_request(upstream, request, timeout_ms)
        message.extensions["timeout"] = {"connect": CONNECT_TIMEOUT_S}
        try:
            with anyio.fail_after(timeout_ms / 1000):
                response = await connection.http.handle_async_request(message)
                body = await read_body(response, upstream.upstream, self._reply_memory)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            if connection.observer is not None:
                connection.observer.connection_closed()
                connection.observer.work_ended()
            raise UpstreamError(
                f"upstream {upstream.upstream} refused the connection; check that it "
                f"listens on {upstream.address}",
                kind=UpstreamErrorKind.CONNECT,
                run_state=RunState.NOT_RUN,
            ) from error
        except TimeoutError as error:
            raise UpstreamError(
                f"upstream {upstream.upstream} did not answer within "
                f"{timeout_ms:.0f} ms; ask another replica",
                kind=UpstreamErrorKind.TIMEOUT,
                run_state=RunState.UNKNOWN,
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            connection.was_reset = True
            raise UpstreamError(
                f"upstream {upstream.upstream} broke the connection ({error}); it "
                "may have crashed",
                kind=UpstreamErrorKind.RESET,
                run_state=RunState.UNKNOWN,
            ) from error
        reply = self._format.decode_reply(request, response, body)
        return _with_service_time(reply, self._clock.monotonic_ms() - started_ms)


async def read_body(
    response: httpcore.Response, upstream: str, memory: ReplyMemory
) -> bytes:
    """Return the body of a response.

    Raises:
        UpstreamError: If the body is too large, alone or together with those of other
            responses.
    """
    parts: list[bytes] = []
    with memory.hold() as held:
        async for part in response.aiter_stream():
            if not held.may_grow(len(part)):
                raise _oversized_error(
                    upstream, "more than fits beside the replies of all upstreams"
                )
            if held.size_bytes > MAX_REPLY_BYTES:
                raise _oversized_error(upstream, f"more than {MAX_REPLY_BYTES} bytes")
            parts.append(part)
        await response.aclose()
        return b"".join(parts)


def _oversized_error(upstream: str, size: str) -> UpstreamError:
    return UpstreamError(
        f"upstream {upstream} sent {size}; limit its result size",
        kind=UpstreamErrorKind.MALFORMED,
        run_state=RunState.UNKNOWN,
    )


async def _close_connection(connection: _Connection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.http.aclose()


def _with_service_time(reply: ShardReply, service_time_ms: float) -> ShardReply:
    return ShardReply(
        request_id=reply.request_id,
        upstream=reply.upstream,
        incarnation=reply.incarnation,
        body=reply.body,
        snapshot=reply.snapshot,
        complete=reply.complete,
        service_time_ms=service_time_ms,
    )
