"""What a format towards upstreams has to provide."""

from typing import Protocol

import httpcore
from cuminbend.messages import Announcement, ShardReply, ShardRequest


class UpstreamFormat(Protocol):
    """Turns requests, replies and announcements into HTTP and back."""

    def request(
        self, upstream: Announcement, request: ShardRequest, timeout_ms: float
    ) -> httpcore.Request:
        """Return the HTTP request for a shard request."""

    def reply(
        self, request: ShardRequest, response: httpcore.Response, body: bytes
    ) -> ShardReply:
        """Return the verified reply.

        Raises:
            UpstreamError: If the upstream refused or failed, or if the reply is
                malformed or belongs to another request.
        """

    def announcement(self, body: bytes) -> Announcement:
        """Return the announcement that an upstream sent.

        Raises:
            InvalidRequestError: If it is malformed.
        """
