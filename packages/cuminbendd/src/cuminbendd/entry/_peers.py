"""Messages between entry instances, and the connections that carry them."""

import asyncio
import logging
import struct
from typing import Protocol, cast

import msgspec

logger = logging.getLogger(__name__)

_LENGTH = struct.Struct("<I")
# Larger than any message: a caller's body and the records of an answer are far smaller.
_MAX_MESSAGE_BYTES = 64 << 20


class Delegate(msgspec.Struct, array_like=True, tag=1):
    """Asks another instance to query shards and to merge their parts.

    Attributes:
        task_id: Id of the task, unique on this connection.
        request_id: Id of the caller's request.
        head: Request line and headers that every shard gets.
        route: Label of the route, for logs.
        answer_in_ms: Time after which to answer with the parts that have arrived.
        deadline_in_ms: Time after which no part is of use.
        max_attempts: Number of attempts that may run for one shard.
        top_k: Number of records to return.
        fingerprint: Fingerprint of the request; empty from a version without it.
        route_key: Key of the route, for which the other instance has its own hedge
            delay; empty from a version without it.
    """

    task_id: int
    request_id: bytes
    head: bytes
    body: bytes
    shards: tuple[str, ...]
    route: str
    answer_in_ms: float
    deadline_in_ms: float
    max_attempts: int
    top_k: int
    fingerprint: str = ""
    route_key: str = ""


class Accepted(msgspec.Struct, array_like=True, tag=2):
    """Confirms that a task was read and started."""

    task_id: int


class Merged(msgspec.Struct, array_like=True, tag=3):
    """The merged parts that arrived since the last message about the task.

    Attributes:
        stamps: Signature of each part, by the position of its shard in the task.
        records: The greatest records of these parts.
        is_final: Whether this is the last message about the task.
    """

    task_id: int
    stamps: dict[int, bytes]
    records: bytes
    is_final: bool


class Cancel(msgspec.Struct, array_like=True, tag=4):
    """Cancels a task."""

    task_id: int


PeerMessage = Delegate | Accepted | Merged | Cancel

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


class PeerConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def on_message(self, connection: "PeerConnection", message: PeerMessage) -> None:
        """Handle a message."""

    def on_closed(self, connection: "PeerConnection") -> None:
        """Handle the end of the connection."""


class PeerConnection(asyncio.Protocol):
    """Connection that carries msgpack messages, each preceded by its length."""

    def __init__(self, owner: PeerConnectionOwner) -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self.is_open = False

    def send(self, message: PeerMessage) -> None:
        """Send a message; without an open connection it is dropped."""
        if self._transport is not None and self.is_open:
            content = _encoder.encode(message)
            self._transport.write(_LENGTH.pack(len(content)) + content)

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._owner.on_closed(self)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > _MAX_MESSAGE_BYTES:
                logger.error("event=peer_message_oversized size_bytes=%d", size)
                self.close()
                return
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            content = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            try:
                message = _decoder.decode(content)
            except msgspec.MsgspecError as error:
                logger.error("event=peer_message_unreadable error='%s'", error)
                self.close()
                return
            self._owner.on_message(self, message)
