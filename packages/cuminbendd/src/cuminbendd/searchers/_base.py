"""The protocol that a format towards upstreams implements."""

from typing import Protocol

import httpcore
from cuminbend.messages import Announcement, ShardReply, ShardRequest


class UpstreamFormat(Protocol):
    """Turns requests, replies and announcements into HTTP and back."""

    def encode_request(
        self, upstream: Announcement, request: ShardRequest, timeout_ms: float
    ) -> httpcore.Request:
        """Return the HTTP request for a shard request."""

    def decode_reply(
        self, request: ShardRequest, response: httpcore.Response, body: bytes
    ) -> ShardReply:
        """Return the verified reply.

        Raises:
            UpstreamError: If the upstream refused or failed, or if the reply is
                malformed or belongs to another request.
        """

    def decode_announcement(self, body: bytes) -> Announcement:
        """Return the announcement that an upstream sent.

        Raises:
            InvalidRequestError: If the announcement is malformed.
        """
