"""Tests of the bound on unfinished replies."""

from collections.abc import AsyncIterator

import anyio
import anyio.lowlevel
import httpcore
import pytest
from cuminbend.exceptions import UpstreamError

from cuminbendd.searchers._connections import read_body
from cuminbendd.searchers._reply_memory import ReplyMemory

PART_BYTES = 1000


async def endless_reply() -> AsyncIterator[bytes]:
    while True:
        await anyio.lowlevel.checkpoint()
        yield b"b" * PART_BYTES


def test_replies_without_end_are_bounded_together() -> None:
    """Guards against many replies, each within its own limit, that fill the memory."""
    memory = ReplyMemory(limit_bytes=100 * PART_BYTES)
    peak_bytes = 0

    async def read() -> None:
        nonlocal peak_bytes
        response = httpcore.Response(200, content=endless_reply())
        with pytest.raises(UpstreamError, match="replies of all upstreams"):
            await read_body(response, "u", memory)
        peak_bytes = max(peak_bytes, memory.held_bytes)

    async def test() -> None:
        async with anyio.create_task_group() as group:
            for _ in range(50):
                group.start_soon(read)

    anyio.run(test)
    assert peak_bytes <= 2 * 100 * PART_BYTES
    assert memory.held_bytes == 0


def test_short_reply_is_read_while_others_fill_the_memory() -> None:
    """Guards against replies that fail because of another upstream's trouble."""
    memory = ReplyMemory(limit_bytes=10)
    with memory.hold() as long_reply, memory.hold() as short_reply:
        assert long_reply.may_grow(9)
        assert short_reply.may_grow(2)
        assert not long_reply.may_grow(1)
