"""Comparison of the hosts of requests with those of routes."""

# Port of the ``http`` scheme, in which callers are served.
_DEFAULT_PORT = "80"


def canonical_host(host: str) -> str:
    """Return a host in lower case and without the default port.

    Values of a ``Host`` header that differ only in these name the same host. Any other
    port is part of the host.

    Source: RFC 9110, sections 4.2.3 and 7.2.
    """
    host = host.lower()
    name, separator, port = host.rpartition(":")
    return name if separator and port in ("", _DEFAULT_PORT) else host
