"""Shard requests between instances: one batched stream for each pair.

While a batch is being written, further requests collect; the next write takes them
all. Under load, batches grow and the cost of a message is shared by many requests.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import grpc
import grpc.aio
from anyio.abc import TaskGroup
from cuminbend import exceptions
from cuminbend.exceptions import (
    PeerUnreachableError,
    RequestFailedError,
    RunState,
    SuspectError,
    UnavailableError,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import ShardFailure, ShardReply, ShardRequest
from cuminbend.sessions import SessionView
from cuminbend.upstreams import GateTable

from cuminbendd.peers._client import PeerClients, convert_call_cancellation
from cuminbendd.peers._codec import PROTOCOL_VERSION, from_wire, to_wire
from cuminbendd.proto import cuminbend_v1_pb2 as pb
from cuminbendd.proto import cuminbend_v1_pb2_grpc as pb_grpc

logger = logging.getLogger(__name__)

EOF: Any = vars(grpc.aio)["EOF"]

HEARTBEAT_S = 0.25
# Two missed heartbeats mean that the stream has gone silent.
SILENCE_S = 2.5 * HEARTBEAT_S
RECONNECT_PAUSE_S = 0.1
MAX_BATCH = 256


@dataclass
class _Pending:
    request: ShardRequest
    written: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: ShardReply | None = None
    error: RequestFailedError | None = None

    def fail(self, message: str) -> None:
        """End the request because the stream broke."""
        state = RunState.UNKNOWN if self.written else RunState.NOT_RUN
        self.error = UnavailableError(message, run_state=state, retry_after_ms=100)
        self.done.set()


class _PeerStream:
    """The outgoing stream to one instance, kept open by one task."""

    def __init__(self, *, instance: str, own_name: str, peers: PeerClients) -> None:
        self._instance = instance
        self._own_name = own_name
        self._peers = peers
        self._pending: dict[str, _Pending] = {}
        self._outbox: list[_Pending] = []
        self._cancelled: list[str] = []
        self._wakeup = anyio.Event()
        self._connected = anyio.Event()
        self._failed = False
        self._silent = False
        self._heartbeats = 0

    async def request(self, request: ShardRequest) -> ShardReply:
        """Send one request and wait for its reply.

        While the peer is known to be unreachable, requests fail at once as not run.
        """
        if self._failed:
            raise UnavailableError(
                f"instance {self._instance} is not reachable; another replica may "
                "answer",
                retry_after_ms=round(RECONNECT_PAUSE_S * 1000),
            )
        pending = _Pending(request)
        self._pending[request.request_id] = pending
        self._outbox.append(pending)
        self._wakeup.set()
        try:
            with anyio.move_on_after(request.budget_ms / 1000):
                await pending.done.wait()
        finally:
            if self._pending.pop(request.request_id, None) is not None:
                self._forget(pending)
        if pending.reply is not None:
            return pending.reply
        if pending.error is None:
            state = RunState.UNKNOWN if pending.written else RunState.NOT_RUN
            raise UpstreamError(
                f"no reply from {request.upstream} through {self._instance} within "
                f"{request.budget_ms:.0f} ms; a longer deadline may help",
                kind=UpstreamErrorKind.TIMEOUT,
                run_state=state,
            )
        raise pending.error

    def _forget(self, pending: _Pending) -> None:
        if pending.done.is_set():
            return
        if pending.written:
            self._cancelled.append(pending.request.request_id)
            self._wakeup.set()
        else:
            self._outbox = [item for item in self._outbox if item is not pending]

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            try:
                channel = self._peers.channel(self._instance)
            except PeerUnreachableError:
                pass
            else:
                await self._run_stream(channel)
            if not self._failed:
                logger.warning("event=relay_stream_down peer=%s", self._instance)
            self._failed = True
            self._fail_all()
            await anyio.sleep(RECONNECT_PAUSE_S)

    def _fail_all(self) -> None:
        message = (
            f"the connection to instance {self._instance} broke; another replica may "
            "answer"
        )
        self._outbox.clear()
        self._cancelled.clear()
        for pending in list(self._pending.values()):
            pending.fail(message)
        self._pending.clear()

    async def _run_stream(self, channel: grpc.aio.Channel) -> None:
        call = pb_grpc.RelayStub(channel).Exchange()
        self._silent = False
        self._connected = anyio.Event()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._until_broken, self._read, call, group)
                group.start_soon(self._until_broken, self._write, call, group)
        finally:
            call.cancel()
        if self._silent:
            logger.warning("event=relay_stream_silent peer=%s", self._instance)
            await self._peers.replace_channel(self._instance, channel)

    async def _until_broken(
        self, step: Callable[[Any], Awaitable[None]], call: Any, group: TaskGroup
    ) -> None:
        try:
            async with convert_call_cancellation(self._instance):
                await step(call)
        except TimeoutError:
            self._silent = True
        except (
            grpc.aio.AioRpcError,
            grpc.aio.UsageError,
            # A write on a call that the peer has ended in the meantime.
            asyncio.InvalidStateError,
            PeerUnreachableError,
        ) as error:
            logger.debug(
                "event=relay_stream_broken peer=%s error=%s", self._instance, error
            )
        group.cancel_scope.cancel()

    async def _write(self, call: Any) -> None:
        # Requests are handed over only once the peer has answered a heartbeat. Until
        # then they are provably unsent.
        await self._write_batch(call, [], [])
        with anyio.fail_after(SILENCE_S):
            await self._connected.wait()
        while True:
            with anyio.move_on_after(HEARTBEAT_S):
                await self._wakeup.wait()
            self._wakeup = anyio.Event()
            batch, self._outbox = self._outbox[:MAX_BATCH], self._outbox[MAX_BATCH:]
            cancelled, self._cancelled = self._cancelled, []
            if self._outbox:
                self._wakeup.set()
            await self._write_batch(call, batch, cancelled)

    async def _write_batch(
        self, call: Any, batch: list[_Pending], cancelled: list[str]
    ) -> None:
        self._heartbeats += 1
        for pending in batch:
            pending.written = True
        message = pb.RelayRequest(
            protocol_version=PROTOCOL_VERSION,
            instance=self._own_name,
            requests=[to_wire(pending.request) for pending in batch],
            cancelled=cancelled,
            heartbeat=self._heartbeats,
        )
        with anyio.fail_after(SILENCE_S):
            await call.write(message)

    async def _read(self, call: Any) -> None:
        while True:
            with anyio.fail_after(SILENCE_S):
                message = await call.read()
            if message is EOF:
                return
            self._failed = False
            self._connected.set()
            for reply in message.replies:
                self._finish(reply.request_id, reply=from_wire(ShardReply, reply))
            for failure in message.failures:
                error = to_error(from_wire(ShardFailure, failure))
                self._finish(failure.request_id, error=error)

    def _finish(
        self,
        request_id: str,
        reply: ShardReply | None = None,
        error: RequestFailedError | None = None,
    ) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        pending.reply = reply
        pending.error = error
        pending.done.set()

    def dump(self) -> dict[str, Any]:
        """Return what is known of the peer."""
        return {"reachable": not self._failed, "in_flight": len(self._pending)}


class RelayDispatcher:
    """Implements :class:`cuminbend.ports.ShardDispatcher`.

    Requests for upstreams owned here go straight to their gate.
    """

    def __init__(
        self,
        *,
        instance: str,
        view: SessionView,
        gates: GateTable,
        peers: PeerClients,
        group: TaskGroup,
    ) -> None:
        self._instance = instance
        self._view = view
        self._gates = gates
        self._peers = peers
        self._group = group
        self._streams: dict[str, _PeerStream] = {}

    async def dispatch(self, request: ShardRequest) -> ShardReply:
        """Run a request at the owner of its upstream; see ShardDispatcher."""
        record = self._view.upstreams.get(request.upstream)
        owner = record.owner if record is not None else None
        if owner is None:
            raise UnavailableError(
                f"upstream {request.upstream} has no owner at the moment; try again",
                retry_after_ms=500,
            )
        if owner == self._instance:
            return await self._gates.run(request)
        return await self._stream(owner).request(request)

    def _stream(self, owner: str) -> _PeerStream:
        if owner not in self._streams:
            stream = _PeerStream(
                instance=owner, own_name=self._instance, peers=self._peers
            )
            self._streams[owner] = stream
            self._group.start_soon(stream.run, name=f"relay to {owner}")
        return self._streams[owner]

    def dump(self) -> dict[str, Any]:
        """Return the state of each stream."""
        return {name: stream.dump() for name, stream in self._streams.items()}


class RelayService(pb_grpc.RelayServicer):
    """Runs shard requests of other instances at the local gates."""

    def __init__(self, *, gates: GateTable) -> None:
        self._gates = gates

    async def Exchange(  # noqa: N802
        self, request_iterator: AsyncIterator[Any], context: Any
    ) -> None:
        """Serve one stream."""
        session = _RelaySession(gates=self._gates, context=context)
        await session.run(request_iterator)


class _RelaySession:
    def __init__(self, *, gates: GateTable, context: Any) -> None:
        self._gates = gates
        self._context = context
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._replies: list[pb.ShardReply] = []
        self._failures: list[pb.ShardFailure] = []
        self._wakeup = anyio.Event()
        self._heartbeat = 0

    async def run(self, requests: AsyncIterator[Any]) -> None:
        """Read batches until the stream ends; then cancel what is running."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._write)
            async for batch in requests:
                for message in batch.requests:
                    request = from_wire(ShardRequest, message)
                    group.start_soon(self._serve, request)
                for request_id in batch.cancelled:
                    scope = self._scopes.get(request_id)
                    if scope is not None:
                        scope.cancel()
                self._heartbeat = batch.heartbeat
                self._wakeup.set()
            group.cancel_scope.cancel()

    async def _serve(self, request: ShardRequest) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[request.request_id] = scope
            try:
                # The list is looked up after the wait, because the writer replaces it.
                reply = await self._gates.run(request)
                self._replies.append(to_wire(reply))
            except RequestFailedError as error:
                failure = to_failure(request.request_id, error)
                self._failures.append(to_wire(failure))
            finally:
                del self._scopes[request.request_id]
            self._wakeup.set()

    async def _write(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup = anyio.Event()
            replies, self._replies = self._replies, []
            failures, self._failures = self._failures, []
            await self._context.write(
                pb.RelayReply(
                    replies=replies, failures=failures, heartbeat=self._heartbeat
                )
            )


def to_failure(request_id: str, error: RequestFailedError) -> ShardFailure:
    """Return the message for an error that ends a shard request."""
    kind = error.kind.value if isinstance(error, UpstreamError) else ""
    details: tuple[str, ...] = ()
    if isinstance(error, SuspectError):
        details = (error.fingerprint, error.first_upstream)
    return ShardFailure(
        request_id=request_id,
        error=type(error).__name__,
        message=str(error),
        run_state=error.run_state,
        kind=kind,
        retry_after_ms=error.retry_after_ms,
        details=details,
    )


def to_error(failure: ShardFailure) -> RequestFailedError:
    """Return the error for a message made by :func:`to_failure`."""
    if failure.error == SuspectError.__name__ and len(failure.details) == 2:
        fingerprint, first_upstream = failure.details
        return SuspectError(fingerprint, first_upstream=first_upstream)
    if failure.kind:
        return UpstreamError(
            failure.message,
            kind=UpstreamErrorKind(failure.kind),
            run_state=failure.run_state,
            retry_after_ms=failure.retry_after_ms,
        )
    kind = getattr(exceptions, failure.error, RequestFailedError)
    if not issubclass(kind, RequestFailedError) or kind is UpstreamError:
        kind = RequestFailedError
    return kind(
        failure.message,
        run_state=failure.run_state,
        retry_after_ms=failure.retry_after_ms,
    )
