"""The end towards upstreams: one request at a time on each connection."""

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
    """Headers of a response that the connection itself looks at."""

    request_id: bytes


class AttemptObserver(Protocol):
    """Learns how one request on a connection ended; exactly one call is made."""

    request_id: bytes
    expires_ms: float

    def on_response(self, response: UpstreamResponse) -> None:
        """Take the whole response to this request."""

    def on_failure(self, kind: FailureKind) -> None:
        """Note that there is no response; the upstream may have run the request."""


class ConnectionOwner(Protocol):
    """Learns when a connection can be used again and when it is gone."""

    def on_idle(self, connection: "UpstreamConnection") -> None:
        """Take the connection back."""

    def on_closed(self, connection: "UpstreamConnection") -> None:
        """Forget the connection."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to an upstream.

    A response is only passed on if it is complete and carries the id of the request
    that waits. A response with another id answered an earlier request; it is dropped,
    and the connection is not used again.

    Attributes:
        idle_since_ms: When the last response was complete.
        keep_alive_ms: How long the upstream keeps an idle connection, or None.
        served: Requests that were sent on it.
    """

    def __init__(self, *, owner: ConnectionOwner, names: ResponseHeaderNames) -> None:
        self._owner = owner
        self._names = names
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._observer: AttemptObserver | None = None
        self._is_reusable = True
        self._is_closed = False
        self._in_message = False
        self._completed: tuple[AttemptObserver, UpstreamResponse] | None = None
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.served = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_framed = False
        self._head_complete = False

    @property
    def observer(self) -> AttemptObserver | None:
        """Who waits for a response."""
        return self._observer

    def send(self, request: bytes, observer: AttemptObserver) -> None:
        """Write a request; the connection must be idle and open."""
        assert self._transport is not None
        self._observer = observer
        self.served += 1
        self._transport.write(request)

    def close(self, kind: FailureKind = FailureKind.ABANDONED) -> None:
        """Close at once; a request that waits fails with ``kind``."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._finish(kind)

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self._ends_with_connection():
            self._complete()
        self._deliver()
        self._finish(FailureKind.BROKEN)

    def _finish(self, kind: FailureKind) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._owner.on_closed(self)
        observer, self._observer = self._observer, None
        if observer is not None:
            observer.on_failure(kind)

    def _ends_with_connection(self) -> bool:
        return self._in_message and self._head_complete and not self._is_framed

    def data_received(self, data: bytes) -> None:
        if self._observer is None:
            # Nothing was asked: an extra response, which belongs to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            logger.info("event=response_unreadable error='%s'", error)
            self._is_reusable = False
            self._deliver()
            self.close(FailureKind.UNREADABLE)
            return
        self._deliver()

    def _deliver(self) -> None:
        """Hand over the response once all bytes that came with it are read.

        Bytes after it belong to no request, so the connection is not used again then.
        """
        if self._completed is None:
            return
        observer, response = self._completed
        self._completed = None
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
        self._in_message = True
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._is_framed = True

    def on_headers_complete(self) -> None:
        self._head_complete = True
        if self._parser.get_status_code() in _NO_BODY_STATUSES:
            self._is_framed = True

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > _MAX_RESPONSE_BYTES:
            raise ValueError("the response is larger than an instance accepts")
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._complete()

    def _complete(self) -> None:
        self._in_message = False
        observer = self._observer
        if observer is None:
            return
        if not self._is_framed or not self._parser.should_keep_alive():
            self._is_reusable = False
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        response = UpstreamResponse(status, self._headers, b"".join(self._body))
        echoed = response.header(self._names.request_id)
        if echoed is not None and echoed != observer.request_id:
            # The response of an earlier request came late; the next one is ours.
            logger.info(
                "event=foreign_response request=%s echoed=%s",
                observer.request_id.decode("latin-1"),
                echoed.decode("latin-1"),
            )
            self._is_reusable = False
            return
        self._note_keep_alive(response)
        self._observer = None
        self._completed = (observer, response)

    def _note_keep_alive(self, response: UpstreamResponse) -> None:
        value = response.header(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            key, _, seconds = item.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_ms = int(seconds) * 1000.0
