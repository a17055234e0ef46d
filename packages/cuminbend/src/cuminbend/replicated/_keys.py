"""Idempotency keys: UUIDv7 (RFC 9562, section 5.7)."""

import re

__all__ = ["key_creation_ms"]

# 48 bits of Unix time in ms, version 7, and a variant of binary 10. Only the lower-case
# form is accepted; otherwise two spellings of one UUID would be two keys.
_UUID7_PATTERN = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def key_creation_ms(key: str) -> int | None:
    """Return the creation time of a key.

    Returns:
        Milliseconds since the epoch, or None if ``key`` is not a UUIDv7 in canonical
        lower-case form.
    """
    match = _UUID7_PATTERN.fullmatch(key)
    return None if match is None else int(match[1] + match[2], 16)
