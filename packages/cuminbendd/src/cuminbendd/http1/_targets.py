"""The forms of a request target."""

_SCHEME = b"http://"


def split_absolute_target(target: bytes) -> tuple[bytes, bytes] | None:
    """Split a target in absolute form, such as ``http://host/path?query``.

    Source: RFC 9112, sections 3.2.2 and 3.2.4.

    Returns:
        The authority, and the target in origin form or ``*``; None for other forms and
        for the targets of other schemes.

    Raises:
        ValueError: If the authority is empty or contains user information, which a
            server treats as an error (RFC 9110, section 4.2.4).
    """
    if target[: len(_SCHEME)].lower() != _SCHEME:
        return None
    rest = target[len(_SCHEME) :]
    ends = [end for mark in b"/?" if (end := rest.find(mark)) >= 0]
    end = min(ends, default=len(rest))
    authority, origin_form = rest[:end], rest[end:]
    if not authority or b"@" in authority:
        raise ValueError(f"the authority of {target[:100]!r} is not a host and a port")
    return authority, origin_form if origin_form[:1] == b"/" else b"/" + origin_form
