"""gRPC services of an instance."""

import logging
from typing import Any

import grpc
import grpc.aio
from cuminbend import consensus
from cuminbend.consensus import Replica
from cuminbend.exceptions import (
    DiskError,
    NoQuorumError,
    NotLeaderError,
    PeerUnreachableError,
)
from cuminbend.messages import PollRequest
from cuminbend.sessions import SessionCoordinator

from cuminbendd.peers._client import CHANNEL_OPTIONS, PeerClients
from cuminbendd.peers._codec import from_wire, to_wire
from cuminbendd.proto import cuminbend_v1_pb2 as pb
from cuminbendd.proto import cuminbend_v1_pb2_grpc as pb_grpc

logger = logging.getLogger(__name__)

# Added to the wait that a poll asks for, which gives the timeout of a forwarded poll.
FORWARD_MARGIN_MS = 500.0


class ConsensusService(pb_grpc.ConsensusServicer):
    """Passes messages of the control log to the local replica."""

    def __init__(self, *, replica: Replica) -> None:
        self._replica = replica

    async def _handle_message(
        self, data_class: type, request: Any, context: Any
    ) -> Any:
        try:
            return to_wire(await self._replica.handle(from_wire(data_class, request)))
        except DiskError as error:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))

    async def RequestVote(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Answer a request for a vote."""
        return await self._handle_message(consensus.VoteRequest, request, context)

    async def AppendEntries(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Append entries of the leader."""
        return await self._handle_message(consensus.AppendRequest, request, context)

    async def InstallSnapshot(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Replace the local state by the leader's snapshot."""
        return await self._handle_message(consensus.SnapshotRequest, request, context)

    async def TimeoutNow(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Start an election at once, for a transfer of leadership."""
        return await self._handle_message(consensus.TimeoutNowRequest, request, context)

    async def Identify(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the id of this voter's disk and whether the log on it is empty."""
        return await self._handle_message(consensus.IdentifyRequest, request, context)


class ControlService(pb_grpc.ControlServicer):
    """Serves polls and commands; a follower forwards them once to the leader."""

    def __init__(
        self, *, replica: Replica, coordinator: SessionCoordinator, peers: PeerClients
    ) -> None:
        self._replica = replica
        self._coordinator = coordinator
        self._peers = peers

    async def Poll(self, request: pb.PollRequest, context: Any) -> Any:  # noqa: N802
        """Answer a poll, or forward it to the leader."""
        try:
            if self._replica.is_leader or request.forwarded:
                return to_wire(
                    await self._coordinator.poll(from_wire(PollRequest, request))
                )
            leader = self._require_leader()
            request.forwarded = True
            timeout_ms = request.wait_ms + FORWARD_MARGIN_MS
            return to_wire(await self._peers.send_poll(leader, request, timeout_ms))
        except (NotLeaderError, PeerUnreachableError) as error:
            await self._abort_not_leader(context, error)

    async def Propose(self, request: pb.ProposeRequest, context: Any) -> Any:  # noqa: N802
        """Commit a command, or forward it to the leader."""
        try:
            if self._replica.is_leader or request.forwarded:
                result = await self._replica.propose(
                    request.command, request.timeout_ms
                )
            else:
                result = await self._peers.propose(
                    self._require_leader(),
                    request.command,
                    request.timeout_ms,
                    forwarded=True,
                )
            return pb.ProposeReply(result=result)
        except NotLeaderError as error:
            await self._abort_not_leader(context, error)
        except (NoQuorumError, PeerUnreachableError, DiskError) as error:
            await context.abort(grpc.StatusCode.UNAVAILABLE, str(error))

    def _require_leader(self) -> str:
        """Return the leader.

        Raises:
            NotLeaderError: If this instance knows of no leader.
        """
        leader = self._replica.leader
        if leader is None:
            raise NotLeaderError
        return leader

    async def _abort_not_leader(self, context: Any, error: Exception) -> None:
        leader = error.leader if isinstance(error, NotLeaderError) else None
        await context.abort(grpc.StatusCode.FAILED_PRECONDITION, leader or "")


async def start_server(address: str, services: list[Any]) -> grpc.aio.Server:
    """Start a gRPC server with the given services on ``address``.

    Raises:
        RuntimeError: If the address cannot be bound.
    """
    server = grpc.aio.server(options=[*CHANNEL_OPTIONS, ("grpc.so_reuseport", 0)])
    for service in services:
        _register_service(service, server)
    server.add_insecure_port(address)
    await server.start()
    return server


def _register_service(service: Any, server: grpc.aio.Server) -> None:
    if isinstance(service, pb_grpc.ConsensusServicer):
        pb_grpc.add_ConsensusServicer_to_server(service, server)
    elif isinstance(service, pb_grpc.ControlServicer):
        pb_grpc.add_ControlServicer_to_server(service, server)
    else:
        pb_grpc.add_RelayServicer_to_server(service, server)
