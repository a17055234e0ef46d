"""The reading end of the feed."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from cuminbend.exceptions import ChannelError
from cuminbend.ports import Clock

from cuminbendd.channel import FrameStream, open_stream
from cuminbendd.feed._messages import CODEC, EntryInfo, Hello, Status, Update
from cuminbendd.feed._server import HEARTBEAT_MS, SILENCE_MS

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_MS = 500.0
_RETRY_MS = 100.0
# Time for which an instance that has lost touch with the group is still read: it says
# so a second after its last sign of the group, in which most elections are over.
_STALE_MS = 1000.0
# The same for one that was not in touch from the start; of five instances two may be
# cut off, and a reader must have passed them before its news are too old.
_NEVER_CURRENT_MS = 400.0
# Mean time between two looks for a sender that is preferred to the present one.
_MOVE_INTERVAL_MS = 1000.0


class FeedSink(Protocol):
    """Takes updates."""

    def hello(self) -> Hello:
        """Return what to tell the sender first."""

    def status(self) -> Status:
        """Return the heartbeat to send."""

    def on_update(self, source: str, update: Update) -> None:
        """Take news of the control instance with channel address ``source``.

        ``update.entries`` are all entry instances if any of them changed.
        """

    def on_source_lost(self, source: str) -> None:
        """Note that the stream from ``source`` has ended."""


def _no_preference(address: str) -> str | None:
    return None


class _UpdateStream:
    """Updates of one sender, with its changes of the directory put together.

    Attributes:
        was_current: Whether the sender has been in touch with its group.
    """

    def __init__(self, *, address: str, frames: FrameStream) -> None:
        self.address = address
        self.frames = frames
        self.was_current = False
        self._entries: dict[str, EntryInfo] = {}

    async def read(self) -> Update:
        """Return the next update with all entry instances if any changed.

        Raises:
            ChannelError: If the stream ended or carries something else.
            TimeoutError: If the sender is silent.
        """
        async with asyncio.timeout(SILENCE_MS / 1000):
            _, update = await self.frames.read()
        if not isinstance(update, Update):
            raise ChannelError(f"{self.address} sent no update")
        self.was_current = self.was_current or update.is_current
        if update.entries is None:
            return update
        self._entries.update({entry.instance: entry for entry in update.entries})
        for instance in update.entries_gone:
            self._entries.pop(instance, None)
        entries = tuple(self._entries[name] for name in sorted(self._entries))
        return replace(update, entries=entries)

    async def write(self, message: Hello | Status) -> None:
        """Send a message.

        Raises:
            ChannelError: If the stream ended.
            TimeoutError: If the sender of the feed does not read.
        """
        async with asyncio.timeout(SILENCE_MS / 1000):
            await self.frames.write(message)


class FeedClient:
    """Reads the feed of one control instance at a time.

    Args:
        sink: Takes the news.
        clock: Source of time.
        candidates: Returns the addresses to try, the preferred one first; read again
            before each attempt.
        preferred: Returns a sender that is better than the one with the given address,
            or None. The reader moves to it without a gap.
        needs_current: Whether to leave a sender that lost touch with the group.
    """

    def __init__(
        self,
        *,
        sink: FeedSink,
        clock: Clock,
        candidates: Callable[[], list[str]],
        preferred: Callable[[str], str | None] = _no_preference,
        needs_current: bool = True,
    ) -> None:
        self._sink = sink
        self._clock = clock
        self._candidates = candidates
        self._preferred = preferred
        self._needs_current = needs_current
        self._status_due = asyncio.Event()
        self.source: str | None = None

    def notify(self) -> None:
        """Send the status now, because it has changed."""
        self._status_due.set()

    async def run(self) -> None:
        """Read until cancelled, trying one address after the other.

        When a sender is lost, the candidates are read again: those from before it was
        joined may be long out of date.
        """
        lost: str | None = None
        while True:
            candidates = self._candidates()
            # The one just lost comes last, however near it is.
            candidates.sort(key=lambda address: address == lost)
            lost = None
            for address in candidates:
                lost = await self._read_from(address)
                await asyncio.sleep(_RETRY_MS / 1000)
                if lost is not None:
                    break
            else:
                await asyncio.sleep(_RETRY_MS / 1000)

    async def _read_from(self, address: str) -> str | None:
        """Read a sender and its successors; return the one that was joined and lost."""
        lost: str | None = None
        stream = await self._open(address)
        while stream is not None:
            successor = await self._follow(stream)
            if stream.was_current:
                lost = stream.address
            stream = successor
        return lost

    async def _open(self, address: str) -> _UpdateStream | None:
        try:
            frames = await open_stream(CODEC, address, timeout_ms=_CONNECT_TIMEOUT_MS)
        except ChannelError as error:
            logger.debug(
                "event=control_unreachable control=%s error='%s'", address, error
            )
            return None
        stream = _UpdateStream(address=address, frames=frames)
        try:
            await stream.write(self._sink.hello())
        except (ChannelError, TimeoutError) as error:
            frames.close()
            logger.debug("event=control_lost control=%s cause='%s'", address, error)
            return None
        return stream

    async def _follow(self, stream: _UpdateStream) -> _UpdateStream | None:
        """Read a stream until it ends; return the one that takes its place, if any."""
        cause = "closed"
        successor: _UpdateStream | None = None
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(stream))
                group.create_task(self._send_status(stream))
                group.create_task(self._look_for_better(stream.address))
        except* _MovedError as errors:
            successor = _successor(errors)
        except* (ChannelError, TimeoutError, _StaleError) as errors:
            cause = repr(errors.exceptions[0])
        finally:
            stream.frames.close()
            if successor is not None:
                self.source = successor.address
                logger.info(
                    "event=control_moved control=%s former=%s",
                    successor.address,
                    stream.address,
                )
            elif self.source is not None:
                self.source = None
                logger.warning(
                    "event=control_lost control=%s cause='%s'", stream.address, cause
                )
                self._sink.on_source_lost(stream.address)
        return successor

    async def _read(self, stream: _UpdateStream) -> None:
        current_ms = self._clock.monotonic_ms()
        while True:
            update = await stream.read()
            now_ms = self._clock.monotonic_ms()
            limit_ms = _STALE_MS if stream.was_current else _NEVER_CURRENT_MS
            if update.is_current:
                current_ms = now_ms
            elif self._needs_current and now_ms - current_ms > limit_ms:
                raise _StaleError(
                    f"{stream.address} is not in touch with the control group"
                )
            if self.source is None and (update.is_current or not self._needs_current):
                self.source = stream.address
                logger.info(
                    "event=control_joined control=%s version=%d",
                    stream.address,
                    update.version,
                )
            self._sink.on_update(stream.address, update)

    async def _send_status(self, stream: _UpdateStream) -> None:
        while True:
            self._status_due.clear()
            await stream.write(self._sink.status())
            try:
                async with asyncio.timeout(HEARTBEAT_MS / 1000):
                    await self._status_due.wait()
            except TimeoutError:
                continue

    async def _look_for_better(self, address: str) -> None:
        """Look for a preferred sender from time to time, and move to it.

        Raises:
            _MovedError: With the stream that was opened.
        """
        while True:
            jitter = random.uniform(0.5, 1.5)
            await asyncio.sleep(jitter * _MOVE_INTERVAL_MS / 1000)
            better = self._preferred(address)
            if better is not None:
                stream = await self._join(better)
                if stream is not None:
                    raise _MovedError(stream)

    async def _join(self, address: str) -> _UpdateStream | None:
        """Open a second stream; return it once its sender has sent what it knows.

        The sender has the status by then, so the entry instance stays in the
        directory when the first stream ends.
        """
        stream = await self._open(address)
        if stream is None:
            return None
        try:
            await stream.write(self._sink.status())
            update = await stream.read()
        except (ChannelError, TimeoutError) as error:
            stream.frames.close()
            logger.info(
                "event=control_not_joined control=%s error='%s'", address, error
            )
            return None
        except asyncio.CancelledError:
            stream.frames.close()
            raise
        if not update.is_current:
            stream.frames.close()
            return None
        self._sink.on_update(address, update)
        return stream


class _StaleError(Exception):
    """The sender has lost touch with its group."""


class _MovedError(Exception):
    """Another stream takes the place of this one."""

    def __init__(self, stream: _UpdateStream) -> None:
        super().__init__(stream.address)
        self.stream = stream


def _successor(errors: BaseExceptionGroup[_MovedError]) -> _UpdateStream:
    error = errors.exceptions[0]
    assert isinstance(error, _MovedError)
    return error.stream
