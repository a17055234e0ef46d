"""Frames: a length, then a msgpack array of call id, kind and message.

Large frames are compressed, because traffic between data centres is charged: a list of
upstreams repeats its field names and addresses and shrinks to about a fifth.
"""

import asyncio
import struct
import zlib
from collections.abc import Iterable
from typing import Any

import msgspec
from cuminbend.exceptions import ChannelError

_LENGTH_FORMAT = struct.Struct("<I")
# Larger than any snapshot: a configuration of thousands of routes takes 1 MB.
_MAX_FRAME_BYTES = 64 << 20
# Set in the length of a frame whose content is compressed.
_COMPRESSED_FLAG = 1 << 31
# Heartbeats and messages of the control log are smaller; compressing one costs more
# processor time than the saved bytes are worth.
_MIN_COMPRESSED_BYTES = 512
_COMPRESSION_LEVEL = 1
# Configurations are stored compressed. Compressing a large one again takes 31 ms for
# each MB on the event loop, for each reader, and saves nothing. So a sample decides.
_MIN_SAMPLED_BYTES = 256 << 10
_SAMPLE_BYTES = 16 << 10
_MAX_SAMPLE_RATIO = 0.9
_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


class Frame(msgspec.Struct, array_like=True):
    """One message on the wire.

    Attributes:
        call_id: Pairs a reply with its request; 0 on a stream.
        kind: Name of the message's type.
    """

    call_id: int
    kind: str
    body: msgspec.Raw


class Codec:
    """Encodes and decodes messages of a fixed set of types.

    Args:
        types: Data classes or structs. The class name identifies the type on the wire.
    """

    def __init__(self, types: Iterable[type[Any]]) -> None:
        self._message_encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(Frame)
        self._message_decoders = {
            message_type.__name__: msgspec.msgpack.Decoder(message_type)
            for message_type in types
        }

    def encode(self, call_id: int, message: Any) -> bytes:
        """Return a frame with its length."""
        kind = type(message).__name__
        body = msgspec.Raw(self._message_encoder.encode(message))
        content = self._message_encoder.encode(Frame(call_id, kind, body))
        if len(content) < _MIN_COMPRESSED_BYTES:
            return _LENGTH_FORMAT.pack(len(content)) + content
        if len(content) >= _MIN_SAMPLED_BYTES and not _is_compressible(content):
            return _LENGTH_FORMAT.pack(len(content)) + content
        content = zlib.compress(content, _COMPRESSION_LEVEL)
        return _LENGTH_FORMAT.pack(len(content) | _COMPRESSED_FLAG) + content

    def decode(self, content: bytes) -> tuple[int, Any]:
        """Return call id and message of a frame without its length.

        Raises:
            ChannelError: If the frame cannot be read.
        """
        try:
            frame = self._frame_decoder.decode(content)
            return frame.call_id, self._message_decoders[frame.kind].decode(frame.body)
        except (msgspec.MsgspecError, KeyError) as error:
            raise ChannelError(
                f"a peer sent a message that cannot be read ({error}); run the same "
                "version on all instances"
            ) from error


class FrameStream:
    """Frames over one connection."""

    def __init__(
        self,
        codec: Codec,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._codec = codec
        self._reader = reader
        self._writer = writer

    async def read(self) -> tuple[int, Any]:
        """Return the next call id and message.

        Raises:
            ChannelError: If the connection ended or a frame cannot be read.
        """
        try:
            head = await self._reader.readexactly(_LENGTH_FORMAT.size)
            (length,) = _LENGTH_FORMAT.unpack(head)
            size_bytes = length & ~_COMPRESSED_FLAG
            if size_bytes > _MAX_FRAME_BYTES:
                raise ChannelError("a peer sent an oversized frame")
            content = await self._reader.readexactly(size_bytes)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise ChannelError(f"a peer closed its connection: {error}") from (error)
        if length & _COMPRESSED_FLAG:
            content = _decompress(content)
        return self._codec.decode(content)

    async def write(self, message: Any, *, call_id: int = 0) -> None:
        """Send a message; wait while the peer does not read and the buffer is full.

        Raises:
            ChannelError: If the connection is closed.
        """
        try:
            self._writer.write(self._codec.encode(call_id, message))
            await self._writer.drain()
        except (OSError, RuntimeError) as error:
            raise ChannelError(f"a peer closed its connection: {error}") from (error)

    def close(self) -> None:
        """Close the connection without waiting for the peer."""
        self._writer.transport.abort()


def _is_compressible(content: bytes) -> bool:
    middle = len(content) // 2
    sample = content[middle : middle + _SAMPLE_BYTES]
    compressed = zlib.compress(sample, _COMPRESSION_LEVEL)
    return len(compressed) < _MAX_SAMPLE_RATIO * len(sample)


def _decompress(content: bytes) -> bytes:
    """Return the content of a compressed frame.

    Raises:
        ChannelError: If the content is damaged, truncated or larger than any frame.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, _MAX_FRAME_BYTES)
    except zlib.error as error:
        raise ChannelError(f"a peer sent a damaged frame: {error}") from error
    if not decompressor.eof:
        raise ChannelError("a peer sent a truncated or oversized frame")
    return data


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Raises:
        ValueError: If the host is missing, or the port is not a decimal number from 0
            (any free port) to 65535.
    """
    host, separator, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if not separator or not host or not is_number or int(port) > _MAX_PORT:
        raise ValueError(f"{address[:100]!r} is no address; write host:port")
    return host, int(port)


def format_address(host: str, port: int) -> str:
    """Return ``host:port``."""
    return f"{host}:{port}"


async def open_stream(codec: Codec, address: str, *, timeout_ms: float) -> FrameStream:
    """Connect to a channel server.

    Raises:
        ChannelError: If there is no connection within ``timeout_ms``, or the address
            cannot be read.
    """
    try:
        host, port = parse_address(address)
        async with asyncio.timeout(timeout_ms / 1000):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError, ValueError) as error:
        raise ChannelError(f"cannot connect to {address}: {error!r}") from error
    return FrameStream(codec, reader, writer)
