"""HTTP server for callers, with limits, time-outs and a graceful stop."""

import asyncio
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol, cast

import httptools
from cuminbend.forwarding import CallerLimits
from cuminbend.ports import Clock

from cuminbendd.http1._messages import Headers, HttpRequest, HttpResponse
from cuminbendd.http1._targets import split_absolute_target

logger = logging.getLogger(__name__)

_SWEEP_INTERVAL_S = 0.25
# Interval of the checks whether a stopping server has answered its requests.
_FINISH_POLL_S = 0.02
_LISTEN_BACKLOG = 512
# Long enough to send a body of several times the limit.
_DISCARD_S = 2.0
# Bytes of a header line beside name and value: colon, space, CR and LF.
_HEADER_LINE_EXTRA_BYTES = 4
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Requests that a caller may send on one connection before earlier ones are answered.
_MAX_PIPELINED_REQUESTS = 32
# A caller's first request on a connection comes after the handshake, and mostly after
# a call of the directory over another connection: on a day with idle callers, 32 of 46
# first requests followed such a call. The caller's latency objective counts from it.
_FIRST_ROUND_TRIPS = 4
# Bytes that the bodies of all unanswered requests may take together by default.
_DEFAULT_BODY_MEMORY_BYTES = 64 << 20
# Offset of ``tcpi_rtt``, which is in microseconds, in the kernel's ``struct tcp_info``.
_TCP_INFO_BYTES = 104
_TCP_INFO_RTT_OFFSET = 68


class Responder:
    """Sends the answer to one request.

    Attributes:
        on_abandoned: Called if the caller closes its connection before the answer.
    """

    __slots__ = ("_connection", "is_done", "on_abandoned")

    def __init__(self, connection: "_CallerConnection") -> None:
        self._connection = connection
        self.is_done = False
        self.on_abandoned: Callable[[], None] | None = None

    def respond(self, response: HttpResponse) -> None:
        """Send the answer; further answers to the same request are ignored."""
        if self.is_done:
            return
        self.is_done = True
        self._connection.send(response)

    def end(self, response: HttpResponse) -> None:
        """Send an answer in place of the handler, which learns that nobody waits."""
        if self.is_done:
            return
        self.respond(response)
        if self.on_abandoned is not None:
            self.on_abandoned()

    def abandon(self) -> None:
        """Record that the caller closed its connection, and call ``on_abandoned``."""
        if self.is_done:
            return
        self.is_done = True
        if self.on_abandoned is not None:
            self.on_abandoned()


class RequestHandler(Protocol):
    """Takes requests and answers each through its responder, at once or later."""

    def __call__(self, request: HttpRequest, responder: Responder) -> None:
        """Start to process a request."""


class HttpServer:
    """Listens for callers.

    Args:
        handler: Takes each request.
        clock: Source of time.
        limits: Returns the limits on requests; called for each check, so that a
            change of the limits holds at once.
        body_memory_bytes: Bytes that the bodies of all requests that are not answered
            may take together. A request beyond that is rejected before it is handled.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        clock: Clock,
        limits: Callable[[], CallerLimits] = CallerLimits,
        body_memory_bytes: int = _DEFAULT_BODY_MEMORY_BYTES,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.body_memory_bytes = body_memory_bytes
        self.held_body_bytes = 0
        self.is_draining = False
        self.connections: set[_CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        Raises:
            OSError: If the address is in use.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), host, port, backlog=_LISTEN_BACKLOG
        )
        self._sweep_timer = loop.call_later(
            _SWEEP_INTERVAL_S, self._close_overdue_connections
        )

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def busy_connection_count(self) -> int:
        """Number of connections with a request that is unanswered or partly read."""
        return sum(connection.is_busy for connection in self.connections)

    def drain(self) -> None:
        """From now on, close each connection after the requests read so far."""
        self.is_draining = True

    def close_idle_connections(self) -> None:
        """Stop listening and close the connections that are not busy."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            if not connection.is_busy:
                connection.close()

    def end_requests(self, response: HttpResponse) -> None:
        """Answer the request that each connection works on, and reject those behind it.

        Called before all connections are closed, so that callers learn which requests
        have not run.
        """
        self.handler = _reject_unhandled
        for connection in tuple(self.connections):
            connection.end_request(response)

    async def finish_requests(self) -> None:
        """Stop listening and wait until all requests are answered."""
        self.close_idle_connections()
        while self.busy_connection_count:  # noqa: ASYNC110
            await asyncio.sleep(_FINISH_POLL_S)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close()

    def _close_overdue_connections(self) -> None:
        now_ms = self.clock.monotonic_ms()
        limits = self.limits()
        for connection in tuple(self.connections):
            connection.close_if_overdue(now_ms, limits)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(
            _SWEEP_INTERVAL_S, self._close_overdue_connections
        )


class _CallerConnection(asyncio.Protocol):
    """A connection of a caller; requests on it are answered in order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queued_requests: deque[tuple[HttpRequest, bool]] = deque()
        self._current_responder: Responder | None = None
        self._current_body_bytes = 0
        self._held_body_bytes = 0
        self._has_parsed = False
        self._unparsed_bytes = 0
        self._keeps_alive = True
        self._is_closing = False
        self._is_rejected = False
        self._last_active_ms = server.clock.monotonic_ms()
        self._message_start_ms: float | None = None
        self._round_trip_ms = 0.0
        self._request_count = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        # One buffer, because a list of chunks of a few bytes takes far more memory than
        # the chunks themselves.
        self._body = bytearray()
        self._header_bytes = 0
        self._body_bytes = 0
        self._is_head_complete = False

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._round_trip_ms = _round_trip_ms(self._transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._is_closing = True
        self._queued_requests.clear()
        self._release_body_bytes(self._held_body_bytes)
        if self._current_responder is not None:
            self._current_responder.abandon()
            self._current_responder = None

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._is_rejected:
            return
        self._last_active_ms = self._server.clock.monotonic_ms()
        self._has_parsed = False
        try:
            self._parse(data)
            self._check_unparsed_bytes(len(data))
        except _RejectedError as error:
            self._reject_request(error.status, error.cause)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _RejectedError):
                self._reject_request(cause.status, cause.cause)
            else:
                logger.exception("event=parser_callback_failed")
                self._reject_request(HTTPStatus.BAD_REQUEST, "unreadable")
        except httptools.HttpParserError as error:
            self._reject_request(HTTPStatus.BAD_REQUEST, str(error))

    def _parse(self, data: bytes) -> None:
        """Feed the parser, which stops after the head of a request to upgrade.

        The server ignores such a request (RFC 9110, section 7.8): the head is parsed
        again without its ``Upgrade`` header.
        """
        unparsed = memoryview(data)
        while True:
            try:
                self._parser.feed_data(unparsed)
                return
            except httptools.HttpParserUpgrade as error:
                (head_end,) = error.args
                unparsed = unparsed[head_end:]
                head = self._encode_head_without_upgrade()
                self._parser = httptools.HttpRequestParser(self)
                self._parser.feed_data(head)

    def _encode_head_without_upgrade(self) -> bytes:
        lines = [
            b"%s %s HTTP/%s"
            % (
                self._parser.get_method(),
                self._target,
                self._parser.get_http_version().encode(),
            )
        ]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in self._headers
            if name != b"upgrade"
        ]
        return b"\r\n".join((*lines, b"", b""))

    def _check_unparsed_bytes(self, size_bytes: int) -> None:
        """Reject a header, trailer or chunk extension that does not end.

        The parser reports headers only once they are complete.
        """
        if self._has_parsed:
            self._unparsed_bytes = 0
            return
        self._unparsed_bytes += size_bytes
        if self._unparsed_bytes > self._server.limits().header_bytes:
            raise _RejectedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "unparsed_bytes"
            )

    @property
    def is_busy(self) -> bool:
        """Whether a request is unanswered or partly read."""
        return self._current_responder is not None or self._message_start_ms is not None

    @property
    def _has_unanswered_data(self) -> bool:
        """Whether another request has been read, or a part of it."""
        return bool(self._queued_requests) or self._message_start_ms is not None

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    def end_request(self, response: HttpResponse) -> None:
        """Answer the current request in place of the handler."""
        if self._current_responder is not None:
            self._current_responder.end(response)

    def close_if_overdue(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it has been idle or its request is overdue."""
        if self._current_responder is not None or self._is_closing:
            return
        if self._message_start_ms is not None:
            elapsed_ms = now_ms - self._message_start_ms
            if not self._is_head_complete and elapsed_ms > limits.header_timeout_ms:
                self._reject_request(HTTPStatus.REQUEST_TIMEOUT, "header_timeout")
            elif now_ms - self._last_active_ms > limits.idle_timeout_ms:
                self._reject_request(HTTPStatus.REQUEST_TIMEOUT, "body_timeout")
        elif now_ms - self._last_active_ms > limits.idle_timeout_ms:
            self.close()

    # Parser

    def on_message_begin(self) -> None:
        self._reset_message()
        self._message_start_ms = self._server.clock.monotonic_ms()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))
        self._add_header_bytes(len(name) + len(value) + _HEADER_LINE_EXTRA_BYTES)

    def _add_header_bytes(self, size_bytes: int) -> None:
        self._has_parsed = True
        self._header_bytes += size_bytes
        if self._header_bytes > self._server.limits().header_bytes:
            raise _RejectedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "header_bytes"
            )

    def on_headers_complete(self) -> None:
        self._is_head_complete = True
        if self._parser.get_method() == b"CONNECT":
            # Its target is no path, so it matches no route; bytes that follow it belong
            # to a tunnel and are no requests.
            raise _RejectedError(HTTPStatus.NOT_FOUND, "connect")
        if self._parser.should_upgrade():
            return
        host_count = sum(name == b"host" for name, _ in self._headers)
        if host_count != 1:
            raise _RejectedError(HTTPStatus.BAD_REQUEST, "host_header")
        self._apply_absolute_target()
        limit = self._server.limits().body_bytes
        for name, value in self._headers:
            if name == b"content-length" and int(value) > limit:
                raise _RejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_bytes")
            if name == b"expect" and value.lower() == b"100-continue":
                assert self._transport is not None
                self._transport.write(_CONTINUE_RESPONSE)

    def _apply_absolute_target(self) -> None:
        """Take the host from an absolute target, in place of the ``Host`` header."""
        try:
            parts = split_absolute_target(self._target)
        except ValueError as error:
            raise _RejectedError(HTTPStatus.BAD_REQUEST, "target") from error
        if parts is not None:
            authority, self._target = parts
            self._headers = [
                (name, authority if name == b"host" else value)
                for name, value in self._headers
            ]

    def on_body(self, body: bytes) -> None:
        self._has_parsed = True
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().body_bytes:
            raise _RejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_bytes")
        self._held_body_bytes += len(body)
        self._server.held_body_bytes += len(body)
        if self._server.held_body_bytes > self._server.body_memory_bytes:
            raise _RejectedError(HTTPStatus.SERVICE_UNAVAILABLE, "body_memory")
        self._body += body

    def _release_body_bytes(self, size_bytes: int) -> None:
        self._held_body_bytes -= size_bytes
        self._server.held_body_bytes -= size_bytes

    def on_message_complete(self) -> None:
        self._has_parsed = True
        if self._parser.should_upgrade():
            # The body has not been read; see ``_parse``.
            return
        self._message_start_ms = None
        self._request_count += 1
        request = HttpRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=bytes(self._body),
            received_ms=self._server.clock.monotonic_ms(),
            travel_ms=self._round_trip_ms
            * (_FIRST_ROUND_TRIPS if self._request_count == 1 else 1),
        )
        if len(self._queued_requests) >= _MAX_PIPELINED_REQUESTS:
            raise _RejectedError(HTTPStatus.TOO_MANY_REQUESTS, "pipelined")
        self._queued_requests.append((request, self._parser.should_keep_alive()))
        if self._current_responder is None:
            self._start_next()

    # Answers

    def _start_next(self) -> None:
        if not self._queued_requests or self._is_closing:
            return
        request, self._keeps_alive = self._queued_requests.popleft()
        responder = self._current_responder = Responder(self)
        self._current_body_bytes = len(request.body)
        try:
            self._server.handler(request, responder)
        except Exception:
            logger.exception("event=handler_failed target=%r", request.target)
            responder.respond(HttpResponse(HTTPStatus.INTERNAL_SERVER_ERROR, []))

    def send(self, response: HttpResponse) -> None:
        """Write the answer to the current request and start the next one."""
        self._current_responder = None
        self._release_body_bytes(min(self._current_body_bytes, self._held_body_bytes))
        self._last_active_ms = self._server.clock.monotonic_ms()
        if self._transport is None or self._is_closing:
            return
        close = not self._keeps_alive or (
            self._server.is_draining and not self._has_unanswered_data
        )
        self._transport.write(response.encode(close=close))
        if close:
            self.close()
        else:
            self._start_next()

    def _reject_request(self, status: HTTPStatus, cause: str) -> None:
        """Answer a request that cannot be read with an error, and close."""
        logger.info("event=request_unreadable status=%d cause='%s'", status, cause)
        self._is_rejected = True
        self._message_start_ms = None
        self._queued_requests.clear()
        if self._current_responder is not None or self._transport is None:
            # An earlier request is still unanswered; its answer closes the connection.
            self._keeps_alive = False
            return
        self._transport.write(HttpResponse(status, []).encode(close=True))
        if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            self._discard_body()
        else:
            self.close()

    def _discard_body(self) -> None:
        """Read on for a while and ignore what comes, then close.

        The kernel resets a connection that is closed with bytes unread, and a caller
        that still sends its body would see the reset in place of the answer.
        """
        assert self._transport is not None
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(_DISCARD_S, self.close)


def _reject_unhandled(request: HttpRequest, responder: Responder) -> None:
    responder.respond(HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, []))


def _round_trip_ms(transport: asyncio.Transport) -> float:
    """Return the round trip that the kernel has measured, 0 if it is not available."""
    connection = transport.get_extra_info("socket")
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except (AttributeError, OSError):
        return 0.0
    (round_trip_us,) = struct.unpack_from("I", info, _TCP_INFO_RTT_OFFSET)
    return float(round_trip_us) / 1000


class _RejectedError(Exception):
    """A request that exceeds a limit or is malformed."""

    def __init__(self, status: HTTPStatus, cause: str) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause
