"""Protocols for messages between instances."""

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    # Creating these classes takes time at each start, also of an instance that uses
    # none of them.
    from cuminbend.messages import PollReply, PollRequest


class ConsensusTransport(Protocol):
    """Sends messages of the replicated log to another voter.

    Requests and replies are the data classes of :mod:`cuminbend.consensus`.
    """

    async def call(self, instance: str, request: Any, timeout_ms: float) -> Any:
        """Send a request and return the reply.

        Raises:
            PeerUnreachableError: If no reply came within ``timeout_ms``.
        """


class PollTransport(Protocol):
    """Sends polls to a voter, which forwards them if it is not the leader."""

    async def poll(
        self, instance: str, request: "PollRequest", timeout_ms: float
    ) -> "PollReply":
        """Send a poll and return the leader's reply.

        Raises:
            PeerUnreachableError: If no reply came within ``timeout_ms``.
            NotLeaderError: If the voter is not the leader and cannot reach the leader.
        """
