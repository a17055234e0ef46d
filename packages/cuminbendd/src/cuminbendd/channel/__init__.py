"""Messages between instances over TCP: calls, and long-lived streams."""

from cuminbendd.channel._client import ChannelClient, ChannelPool
from cuminbendd.channel._frames import (
    Codec,
    FrameStream,
    format_address,
    open_stream,
    parse_address,
)
from cuminbendd.channel._server import ChannelServer

__all__ = [
    "ChannelClient",
    "ChannelPool",
    "ChannelServer",
    "Codec",
    "FrameStream",
    "format_address",
    "open_stream",
    "parse_address",
]
