"""The feed: updates from control instances to entry instances and to each other.

Each update contains only what changed since the previous one.
"""

from cuminbendd.feed._client import FeedClient, FeedSink
from cuminbendd.feed._messages import (
    FEED_CODEC,
    FEED_MESSAGES,
    ControlInfo,
    EntryInfo,
    Hello,
    Status,
    Update,
)
from cuminbendd.feed._server import FeedServer, FeedSource

__all__ = [
    "FEED_CODEC",
    "FEED_MESSAGES",
    "ControlInfo",
    "EntryInfo",
    "FeedClient",
    "FeedServer",
    "FeedSink",
    "FeedSource",
    "Hello",
    "Status",
    "Update",
]
