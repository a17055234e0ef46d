"""HTTP requests and responses that are held in memory as a whole."""

from dataclasses import dataclass
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

_PHRASES_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status code, ``Unknown`` for others."""
    return _PHRASES_BY_STATUS.get(status, b"Unknown")


@dataclass(slots=True)
class HttpRequest:
    """A request that was read in full.

    Attributes:
        target: Path and query as sent, without the scheme and host of an absolute
            target; these replace the ``Host`` header.
        headers: Names in lower case, values as sent.
        received_ms: Monotonic time at which the request was complete.
        travel_ms: Network time that the caller spends on the request outside this
            instance: one round trip, or four if the caller has just connected.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: float
    travel_ms: float = 0.0

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> bytes:
        """The query string without the question mark; empty if there is none."""
        return self.target.partition(b"?")[2]

    @property
    def host(self) -> str:
        """Value of the ``Host`` header; empty if there is none."""
        return (self.header(b"host") or b"").decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(slots=True)
class HttpResponse:
    """A response; :meth:`encode` adds its Content-Length header."""

    status: int
    headers: Headers
    body: bytes = b""

    def encode(self, *, close: bool) -> bytes:
        """Return the bytes of the whole response."""
        head = [b"HTTP/1.1 %d %s\r\n" % (self.status, reason_phrase(self.status))]
        head += [b"%s: %s\r\n" % item for item in self.headers]
        if self.status != HTTPStatus.NO_CONTENT:
            head.append(b"Content-Length: %d\r\n" % len(self.body))
        if close:
            head.append(b"Connection: close\r\n")
        head.append(b"\r\n")
        head.append(self.body)
        return b"".join(head)
