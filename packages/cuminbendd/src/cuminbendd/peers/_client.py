"""gRPC channels to other instances and unary calls over them."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.lowlevel
import grpc
import grpc.aio
from cuminbend import consensus
from cuminbend.exceptions import NotLeaderError, PeerUnreachableError
from cuminbend.messages import PollReply, PollRequest

from cuminbendd.peers._codec import PROTOCOL_VERSION, from_wire, to_wire
from cuminbendd.proto import cuminbend_v1_pb2 as pb
from cuminbendd.proto import cuminbend_v1_pb2_grpc as pb_grpc

logger = logging.getLogger(__name__)

# A snapshot of the control log may pass the 4 MiB that gRPC allows by default.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_retries", 0),
]

_MIN_CALL_TIMEOUT_MS = 1.0

_CONSENSUS_METHODS = {
    consensus.VoteRequest: ("RequestVote", consensus.VoteReply),
    consensus.AppendRequest: ("AppendEntries", consensus.AppendReply),
    consensus.SnapshotRequest: ("InstallSnapshot", consensus.SnapshotReply),
    consensus.TimeoutNowRequest: ("TimeoutNow", consensus.TimeoutNowReply),
    consensus.IdentifyRequest: ("Identify", consensus.IdentifyReply),
}


@asynccontextmanager
async def convert_call_cancellation(instance: str) -> AsyncIterator[None]:
    """Convert the CancelledError of a closed gRPC call to PeerUnreachableError.

    gRPC raises a CancelledError of its own both when another task closes the channel
    and when this task is cancelled. A cancel scope of anyio does not recognise this
    error, so it would end the task group and with it the instance. If this task was
    cancelled, the cancellation is passed on.

    Raises:
        PeerUnreachableError: If the call was cancelled, but not this task.
    """
    try:
        yield
    except asyncio.CancelledError as error:
        await anyio.lowlevel.checkpoint_if_cancelled()
        raise PeerUnreachableError(instance, sent=True) from error


class PeerClients:
    """Channels by instance; implements the consensus and poll transports.

    A channel on which a call timed out is replaced, because its connection may never
    deliver data again although a new connection works.
    """

    def __init__(self, *, addresses: dict[str, str]) -> None:
        self._addresses = dict(addresses)
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._stubs: dict[tuple[str, type], Any] = {}

    def set_address(self, instance: str, address: str) -> None:
        """Record the peer address of an instance."""
        if self._addresses.get(instance) != address:
            self._addresses[instance] = address
            self._discard_stubs(instance)
            self._channels.pop(instance, None)

    def channel(self, instance: str) -> grpc.aio.Channel:
        """Return the channel to an instance, opened on first use.

        Raises:
            PeerUnreachableError: If the address of the instance is not known.
        """
        if instance not in self._addresses:
            raise PeerUnreachableError(instance, sent=False)
        if instance not in self._channels:
            self._channels[instance] = grpc.aio.insecure_channel(
                self._addresses[instance], options=CHANNEL_OPTIONS
            )
        return self._channels[instance]

    async def replace_channel(
        self, instance: str, old_channel: grpc.aio.Channel
    ) -> None:
        """Close a channel that delivers no data, unless it was replaced already.

        The next call to the instance opens a new channel.
        """
        if self._channels.get(instance) is not old_channel:
            return
        del self._channels[instance]
        self._discard_stubs(instance)
        with anyio.CancelScope(shield=True):
            await old_channel.close(grace=None)

    async def close(self) -> None:
        """Close all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        self._stubs.clear()
        for channel in channels:
            await channel.close(grace=None)

    async def call(self, instance: str, request: Any, timeout_ms: float) -> Any:
        """Send a message of the control log; see ConsensusTransport."""
        method, reply_class = _CONSENSUS_METHODS[type(request)]
        reply = await self.call_unary(
            instance, pb_grpc.ConsensusStub, method, to_wire(request), timeout_ms
        )
        return from_wire(reply_class, reply)

    async def poll(
        self, instance: str, request: PollRequest, timeout_ms: float
    ) -> PollReply:
        """Send a poll; see PollTransport."""
        return await self.send_poll(instance, to_wire(request), timeout_ms)

    async def send_poll(
        self, instance: str, message: pb.PollRequest, timeout_ms: float
    ) -> PollReply:
        """Send a poll that is already in wire form."""
        reply = await self.call_unary(
            instance, pb_grpc.ControlStub, "Poll", message, timeout_ms
        )
        return from_wire(PollReply, reply)

    async def propose(
        self, instance: str, command: bytes, timeout_ms: float, *, forwarded: bool
    ) -> bytes:
        """Send an encoded command to a voter and return the encoded result.

        Raises:
            NotLeaderError: If it is certain that the voter did not accept the command.
            PeerUnreachableError: If it is not known whether the command was committed.
        """
        message = pb.ProposeRequest(
            protocol_version=PROTOCOL_VERSION,
            command=command,
            timeout_ms=timeout_ms,
            forwarded=forwarded,
        )
        reply = await self.call_unary(
            instance, pb_grpc.ControlStub, "Propose", message, timeout_ms
        )
        return bytes(reply.result)

    async def call_unary(
        self, instance: str, stub: type, method: str, message: Any, timeout_ms: float
    ) -> Any:
        """Make one unary call.

        Raises:
            NotLeaderError: If the called instance answers that it is not the leader.
            PeerUnreachableError: If the address of the instance is not known, or if
                the call failed or was not answered within ``timeout_ms``.
        """
        channel = self.channel(instance)
        key = (instance, stub)
        if key not in self._stubs:
            self._stubs[key] = stub(channel)
        call = getattr(self._stubs[key], method)
        try:
            async with convert_call_cancellation(instance):
                return await call(
                    message, timeout=max(timeout_ms, _MIN_CALL_TIMEOUT_MS) / 1000
                )
        except grpc.aio.AioRpcError as error:
            code = error.code()
            if code == grpc.StatusCode.FAILED_PRECONDITION:
                raise NotLeaderError(error.details() or None) from error
            if code == grpc.StatusCode.DEADLINE_EXCEEDED:
                await self.replace_channel(instance, channel)
            raise PeerUnreachableError(instance, sent=True) from error
        except grpc.aio.UsageError as error:
            raise PeerUnreachableError(instance, sent=False) from error

    def _discard_stubs(self, instance: str) -> None:
        for key in [key for key in self._stubs if key[0] == instance]:
            del self._stubs[key]
