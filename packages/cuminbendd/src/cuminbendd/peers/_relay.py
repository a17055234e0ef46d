"""Shard requests between instances: one batched stream for each pair.

While a batch is being written, further requests are queued; the next write sends them
together. Under load, batches grow and the cost of a message is shared by many requests.
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

HEARTBEAT_INTERVAL_S = 0.25
# A stream counts as silent after two missed heartbeats.
SILENCE_TIMEOUT_S = 2.5 * HEARTBEAT_INTERVAL_S
RECONNECT_PAUSE_S = 0.1
MAX_BATCH_REQUESTS = 256
_STREAM_BROKEN_RETRY_AFTER_MS = 100
_NO_OWNER_RETRY_AFTER_MS = 500


@dataclass
class _PendingRequest:
    request: ShardRequest
    is_written: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: ShardReply | None = None
    error: RequestFailedError | None = None

    def fail(self, message: str) -> None:
        """End the request with an error because the stream broke."""
        run_state_if_lost = RunState.UNKNOWN if self.is_written else RunState.NOT_RUN
        self.error = UnavailableError(
            message,
            run_state=run_state_if_lost,
            retry_after_ms=_STREAM_BROKEN_RETRY_AFTER_MS,
        )
        self.done.set()


class _PeerStream:
    """The outgoing stream to one instance, kept open by one task."""

    def __init__(self, *, instance: str, own_name: str, peers: PeerClients) -> None:
        self._instance = instance
        self._own_name = own_name
        self._peers = peers
        self._pending: dict[str, _PendingRequest] = {}
        self._outbox: list[_PendingRequest] = []
        self._cancelled_request_ids: list[str] = []
        self._wakeup = anyio.Event()
        self._connected = anyio.Event()
        self._is_unreachable = False
        self._is_silent = False
        self._heartbeat_count = 0

    async def send_request(self, request: ShardRequest) -> ShardReply:
        """Send one request and wait for its reply.

        While the peer is known to be unreachable, requests fail at once as not run.

        Raises:
            UnavailableError: If the peer is unreachable or the stream broke.
            UpstreamError: If no reply came within the budget of the request.
            RequestFailedError: Any error that the peer reports for the request.
        """
        if self._is_unreachable:
            raise UnavailableError(
                f"instance {self._instance} is not reachable; another replica may "
                "answer",
                retry_after_ms=round(RECONNECT_PAUSE_S * 1000),
            )
        pending = _PendingRequest(request)
        self._pending[request.request_id] = pending
        self._outbox.append(pending)
        self._wakeup.set()
        try:
            with anyio.move_on_after(request.budget_ms / 1000):
                await pending.done.wait()
        finally:
            if self._pending.pop(request.request_id, None) is not None:
                self._cancel_request(pending)
        if pending.reply is not None:
            return pending.reply
        if pending.error is None:
            run_state_if_lost = (
                RunState.UNKNOWN if pending.is_written else RunState.NOT_RUN
            )
            raise UpstreamError(
                f"no reply from {request.upstream} through {self._instance} within "
                f"{request.budget_ms:.0f} ms; a longer deadline may help",
                kind=UpstreamErrorKind.TIMEOUT,
                run_state=run_state_if_lost,
            )
        raise pending.error

    def _cancel_request(self, pending: _PendingRequest) -> None:
        if pending.done.is_set():
            return
        if pending.is_written:
            self._cancelled_request_ids.append(pending.request.request_id)
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
            if not self._is_unreachable:
                logger.warning("event=relay_stream_down peer=%s", self._instance)
            self._is_unreachable = True
            self._fail_pending_requests()
            await anyio.sleep(RECONNECT_PAUSE_S)

    def _fail_pending_requests(self) -> None:
        message = (
            f"the connection to instance {self._instance} broke; another replica may "
            "answer"
        )
        self._outbox.clear()
        self._cancelled_request_ids.clear()
        for pending in list(self._pending.values()):
            pending.fail(message)
        self._pending.clear()

    async def _run_stream(self, channel: grpc.aio.Channel) -> None:
        call = pb_grpc.RelayStub(channel).Exchange()
        self._is_silent = False
        self._connected = anyio.Event()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._run_until_broken, self._read_replies, call, group
                )
                group.start_soon(
                    self._run_until_broken, self._write_batches, call, group
                )
        finally:
            call.cancel()
        if self._is_silent:
            logger.warning("event=relay_stream_silent peer=%s", self._instance)
            await self._peers.replace_channel(self._instance, channel)

    async def _run_until_broken(
        self, run_loop: Callable[[Any], Awaitable[None]], call: Any, group: TaskGroup
    ) -> None:
        try:
            async with convert_call_cancellation(self._instance):
                await run_loop(call)
        except TimeoutError:
            self._is_silent = True
        except (
            grpc.aio.AioRpcError,
            grpc.aio.UsageError,
            # Raised by a write on a call that the peer has already ended.
            asyncio.InvalidStateError,
            PeerUnreachableError,
        ) as error:
            logger.debug(
                "event=relay_stream_broken peer=%s error=%s", self._instance, error
            )
        group.cancel_scope.cancel()

    async def _write_batches(self, call: Any) -> None:
        # Requests are written only once the peer has answered a heartbeat. A request
        # that fails before that was certainly not sent.
        await self._write_batch(call, [], [])
        with anyio.fail_after(SILENCE_TIMEOUT_S):
            await self._connected.wait()
        while True:
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self._wakeup.wait()
            self._wakeup = anyio.Event()
            batch, self._outbox = (
                self._outbox[:MAX_BATCH_REQUESTS],
                self._outbox[MAX_BATCH_REQUESTS:],
            )
            cancelled, self._cancelled_request_ids = self._cancelled_request_ids, []
            if self._outbox:
                self._wakeup.set()
            await self._write_batch(call, batch, cancelled)

    async def _write_batch(
        self, call: Any, batch: list[_PendingRequest], cancelled: list[str]
    ) -> None:
        self._heartbeat_count += 1
        for pending in batch:
            pending.is_written = True
        message = pb.RelayRequest(
            protocol_version=PROTOCOL_VERSION,
            instance=self._own_name,
            requests=[to_wire(pending.request) for pending in batch],
            cancelled=cancelled,
            heartbeat=self._heartbeat_count,
        )
        with anyio.fail_after(SILENCE_TIMEOUT_S):
            await call.write(message)

    async def _read_replies(self, call: Any) -> None:
        while True:
            with anyio.fail_after(SILENCE_TIMEOUT_S):
                message = await call.read()
            if message is EOF:
                return
            self._is_unreachable = False
            self._connected.set()
            for reply in message.replies:
                self._finish_request(
                    reply.request_id, reply=from_wire(ShardReply, reply)
                )
            for failure in message.failures:
                error = to_error(from_wire(ShardFailure, failure))
                self._finish_request(failure.request_id, error=error)

    def _finish_request(
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
        """Return whether the peer is reachable and how many requests are open."""
        return {"reachable": not self._is_unreachable, "in_flight": len(self._pending)}


class RelayDispatcher:
    """Implements :class:`cuminbend.ports.ShardDispatcher`.

    Requests for upstreams that this instance owns are run directly at their gate.
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
                retry_after_ms=_NO_OWNER_RETRY_AFTER_MS,
            )
        if owner == self._instance:
            return await self._gates.run(request)
        return await self._stream_to(owner).send_request(request)

    def _stream_to(self, owner: str) -> _PeerStream:
        if owner not in self._streams:
            stream = _PeerStream(
                instance=owner, own_name=self._instance, peers=self._peers
            )
            self._streams[owner] = stream
            self._group.start_soon(stream.run, name=f"relay to {owner}")
        return self._streams[owner]

    def dump(self) -> dict[str, Any]:
        """Return the state of each stream."""
        return {instance: stream.dump() for instance, stream in self._streams.items()}


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
        self._cancel_scopes: dict[str, anyio.CancelScope] = {}
        self._replies: list[pb.ShardReply] = []
        self._failures: list[pb.ShardFailure] = []
        self._wakeup = anyio.Event()
        self._heartbeat = 0

    async def run(self, requests: AsyncIterator[Any]) -> None:
        """Read batches until the stream ends; then cancel the requests that run."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_replies)
            async for batch in requests:
                for message in batch.requests:
                    request = from_wire(ShardRequest, message)
                    group.start_soon(self._serve_request, request)
                for request_id in batch.cancelled:
                    scope = self._cancel_scopes.get(request_id)
                    if scope is not None:
                        scope.cancel()
                self._heartbeat = batch.heartbeat
                self._wakeup.set()
            group.cancel_scope.cancel()

    async def _serve_request(self, request: ShardRequest) -> None:
        with anyio.CancelScope() as scope:
            self._cancel_scopes[request.request_id] = scope
            try:
                # self._replies is read after the await: the writer replaces the list.
                reply = await self._gates.run(request)
                self._replies.append(to_wire(reply))
            except RequestFailedError as error:
                failure = to_failure(request.request_id, error)
                self._failures.append(to_wire(failure))
            finally:
                del self._cancel_scopes[request.request_id]
            self._wakeup.set()

    async def _write_replies(self) -> None:
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
    error_class = getattr(exceptions, failure.error, RequestFailedError)
    if not issubclass(error_class, RequestFailedError) or error_class is UpstreamError:
        error_class = RequestFailedError
    return error_class(
        failure.message,
        run_state=failure.run_state,
        retry_after_ms=failure.retry_after_ms,
    )
