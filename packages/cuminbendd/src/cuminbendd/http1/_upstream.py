"""HTTP connections to upstreams, each with one request at a time."""

import asyncio
import logging
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, cast

import httptools

from cuminbendd.http1._messages import Headers

logger = logging.getLogger(__name__)

_MAX_RESPONSE_BYTES = 32 << 20
_NO_BODY_STATUSES = (204, 304)


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
    request or no id. A response with another id answers an earlier request; it is
    dropped, and the connection is not used again.

    Attributes:
        idle_since_ms: Monotonic time at which the last response was complete; set by
            the owner.
        keep_alive_ms: Time for which the upstream keeps an idle connection open, or
            None if it does not state it.
        request_count: Number of requests that were sent on the connection.
    """

    def __init__(
        self, *, owner: ConnectionOwner, header_names: ResponseHeaderNames
    ) -> None:
        self._owner = owner
        self._header_names = header_names
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
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
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
        self._transport.write(request)

    def close(self, kind: FailureKind = FailureKind.ABANDONED) -> None:
        """Close at once; a request that waits fails with ``kind``."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._end_with_failure(kind)

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
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            logger.info("event=response_unreadable error='%s'", error)
            self._is_reusable = False
            self._deliver_response()
            self.close(FailureKind.UNREADABLE)
            return
        self._deliver_response()

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
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._is_framed = True

    def on_headers_complete(self) -> None:
        self._is_head_complete = True
        if self._parser.get_status_code() in _NO_BODY_STATUSES:
            self._is_framed = True

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > _MAX_RESPONSE_BYTES:
            raise ValueError(
                "the response is too large; limit the upstream's result size"
            )
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._complete_response()

    def _complete_response(self) -> None:
        self._is_in_message = False
        observer = self._observer
        if observer is None:
            return
        if not self._is_framed or not self._parser.should_keep_alive():
            self._is_reusable = False
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        response = UpstreamResponse(status, self._headers, b"".join(self._body))
        echoed = response.header(self._header_names.request_id)
        if echoed is not None and echoed != observer.request_id:
            # A late response to an earlier request; the response to this request may
            # still follow.
            logger.info(
                "event=foreign_response request=%s echoed=%s",
                observer.request_id.decode("latin-1"),
                echoed.decode("latin-1"),
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
