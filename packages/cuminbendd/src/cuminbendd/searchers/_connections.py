"""Connections to upstreams: one bare connection object each, no shared pool.

A pool that assigns requests over all connections costs ten times as much processor
time per request at the sizes of today, because its assignment is quadratic.
"""

from dataclasses import dataclass, field

import anyio
import httpcore
from anyio.abc import TaskGroup
from cuminbend.exceptions import RunState, UpstreamError, UpstreamErrorKind
from cuminbend.messages import Announcement, ShardReply, ShardRequest
from cuminbend.ports import Clock, ExchangeObserver

from cuminbendd.searchers._base import UpstreamFormat
from cuminbendd.searchers._streams import ClosingBackend, ClosingStream

# Longer than any connect on a healthy path (6 ms), shorter than a query's deadline.
CONNECT_TIMEOUT_S = 0.25
# A reply above this is a fault of the upstream; reading it would exhaust memory.
MAX_REPLY_BYTES = 16 * 1024 * 1024


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
            network_backend=ClosingBackend(on_close=self._closed),
        )

    def is_reusable(self) -> bool:
        """Return whether another request can be sent on it."""
        return self.http.is_available() and not self.http.has_expired()

    def _closed(self, stream: ClosingStream) -> None:
        self._group.start_soon(self._finish, stream, self.observer)

    async def _finish(
        self, stream: ClosingStream, observer: ExchangeObserver | None
    ) -> None:
        if await stream.finish() and observer is not None:
            observer.connection_closed()
            # An upstream takes a closed connection as the cancellation of its request.
            # A reset is no such confirmation: the upstream may have crashed on it.
            if not self.was_reset:
                observer.work_ended()


@dataclass
class _Upstream:
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
        self._upstreams: dict[str, _Upstream] = {}

    async def exchange(
        self,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
        observer: ExchangeObserver,
    ) -> ShardReply:
        """Send a request on a free connection; see UpstreamTransport."""
        state = await self._state(upstream)
        connection = await self._take(state)
        connection.observer = observer
        try:
            return await self._send(connection, upstream, request, timeout_ms)
        finally:
            # httpcore marks a connection idle only after a whole reply was read, so a
            # connection that failed, timed out or was cancelled is never used again.
            if connection.http.is_idle():
                state.idle.append(connection)
            else:
                state.open_count -= 1
                await _close(connection)

    def open_connections(self, upstream: str) -> int:
        """Return the connections to an upstream that are open at this end."""
        state = self._upstreams.get(upstream)
        return state.open_count if state is not None else 0

    async def close(self, upstream: str) -> None:
        """Close the idle connections to an upstream; busy ones close after use."""
        state = self._upstreams.pop(upstream, None)
        if state is not None:
            await self._close_idle(state)

    async def _state(self, upstream: Announcement) -> _Upstream:
        state = self._upstreams.get(upstream.upstream)
        if state is None:
            state = _Upstream(address=upstream.address)
            self._upstreams[upstream.upstream] = state
        elif state.address != upstream.address:
            state.address = upstream.address
            await self._close_idle(state)
        return state

    async def _close_idle(self, state: _Upstream) -> None:
        idle, state.idle = state.idle, []
        state.open_count -= len(idle)
        for connection in idle:
            await _close(connection)

    async def _take(self, state: _Upstream) -> _Connection:
        while state.idle:
            connection = state.idle.pop()
            if connection.is_reusable():
                return connection
            state.open_count -= 1
            await _close(connection)
        state.open_count += 1
        return _Connection(address=state.address, group=self._group)

    async def _send(
        self,
        connection: _Connection,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
    ) -> ShardReply:
        started_ms = self._clock.monotonic_ms()
        message = self._format.request(upstream, request, timeout_ms)
        message.extensions["timeout"] = {"connect": CONNECT_TIMEOUT_S}
        try:
            with anyio.fail_after(timeout_ms / 1000):
                response = await connection.http.handle_async_request(message)
                body = await _read_body(response, upstream.upstream)
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
        reply = self._format.reply(request, response, body)
        return _with_service_time(reply, self._clock.monotonic_ms() - started_ms)


async def _read_body(response: httpcore.Response, upstream: str) -> bytes:
    parts: list[bytes] = []
    size_bytes = 0
    async for part in response.aiter_stream():
        size_bytes += len(part)
        if size_bytes > MAX_REPLY_BYTES:
            raise UpstreamError(
                f"upstream {upstream} sent more than {MAX_REPLY_BYTES} bytes; limit "
                "its result size",
                kind=UpstreamErrorKind.MALFORMED,
                run_state=RunState.UNKNOWN,
            )
        parts.append(part)
    await response.aclose()
    return b"".join(parts)


async def _close(connection: _Connection) -> None:
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
