"""Bound on the memory that unfinished responses of upstreams take together."""

from typing import Protocol

# A single response may take this share of the memory for all of them, so that a few
# responses without end leave room for the others.
_RESPONSE_SHARE = 0.25


class ResponseHolder(Protocol):
    """A connection that holds the body of an unfinished response."""

    def discard_response(self) -> None:
        """Close the connection, because its response takes too much memory."""


class ResponseMemory:
    """Counts the body bytes of unfinished responses over all connections.

    An upstream in trouble may send a body without end. When all bodies together exceed
    the limit, the longest one is discarded, because the others are more likely to end.

    Args:
        limit_bytes: Bytes that all unfinished bodies may take together.

    Attributes:
        held_bytes: Bytes that they take now.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._sizes_bytes: dict[ResponseHolder, int] = {}
        self.held_bytes = 0

    @property
    def max_response_bytes(self) -> int:
        """Bytes that the body of one response may take."""
        return int(self._limit_bytes * _RESPONSE_SHARE)

    def add(self, holder: ResponseHolder, size_bytes: int) -> None:
        """Count more bytes of a response; discard the longest one over the limit."""
        self._sizes_bytes[holder] = self._sizes_bytes.get(holder, 0) + size_bytes
        self.held_bytes += size_bytes
        if self._sizes_bytes[holder] > self.max_response_bytes:
            self._discard(holder)
        while self.held_bytes > self._limit_bytes:
            self._discard(max(self._sizes_bytes, key=self._sizes_bytes.__getitem__))

    def release(self, holder: ResponseHolder) -> None:
        """Stop counting the response of a connection."""
        self.held_bytes -= self._sizes_bytes.pop(holder, 0)

    def _discard(self, holder: ResponseHolder) -> None:
        self.release(holder)
        holder.discard_response()
