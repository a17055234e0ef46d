"""Fingerprint by which equal requests are recognised."""

from hashlib import blake2b

_DIGEST_BYTES = 16


def compute_fingerprint(target: str, body: bytes) -> str:
    """Return the fingerprint of a request, a hex digest of its target and body.

    The member is left out, because a body that crashes upstreams does so for any
    member.
    """
    name = target.encode()
    digest = blake2b(digest_size=_DIGEST_BYTES)
    digest.update(len(name).to_bytes(4, "big") + name + body)
    return digest.hexdigest()
