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


class ExchangeObserver(Protocol):
    """Learns from the transport what is certain about one exchange.

    The calls may come after the exchange ended, for instance when the transport has
    sent a cancellation and later reads that the upstream closed the connection. A
    transport that cannot tell makes no call; the gate then assumes the worst.
    """

    def connection_closed(self) -> None:
        """Note that the upstream no longer holds the connection open.

        Either its end was seen to close, or the connection was never established.
        """

    def work_ended(self) -> None:
        """Note that the upstream does not run the request, or not any more.

        Either it confirmed the cancellation, or no byte was handed to a connection.
        """


class UpstreamTransport(Protocol):
    """Connections to one upstream, used by its owner only.

    An adapter opens at most as many connections as the gate lets it use; a
    connection on which a request failed, timed out or was cancelled is closed.
    """

    async def exchange(
        self,
        upstream: Announcement,
        request: ShardRequest,
        timeout_ms: float,
        observer: ExchangeObserver,
    ) -> ShardReply:
        """Send a request on a connection that is not in use and return the reply.

        A connection is opened only if no idle one is left. When the call is cancelled
        it returns at once; telling the upstream goes on in the background, and its
        outcome is reported to ``observer``.

        The reply has been checked against the request id; its snapshot and
        incarnation are passed on as the upstream stated them.

        Raises:
            UpstreamError: With its kind and run state.
        """

    def open_connections(self, upstream: str) -> int:
        """Return the connections open or being opened at this end, idle or in use."""

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
