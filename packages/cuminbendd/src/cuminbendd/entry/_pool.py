"""Connection pool of one upstream."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

from cuminbend.forwarding import Replica
from cuminbend.ports import Clock

from cuminbendd.entry._settings import EntrySettings
from cuminbendd.http1 import (
    AttemptObserver,
    FailureKind,
    ResponseHeaderNames,
    ResponseMemory,
    UpstreamConnection,
)

logger = logging.getLogger(__name__)

# Share of the keep-alive time of an upstream for which an idle connection is used. The
# rest is the margin before the upstream closes the connection itself.
_KEEP_ALIVE_SHARE = 0.6
# An upstream may close an idle connection while a request is on its way. Then it is
# unknown whether the request ran. A request that is not idempotent therefore only gets
# a connection that was used within this time.
_NON_IDEMPOTENT_MAX_IDLE_MS = 500.0
# The connections of a process that ends break within this time.
_END_CHECK_DELAY_S = 0.02
# A pool at its connection limit takes no more attempts when this many are waiting.
_MAX_WAITING_ATTEMPTS = 2


class PooledAttempt(AttemptObserver, Protocol):
    """An attempt that waits for a connection or for its response."""

    is_idempotent: bool
    connection: UpstreamConnection | None
    expires_ms: float

    def encode(self) -> bytes | None:
        """Return the bytes to send, or None if the attempt is to be dropped."""


class ConnectionPool:
    """Connections of this instance to one upstream.

    Args:
        replica: The upstream.
        response_memory: Bound on unfinished responses of all pools of the instance.
        limit: Number of connections that may be open at the same time.
        keeps_idle: Whether connections stay open between attempts.
        on_ended: Called when the upstream's process is found to have ended.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        settings: EntrySettings,
        clock: Clock,
        response_names: ResponseHeaderNames,
        response_memory: ResponseMemory,
        limit: int,
        keeps_idle: bool = True,
        on_ended: Callable[[Replica], None] = lambda replica: None,
    ) -> None:
        self.replica = replica
        self._on_ended = on_ended
        self._has_connected = False
        self.limit = limit
        self._keeps_idle = keeps_idle
        self._settings = settings
        self._clock = clock
        self._response_names = response_names
        self._response_memory = response_memory
        self._idle_connections: list[UpstreamConnection] = []
        self._open_connections: set[UpstreamConnection] = set()
        self._connecting_count = 0
        self._waiting_attempts: deque[PooledAttempt] = deque()
        self._is_closed = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._was_refused = False
        self._end_check: asyncio.Task[bool] | None = None

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open_connections) + self._connecting_count

    @property
    def has_capacity(self) -> bool:
        """Whether one more attempt gets a connection at once or soon."""
        return (
            bool(self._idle_connections)
            or self.size < self.limit
            or len(self._waiting_attempts) < _MAX_WAITING_ATTEMPTS
        )

    def submit(self, attempt: PooledAttempt) -> None:
        """Send the attempt on an idle connection, or queue it for the next one."""
        connection = self._pop_idle_connection(attempt.is_idempotent)
        if connection is None:
            self._waiting_attempts.append(attempt)
            self._connect_if_needed()
        elif not self._send_attempt(connection, attempt):
            self.on_idle(connection)

    def resize(self, limit: int, *, keeps_idle: bool) -> None:
        """Change the limit, and whether connections stay open between attempts."""
        self.limit = limit
        self._keeps_idle = keeps_idle
        if not keeps_idle:
            for connection in tuple(self._idle_connections):
                connection.close()

    def remove_waiting(self, attempt: PooledAttempt) -> bool:
        """Remove an attempt from the queue; return whether it was in the queue."""
        if attempt in self._waiting_attempts:
            self._waiting_attempts.remove(attempt)
            return True
        return False

    def warm_up(self) -> None:
        """Open a connection if there is none, so that a first request need not wait."""
        if (
            not self._is_closed
            and not self._open_connections
            and not self._connecting_count
        ):
            self._connect()

    def close_silent_connections(self, now_ms: float) -> None:
        """Close connections whose attempt has expired without a response."""
        for connection in tuple(self._open_connections):
            attempt = connection.observer
            if attempt is not None and attempt.expires_ms < now_ms:
                connection.close(FailureKind.SILENT)

    async def has_ended(self) -> bool:
        """Return whether the upstream has ended, asked after a connection broke.

        A connection also breaks when it alone is reset. Then others stay open, or a new
        one is accepted; the process that has ended refuses it.
        """
        return await self._begin_end_check()

    def _begin_end_check(self) -> "asyncio.Task[bool]":
        if self._end_check is None or self._end_check.done():
            self._end_check = asyncio.ensure_future(self._check_end())
        return self._end_check

    async def _check_end(self) -> bool:
        await asyncio.sleep(_END_CHECK_DELAY_S)
        if self._open_connections or self._is_closed:
            return False
        if not self._connecting_count:
            self._connect()
        if self._tasks:
            await asyncio.wait(self._tasks)
        return self._was_refused and not self._is_closed

    def close(self) -> None:
        """Close idle connections, and each connection in use after its response."""
        self._is_closed = True
        for task in tuple(self._tasks):
            task.cancel()
        for connection in tuple(self._idle_connections):
            connection.close()
        self._fail_waiting()

    def abort(self) -> None:
        """Close all connections at once."""
        self.close()
        for connection in tuple(self._open_connections):
            connection.close()

    def _pop_idle_connection(self, is_idempotent: bool) -> UpstreamConnection | None:
        now_ms = self._clock.monotonic_ms()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            limit_ms = self._idle_limit_ms(connection)
            if not is_idempotent:
                limit_ms = min(limit_ms, _NON_IDEMPOTENT_MAX_IDLE_MS)
            if now_ms - connection.idle_since_ms > limit_ms:
                connection.close()
            else:
                return connection
        return None

    def _idle_limit_ms(self, connection: UpstreamConnection) -> float:
        if connection.keep_alive_ms is None:
            return self._settings.idle_connection_ms
        return connection.keep_alive_ms * _KEEP_ALIVE_SHARE

    def _send_attempt(
        self, connection: UpstreamConnection, attempt: PooledAttempt
    ) -> bool:
        """Send the attempt; return False if it was dropped."""
        data = attempt.encode()
        if data is None:
            return False
        attempt.connection = connection
        connection.send(data, attempt)
        return True

    def _connect_if_needed(self) -> None:
        if (
            self._connecting_count < len(self._waiting_attempts)
            and self.size < self.limit
        ):
            self._connect()

    def _connect(self) -> None:
        self._connecting_count += 1
        task = asyncio.ensure_future(self._open_connection())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_connection(self) -> None:
        host, port = self.replica.address
        connection = UpstreamConnection(
            owner=self,
            header_names=self._response_names,
            memory=self._response_memory,
        )
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._settings.connect_timeout_ms / 1000):
                await loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError) as error:
            self._connecting_count -= 1
            self._was_refused = isinstance(error, ConnectionRefusedError)
            self._record_unreachable(error)
            # A process that has never accepted a connection may be about to listen.
            if self._was_refused and self._has_connected and not self._is_closed:
                self._on_ended(self.replica)
            return
        self._connecting_count -= 1
        self._was_refused = False
        self._has_connected = True
        if self._is_closed:
            connection.close()
            return
        self._open_connections.add(connection)
        self.on_idle(connection)

    def _record_unreachable(self, error: Exception) -> None:
        replica = self.replica
        replica.record_unanswered_attempt(now_ms=self._clock.monotonic_ms())
        logger.warning(
            "event=upstream_unreachable upstream=%s service=%s error='%s' "
            "waiting=%d backoff_ms=%.0f",
            replica.upstream,
            replica.service,
            type(error).__name__,
            len(self._waiting_attempts),
            replica.backoff_until_ms - self._clock.monotonic_ms(),
        )
        if not self._open_connections and not self._connecting_count:
            self._fail_waiting()

    def _fail_waiting(self) -> None:
        while self._waiting_attempts:
            self._waiting_attempts.popleft().on_failure(FailureKind.UNREACHABLE)

    # Called by connections

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Send the next waiting attempt on the connection, or keep it as idle."""
        connection.idle_since_ms = self._clock.monotonic_ms()
        if self._is_closed or len(self._open_connections) > self.limit:
            connection.close()
            return
        while self._waiting_attempts:
            if self._send_attempt(connection, self._waiting_attempts.popleft()):
                return
        if self._keeps_idle:
            self._idle_connections.append(connection)
        else:
            connection.close()

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove the connection, and open another one if attempts wait."""
        self._open_connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        if self._waiting_attempts and not self._is_closed:
            self._connect_if_needed()
        if self._is_unexpected_close(connection):
            self._begin_end_check()

    def _is_unexpected_close(self, connection: UpstreamConnection) -> bool:
        """Return whether the close shows that the process may have ended.

        An upstream closes a connection that has been idle for long.
        """
        if self._is_closed or self._open_connections:
            return False
        idle_ms = self._clock.monotonic_ms() - connection.idle_since_ms
        return connection.was_closed_by_peer and (
            connection.observer is not None or idle_ms < self._idle_limit_ms(connection)
        )
