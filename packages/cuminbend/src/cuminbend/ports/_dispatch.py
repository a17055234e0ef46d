"""Work sent to upstreams, and commands sent to the control log."""

from typing import TYPE_CHECKING, Any, Protocol

from cuminbend.messages import Announcement, ShardReply, ShardRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable


class ShardDispatcher(Protocol):
    """Brings a shard request to the instance that owns the upstream."""

    async def dispatch(self, request: ShardRequest) -> ShardReply:
        """Run the request and return the verified reply.

        Cancelling the call cancels the work at the owner and at the upstream.

        Raises:
            RequestFailedError: With the run state; see its subclasses.
        """


class UpstreamTransport(Protocol):
    """Connections to one upstream, used by its owner only.

    An adapter opens at most as many connections as the gate lets it use; a
    connection on which a request failed, timed out or was cancelled is closed.
    """

    async def exchange(
        self, upstream: Announcement, request: ShardRequest, timeout_ms: float
    ) -> ShardReply:
        """Send a request on a connection that is not in use and return the reply.

        The reply has been checked against the request id; its snapshot and
        incarnation are passed on as the upstream stated them.

        Raises:
            UpstreamError: With its kind and run state.
        """

    def open_connections(self, upstream: str) -> int:
        """Return the connections to an upstream that are open at this end."""

    async def close(self, upstream: str) -> None:
        """Close all connections to an upstream."""


class ControlPort(Protocol):
    """Commits commands through the control log, wherever its leader is."""

    def propose(self, command: Any, timeout_ms: float) -> "Awaitable[Any]":
        """Commit a command and return what the state machine answered.

        Commands carry their own id, so sending one again after a lost answer returns
        the first result.

        Raises:
            NoQuorumError: If it is not known whether the command was committed.
        """
