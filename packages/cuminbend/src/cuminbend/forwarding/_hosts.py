"""Comparison of the hosts and paths of requests with those of routes."""

from urllib.parse import quote

# Port of the ``http`` scheme, in which callers are served.
_DEFAULT_PORT = "80"
# Characters of a path that callers send as they are (RFC 3986, section 3.3). The
# percent sign is one of them because it begins an encoded character.
_PATH_CHARACTERS = "/%:@!$&'()*+,;=~"


def canonical_host(host: str) -> str:
    """Return a host in lower case and without the default port.

    Values of a ``Host`` header that differ only in these name the same host. Any other
    port is part of the host.

    Source: RFC 9110, sections 4.2.3 and 7.2.
    """
    host = host.lower()
    name, separator, port = host.rpartition(":")
    return name if separator and port in ("", _DEFAULT_PORT) else host


def received_form(text: str) -> str:
    """Return a text as it is in a request whose bytes were decoded as Latin-1."""
    return text.encode().decode("latin-1")


def sent_form(text: str) -> str:
    """Return the text of which :func:`received_form` returns ``text``.

    Bytes that are not UTF-8 stay as they were received.
    """
    if text.isascii():
        return text
    try:
        return text.encode("latin-1").decode()
    except UnicodeError:
        return text


def percent_encoded(path: str) -> str:
    """Return a path as callers send it whose client encodes special characters.

    Source: RFC 3986, section 2.1.
    """
    return quote(path, safe=_PATH_CHARACTERS)
