"""Protocols for requests to upstreams and commands to the control log."""

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    # Creating these classes takes time at each start, also of an instance that uses
    # none of them.
    from collections.abc import Awaitable

    from cuminbend.messages import Announcement, ShardReply, ShardRequest


class ShardDispatcher(Protocol):
    """Sends a shard request to the instance that owns the upstream."""

    async def dispatch(self, request: "ShardRequest") -> "ShardReply":
        """Run the request and return the verified reply.

        Cancelling the call cancels the request at the owner and at the upstream.

        Raises:
            RequestFailedError: If the request failed, with the run state; see the
                subclasses.
        """


class ExchangeObserver(Protocol):
    """Receives the events of one exchange that the transport has detected for certain.

    The transport may call the methods after the exchange ended, for instance when it
    has sent a cancellation and later reads that the upstream closed the connection. A
    transport that is not certain of an event does not call the method for the event;
    the gate then assumes that the connection is still open or the request still runs.
    """

    def connection_closed(self) -> None:
        """Record that the upstream no longer holds the connection open.

        Either the upstream closed its end, or the connection was never established.
        """

    def work_ended(self) -> None:
        """Record that the upstream never ran the request or has stopped running it.

        Either the upstream confirmed the cancellation, or no byte of the request was
        written to a connection.
        """


class UpstreamTransport(Protocol):
    """Connections to upstreams, used only by the owner of each upstream.

    An adapter opens at most as many connections as the gate allows. A connection on
    which a request failed, timed out or was cancelled is closed.
    """

    async def exchange(
        self,
        upstream: "Announcement",
        request: "ShardRequest",
        timeout_ms: float,
        observer: ExchangeObserver,
    ) -> "ShardReply":
        """Send a request on a connection that is not in use and return the reply.

        A connection is opened only if no idle one is left. A cancelled call returns at
        once. The cancellation is sent to the upstream in the background, and its
        outcome is reported to ``observer``.

        The reply has been checked against the request id. Its snapshot and incarnation
        are returned unchecked, as the upstream sent them.

        Raises:
            UpstreamError: If the exchange failed, with its kind and run state.
        """

    def open_connection_count(self, upstream: str) -> int:
        """Return the number of connections open or being opened at this end.

        Idle connections and connections in use are both counted.
        """

    async def close(self, upstream: str) -> None:
        """Close all connections to an upstream."""


class ControlPort(Protocol):
    """Commits commands through the control log, whichever instance leads it."""

    def propose(self, command: Any, timeout_ms: float) -> "Awaitable[Any]":
        """Commit a command and return the result of the state machine.

        Commands carry their own id, so proposing a command again after its answer was
        lost returns the first result.

        Raises:
            NoQuorumError: If it is not known whether the command was committed.
        """
