"""HTTP connections to upstreams, each with one request at a time."""

import asyncio
import logging
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, cast

import httptools

from cuminbendd.http1._messages import Headers
from cuminbendd.http1._response_memory import ResponseMemory

logger = logging.getLogger(__name__)

_NO_BODY_STATUSES = (204, 304)
# Bound on all bytes received for a request that are not part of the body: interim
# responses, headers, chunk framing and trailers. Some upstreams in trouble send such
# bytes without end. A chunk of one byte comes with five bytes of framing.
_MAX_OVERHEAD_BYTES = 64 << 10
_MAX_OVERHEAD_PER_BODY_BYTE = 8
# Memory that a header takes beside the bytes of its name and value: a tuple and two
# objects. Short trailers after a long body took 200 times the memory of the body.
_HEADER_OVERHEAD_BYTES = 160
# The headers of usual responses are not counted, only what exceeds this memory.
_USUAL_HEADER_MEMORY_BYTES = 4 << 10


class FailureKind(StrEnum):
    """Why an attempt has no usable response."""

    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    UNREADABLE = "unreadable"
    SILENT = "silent"
    ABANDONED = "abandoned"


@dataclass(slots=True)
class UpstreamResponse:
    """A response that was received in full.

    Attributes:
        headers: Names in lower case.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHeaderNames:
    """Names of the response headers that the connection itself reads."""

    request_id: bytes


class AttemptObserver(Protocol):
    """Is notified how one request on a connection ended, by exactly one call."""

    request_id: bytes
    expires_ms: float

    def on_response(self, response: UpstreamResponse) -> None:
        """Take the complete response to this request."""

    def on_failure(self, kind: FailureKind) -> None:
        """Record that no response will come; the upstream may have run the request."""


class ConnectionOwner(Protocol):
    """Is notified when a connection can be used again and when it is closed."""

    def on_idle(self, connection: "UpstreamConnection") -> None:
        """Make the connection available for another request."""

    def on_closed(self, connection: "UpstreamConnection") -> None:
        """Remove the connection, which is closed."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to an upstream.

    A response is only passed on if it is complete and carries the id of the waiting
    request. A response with another id answers an earlier request; it is dropped, and
    the connection is not used again. A response without an id is passed on if the
    request was the first one on its connection, so that no earlier request can have
    caused it; the connection is not used again either.

    Args:
        owner: Pool of the connection.
        header_names: Headers that the connection reads.
        memory: Bound on the bodies of all connections of the instance.

    Attributes:
        idle_since_ms: Monotonic time at which the last response was complete; set by
            the owner.
        keep_alive_ms: Time for which the upstream keeps an idle connection open, or
            None if it does not state it.
        request_count: Number of requests that were sent on the connection.
    """

    def __init__(
        self,
        *,
        owner: ConnectionOwner,
        header_names: ResponseHeaderNames,
        memory: ResponseMemory,
    ) -> None:
        self._owner = owner
        self._header_names = header_names
        self._memory = memory
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._observer: AttemptObserver | None = None
        self._is_reusable = True
        self._is_closed = False
        self._is_in_message = False
        self._undelivered_response: tuple[AttemptObserver, UpstreamResponse] | None = (
            None
        )
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.request_count = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers: Headers = []
        self._header_bytes = self._header_memory_bytes = 0
        # One buffer, because a list of chunks of a few bytes takes far more memory than
        # the chunks themselves.
        self._body = bytearray()
        self._is_framed = False
        self._is_head_complete = False

    @property
    def observer(self) -> AttemptObserver | None:
        """The observer that waits for a response, or None."""
        return self._observer

    def send(self, request: bytes, observer: AttemptObserver) -> None:
        """Write a request; the connection must be idle and open."""
        assert self._transport is not None
        self._observer = observer
        self.request_count += 1
        self._received_bytes = self._body_bytes = 0
        self._transport.write(request)

    @property
    def was_closed_by_peer(self) -> bool:
        """Whether the upstream ended the connection although it could be used again."""
        return self._is_closed and self._is_reusable

    def close(self, kind: FailureKind = FailureKind.ABANDONED) -> None:
        """Close at once; a request that waits fails with ``kind``."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._end_with_failure(kind)

    def discard_response(self) -> None:
        """Close the connection, because its response takes too much memory."""
        logger.warning(
            "event=response_discarded body_bytes=%d request=%s",
            self._body_bytes,
            self._observer.request_id.decode("latin-1") if self._observer else "",
        )
        self._body.clear()
        self.close(FailureKind.UNREADABLE)

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self._response_ends_at_close():
            self._complete_response()
        self._deliver_response()
        self._end_with_failure(FailureKind.BROKEN)

    def _end_with_failure(self, kind: FailureKind) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._memory.release(self)
            self._owner.on_closed(self)
        observer, self._observer = self._observer, None
        if observer is not None:
            observer.on_failure(kind)

    def _response_ends_at_close(self) -> bool:
        return self._is_in_message and self._is_head_complete and not self._is_framed

    def data_received(self, data: bytes) -> None:
        if self._observer is None:
            # No request waits, so these bytes belong to an unsolicited response.
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            logger.info("event=response_unreadable error='%s'", error)
            self._is_reusable = False
            self._deliver_response()
            self.close(FailureKind.UNREADABLE)
            return
        self._deliver_response()
        if self._observer is not None and self._has_received_too_much():
            logger.warning(
                "event=response_excessive received_bytes=%d body_bytes=%d request=%s",
                self._received_bytes,
                self._body_bytes,
                self._observer.request_id.decode("latin-1"),
            )
            self.close(FailureKind.UNREADABLE)

    def _has_received_too_much(self) -> bool:
        """Return whether the bytes since the request are more than any response has.

        Responses to earlier requests count as well, because they may come without end.
        """
        overhead_bytes = self._received_bytes - self._body_bytes
        return (
            self._body_bytes > self._memory.max_response_bytes
            or self._header_bytes > _MAX_OVERHEAD_BYTES
            or overhead_bytes
            > _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_PER_BODY_BYTE * self._body_bytes
        )

    def _deliver_response(self) -> None:
        """Pass on the complete response once all bytes that came with it are parsed.

        Bytes after the response belong to no request. The connection is then not used
        again.
        """
        if self._undelivered_response is None:
            return
        observer, response = self._undelivered_response
        self._undelivered_response = None
        if self._is_closed:
            pass
        elif self._is_reusable:
            self._owner.on_idle(self)
        else:
            self.close()
        observer.on_response(response)

    # Parser

    def on_message_begin(self) -> None:
        if self._observer is None:
            self._is_reusable = False
        self._is_in_message = True
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header or trailer; many of them count as response memory."""
        if self._is_closed:
            return
        size_bytes = len(name) + len(value)
        self._header_bytes += size_bytes
        self._header_memory_bytes += size_bytes + _HEADER_OVERHEAD_BYTES
        if self._header_memory_bytes > _USUAL_HEADER_MEMORY_BYTES:
            self._memory.add(self, size_bytes + _HEADER_OVERHEAD_BYTES)
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._is_framed = True

    def on_headers_complete(self) -> None:
        self._is_head_complete = True
        if self._parser.get_status_code() in _NO_BODY_STATUSES:
            self._is_framed = True

    def on_body(self, body: bytes) -> None:
        if self._is_closed:
            return
        self._body_bytes += len(body)
        self._body += body
        self._memory.add(self, len(body))

    def on_message_complete(self) -> None:
        self._complete_response()

    def _complete_response(self) -> None:
        self._is_in_message = False
        self._memory.release(self)
        observer = self._observer
        if observer is None:
            return
        if not self._is_framed or not self._parser.should_keep_alive():
            self._is_reusable = False
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        response = UpstreamResponse(status, self._headers, bytes(self._body))
        echoed = response.header(self._header_names.request_id)
        is_foreign = echoed != observer.request_id
        if echoed is None:
            # Connections are used again only after a response with its id, so this
            # upstream states ids and may have sent this response for an earlier
            # request.
            self._is_reusable = False
            is_foreign = self.request_count > 1
        if is_foreign:
            # A late response to an earlier request; the response to this request may
            # still follow.
            logger.info(
                "event=foreign_response request=%s echoed=%s",
                observer.request_id.decode("latin-1"),
                (echoed or b"").decode("latin-1"),
            )
            self._is_reusable = False
            return
        self._record_keep_alive(response)
        self._observer = None
        self._undelivered_response = (observer, response)

    def _record_keep_alive(self, response: UpstreamResponse) -> None:
        value = response.header(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            parameter, _, seconds = item.strip().partition(b"=")
            if parameter.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_ms = int(seconds) * 1000.0
