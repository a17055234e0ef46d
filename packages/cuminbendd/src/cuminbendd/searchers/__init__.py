"""Formats towards upstreams: requests, replies and announcements.

To add a format, write a module for it and list its class in ``UPSTREAM_FORMATS``.
"""

from cuminbendd.searchers._base import UpstreamFormat
from cuminbendd.searchers._connections import HttpUpstreamTransport
from cuminbendd.searchers._http_json import HttpJsonFormat

UPSTREAM_FORMATS: dict[str, type[UpstreamFormat]] = {"http-json": HttpJsonFormat}

__all__ = [
    "UPSTREAM_FORMATS",
    "HttpJsonFormat",
    "HttpUpstreamTransport",
    "UpstreamFormat",
]
