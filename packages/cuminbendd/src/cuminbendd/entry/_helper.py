"""Queries shards on behalf of other entry instances."""

import asyncio
import logging

from cuminbend.forwarding import HedgeDelay, ShardPart, merge_greatest_records

from cuminbendd.channel import parse_address
from cuminbendd.entry._forwarding import ForwardingContext, PreparedRequest
from cuminbendd.entry._peers import (
    Accepted,
    Cancel,
    Delegate,
    Merged,
    PeerConnection,
    PeerMessage,
)
from cuminbendd.entry._shards import ShardFanOut

logger = logging.getLogger(__name__)

# No shard of a task gets a second attempt within this time after the task was read. The
# instance that sent the task may cancel it within that time, and then sends one attempt
# to each shard itself.
_FIRST_ATTEMPT_ONLY_MS = 10.0


class Helper:
    """Runs tasks of other entry instances.

    A task starts one iteration of the event loop after it was read. An instance that
    was stalled reads old tasks together with their cancellation, or with the end of
    their connection, and must not start these tasks.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self._context = context
        self._tasks: dict[PeerConnection, dict[int, _HelperTask]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen for other entry instances.

        Raises:
            OSError: If the address is in use.
        """
        host, port = parse_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PeerConnection(self), host, port
        )

    @property
    def port(self) -> int:
        """Port that the helper listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def open_task_count(self) -> int:
        """Number of tasks that are not finished."""
        return sum(len(tasks) for tasks in self._tasks.values())

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._tasks):
            connection.close()

    def on_message(self, connection: PeerConnection, message: PeerMessage) -> None:
        """Handle a task or a cancellation."""
        tasks = self._tasks.setdefault(connection, {})
        if isinstance(message, Delegate):
            task = _HelperTask(self._context, connection, message, tasks)
            tasks[message.task_id] = task
            asyncio.get_running_loop().call_soon(task.start)
        elif isinstance(message, Cancel):
            cancelled = tasks.pop(message.task_id, None)
            if cancelled is not None:
                cancelled.cancel()

    def on_closed(self, connection: PeerConnection) -> None:
        """Cancel the tasks of an instance whose connection has ended."""
        for task in tuple(self._tasks.pop(connection, {}).values()):
            task.cancel()


class _HelperTask:
    """One group of shards that this instance queries for another one."""

    def __init__(
        self,
        context: ForwardingContext,
        connection: PeerConnection,
        delegate: Delegate,
        tasks: "dict[int, _HelperTask]",
    ) -> None:
        self._context = context
        self._connection = connection
        self._delegate = delegate
        self._tasks = tasks
        self._unreported_parts: dict[str, ShardPart] = {}
        self._is_ended = False
        self._reports_each_part = False
        self._timers: list[asyncio.TimerHandle] = []
        now_ms = context.clock.monotonic_ms()
        self._prepared = PreparedRequest(
            head=delegate.head,
            body=delegate.body,
            request_id=delegate.request_id,
            fingerprint=delegate.fingerprint,
            header_names=context.header_names,
            deadline_ms=now_ms + delegate.deadline_in_ms,
        )
        self._fan_out = ShardFanOut(
            context=context,
            prepared=self._prepared,
            hedging=context.hedge_delay_of(delegate.route_key)
            or HedgeDelay(objective_ms=max(1.0, delegate.answer_in_ms)),
            max_attempts=delegate.max_attempts,
            retry_until_ms=now_ms + delegate.answer_in_ms,
            on_part=self._on_part,
            on_progress=self._report_if_due,
            second_attempt_from_ms=now_ms + _FIRST_ATTEMPT_ONLY_MS,
        )

    def start(self) -> None:
        """Accept the task and query its shards."""
        if self._is_ended:
            return
        delegate = self._delegate
        self._connection.send(Accepted(delegate.task_id))
        if self._context.is_quarantined(self._prepared):
            self._finish()
            return
        loop = asyncio.get_running_loop()
        for delay_ms, action in (
            (delegate.answer_in_ms, self._on_answer_due),
            (delegate.deadline_in_ms, self._finish),
        ):
            self._timers.append(loop.call_later(max(0.0, delay_ms) / 1000, action))
        self._fan_out.start(delegate.shards)
        self._report_if_due()

    def cancel(self) -> None:
        """End the task without a report, and abandon its attempts later."""
        self._end_task()
        loop = asyncio.get_running_loop()
        delay_s = self._context.settings.abandon_after_ms / 1000
        loop.call_later(delay_s, self._fan_out.abandon_attempts)

    def _end_task(self) -> None:
        self._is_ended = True
        missing = self._fan_out.missing_shards()
        if missing:
            logger.info(
                "event=task_ended request=%s route=%s shards=%d missing=%s hedges=%d",
                self._delegate.request_id.decode("latin-1"),
                self._delegate.route,
                len(self._delegate.shards),
                ",".join(missing),
                self._fan_out.hedge_count,
            )
        self._fan_out.stop_sending()
        for timer in self._timers:
            timer.cancel()
        self._tasks.pop(self._delegate.task_id, None)

    def _on_part(self, shard: str, part: ShardPart) -> bool:
        self._unreported_parts[shard] = part
        return True

    def _report_if_due(self) -> None:
        if self._is_ended:
            return
        if not self._fan_out.pending_count:
            self._finish()
        elif self._reports_each_part and self._unreported_parts:
            self._send_report(is_final=False)

    def _on_answer_due(self) -> None:
        """Report the parts so far; later parts are reported one by one."""
        self._reports_each_part = True
        self._fan_out.allows_retries = False
        self._send_report(is_final=False)

    def _finish(self) -> None:
        if not self._is_ended:
            self._send_report(is_final=True)
            self._end_task()

    def _send_report(self, *, is_final: bool) -> None:
        delegate = self._delegate
        parts, self._unreported_parts = self._unreported_parts, {}
        positions = {shard: index for index, shard in enumerate(delegate.shards)}
        self._connection.send(
            Merged(
                task_id=delegate.task_id,
                stamps={positions[shard]: part.stamp for shard, part in parts.items()},
                records=merge_greatest_records(
                    [part.body for part in parts.values()], delegate.top_k
                ),
                is_final=is_final,
            )
        )
