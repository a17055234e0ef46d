"""The reading end of the feed."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from cuminbend.exceptions import ChannelError
from cuminbend.ports import Clock

from cuminbendd.channel import FrameStream, open_stream
from cuminbendd.feed._messages import CODEC, Hello, Status, Update
from cuminbendd.feed._server import HEARTBEAT_MS, SILENCE_MS

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_MS = 500.0
_RETRY_MS = 100.0
# Time for which an instance that is not in touch with the group is still read.
_STALE_MS = 1500.0


class FeedSink(Protocol):
    """Takes updates."""

    def hello(self) -> Hello:
        """Return what to tell the sender first."""

    def status(self) -> Status:
        """Return the heartbeat to send."""

    def on_update(self, source: str, update: Update) -> None:
        """Take news of the control instance with channel address ``source``."""

    def on_lost(self, source: str) -> None:
        """Note that the stream from ``source`` has ended."""


class FeedClient:
    """Reads the feed of one control instance at a time.

    Args:
        sink: Takes the news.
        clock: Source of time.
        candidates: Returns the addresses to try, the preferred one first; read again
            before each attempt.
        needs_current: Whether to leave a sender that lost touch with the group.
    """

    def __init__(
        self,
        *,
        sink: FeedSink,
        clock: Clock,
        candidates: Callable[[], list[str]],
        needs_current: bool = True,
    ) -> None:
        self._sink = sink
        self._clock = clock
        self._candidates = candidates
        self._needs_current = needs_current
        self._status_due = asyncio.Event()
        self.source: str | None = None

    def notify(self) -> None:
        """Send the status now, because it has changed."""
        self._status_due.set()

    async def run(self) -> None:
        """Read until cancelled, trying one address after the other."""
        while True:
            for address in self._candidates():
                await self._follow(address)
                await asyncio.sleep(_RETRY_MS / 1000)
            await asyncio.sleep(_RETRY_MS / 1000)

    async def _follow(self, address: str) -> None:
        try:
            stream = await open_stream(CODEC, address, timeout_ms=_CONNECT_TIMEOUT_MS)
        except ChannelError as error:
            logger.debug(
                "event=control_unreachable control=%s error='%s'", address, (error)
            )
            return
        cause = "closed"
        try:
            await stream.write(self._sink.hello())
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(address, stream))
                group.create_task(self._send_status(stream))
        except* (ChannelError, TimeoutError, _StaleError) as errors:
            cause = repr(errors.exceptions[0])
        finally:
            stream.close()
            if self.source is not None:
                self.source = None
                logger.warning(
                    "event=control_lost control=%s cause='%s'", address, cause
                )
                self._sink.on_lost(address)

    async def _read(self, address: str, stream: FrameStream) -> None:
        current_ms = self._clock.monotonic_ms()
        while True:
            async with asyncio.timeout(SILENCE_MS / 1000):
                _, update = await stream.read()
            if not isinstance(update, Update):
                raise ChannelError(f"{address} sent no update")
            now_ms = self._clock.monotonic_ms()
            if update.is_current:
                current_ms = now_ms
            elif self._needs_current and now_ms - current_ms > _STALE_MS:
                raise _StaleError(f"{address} is not in touch with the control group")
            if self.source is None and (update.is_current or not self._needs_current):
                self.source = address
                logger.info(
                    "event=control_joined control=%s version=%d",
                    address,
                    update.version,
                )
            self._sink.on_update(address, update)

    async def _send_status(self, stream: FrameStream) -> None:
        while True:
            self._status_due.clear()
            async with asyncio.timeout(SILENCE_MS / 1000):
                await stream.write(self._sink.status())
            try:
                async with asyncio.timeout(HEARTBEAT_MS / 1000):
                    await self._status_due.wait()
            except TimeoutError:
                continue


class _StaleError(Exception):
    """The sender has lost touch with its group."""
