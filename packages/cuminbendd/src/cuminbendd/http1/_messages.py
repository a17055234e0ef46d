"""Requests and responses in memory."""

from dataclasses import dataclass
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def reason_of(status: int) -> bytes:
    """Return the reason phrase of a status code."""
    return _REASONS.get(status, b"Unknown")


@dataclass(slots=True)
class HttpRequest:
    """A request that was read in full.

    Attributes:
        target: Path and query as sent.
        headers: Names in lower case, values as sent.
        received_ms: Monotonic time at which it was complete.
        travel_ms: Time that passes outside this instance between the caller's start
            and the end: one round trip, or four if the caller has just connected.
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
        """What follows the question mark."""
        return self.target.partition(b"?")[2]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(slots=True)
class HttpResponse:
    """A response; the length is added when it is sent."""

    status: int
    headers: Headers
    body: bytes = b""

    def encode(self, *, close: bool) -> bytes:
        """Return the bytes of the whole response."""
        head = [b"HTTP/1.1 %d %s\r\n" % (self.status, reason_of(self.status))]
        head += [b"%s: %s\r\n" % item for item in self.headers]
        if self.status != HTTPStatus.NO_CONTENT:
            head.append(b"Content-Length: %d\r\n" % len(self.body))
        if close:
            head.append(b"Connection: close\r\n")
        head.append(b"\r\n")
        head.append(self.body)
        return b"".join(head)
