"""Encoding of the files of the control log.

A record is a length, a CRC-32 of the body, a CRC-32 of those two fields, and the
body. The header has its own checksum because a damaged length would otherwise look
like a torn tail, and everything after it would be cut off silently.
"""

import struct
import zlib

from cuminbend.consensus._messages import Entry
from cuminbend.exceptions import CorruptDataError

_LENGTH_AND_CRC = struct.Struct("<II")
_HEADER_CRC = struct.Struct("<I")
_HEADER_BYTES = _LENGTH_AND_CRC.size + _HEADER_CRC.size
_ENTRY_HEADER = struct.Struct("<QQdB")

CORRUPTION_REMEDY = (
    "move the whole data folder aside and start the instance again with an empty one; "
    "it rejoins as a voter that lost its disk"
)


def encode_record(body: bytes) -> bytes:
    """Return ``body`` framed as a record."""
    fields = _LENGTH_AND_CRC.pack(len(body), zlib.crc32(body))
    return fields + _HEADER_CRC.pack(zlib.crc32(fields)) + body


def decode_records(name: str, content: bytes) -> tuple[list[bytes], int]:
    """Return the bodies of all complete records and their total size in bytes.

    The size is below the size of the content if the tail is torn: the last record
    ends before its declared length, or only zero bytes follow.

    Raises:
        CorruptDataError: If a record does not match its checksum.
    """
    bodies: list[bytes] = []
    position = 0
    while position < len(content):
        body = _decode_record_at(name, content, position)
        if body is None:
            break
        bodies.append(body)
        position += _HEADER_BYTES + len(body)
    return bodies, position


def _decode_record_at(name: str, content: bytes, position: int) -> bytes | None:
    """Return the body of the record at ``position``, or None if the tail is torn."""
    body_start = position + _HEADER_BYTES
    if len(content) < body_start:
        return None
    length, checksum = _LENGTH_AND_CRC.unpack_from(content, position)
    (header_checksum,) = _HEADER_CRC.unpack_from(
        content, position + _LENGTH_AND_CRC.size
    )
    if (
        zlib.crc32(content[position : position + _LENGTH_AND_CRC.size])
        != header_checksum
    ):
        if not content[position:].strip(b"\0"):
            return None
        raise CorruptDataError(_checksum_error_text(name, position))
    if len(content) < body_start + length:
        return None
    body = content[body_start : body_start + length]
    if zlib.crc32(body) != checksum:
        raise CorruptDataError(_checksum_error_text(name, position))
    return body


def _checksum_error_text(name: str, position: int) -> str:
    return f"wrong checksum in {name} at byte {position}; {CORRUPTION_REMEDY}"


def encode_entry(entry: Entry) -> bytes:
    """Return an entry as a record."""
    kind = entry.kind.encode()
    head = _ENTRY_HEADER.pack(entry.index, entry.term, entry.proposed_at_ms, len(kind))
    return encode_record(head + kind + entry.data)


def decode_entry(body: bytes) -> Entry:
    """Return the entry of a record's body."""
    index, term, proposed_at_ms, kind_bytes = _ENTRY_HEADER.unpack_from(body)
    data_start = _ENTRY_HEADER.size + kind_bytes
    return Entry(
        index=index,
        term=term,
        kind=body[_ENTRY_HEADER.size : data_start].decode(),
        data=body[data_start:],
        proposed_at_ms=proposed_at_ms,
    )
