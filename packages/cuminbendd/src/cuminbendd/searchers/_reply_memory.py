"""Bound on the memory that unfinished replies of upstreams take together."""

from collections.abc import Iterator
from contextlib import contextmanager


class HeldReply:
    """Size of one unfinished reply."""

    def __init__(self, memory: "ReplyMemory") -> None:
        self._memory = memory
        self.size_bytes = 0

    def may_grow(self, size_bytes: int) -> bool:
        """Count more bytes, and return whether the reply may be read on."""
        self.size_bytes += size_bytes
        return self._memory.has_room_for(self)


class ReplyMemory:
    """Counts the bytes of unfinished replies over all connections.

    Upstreams in trouble may send replies without end, many of them at once. Over the
    limit, replies of at least average size are given up, because the smaller ones are
    more likely to end. Together the replies hold at most about twice the limit.

    Args:
        limit_bytes: Bytes that all replies may take together.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._replies: set[HeldReply] = set()

    @property
    def held_bytes(self) -> int:
        """Bytes that all unfinished replies take now."""
        return sum(reply.size_bytes for reply in self._replies)

    def has_room_for(self, reply: HeldReply) -> bool:
        """Return whether a reply of this size is kept."""
        held_bytes = self.held_bytes
        is_below_average = reply.size_bytes * len(self._replies) < held_bytes
        return held_bytes <= self._limit_bytes or is_below_average

    @contextmanager
    def hold(self) -> Iterator[HeldReply]:
        """Count a reply until it is read or given up."""
        reply = HeldReply(self)
        self._replies.add(reply)
        try:
            yield reply
        finally:
            self._replies.discard(reply)
