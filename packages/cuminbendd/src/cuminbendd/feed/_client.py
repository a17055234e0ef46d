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
from cuminbendd.feed._messages import FEED_CODEC, EntryInfo, Hello, Status, Update
from cuminbendd.feed._server import HEARTBEAT_INTERVAL_MS, SILENCE_TIMEOUT_MS

logger = logging.getLogger(__name__)

# Longer than a round trip between any two data centres. While all addresses are silent,
# they are tried again only after this time, and a connection that a machine without
# power has not accepted is not accepted by it later either.
_CONNECT_TIMEOUT_MS = 250.0
# Time between two attempts to connect. It is longer than a round trip between data
# centres of a region.
_RETRY_INTERVAL_MS = 100.0
# Time for which a sender that lost contact with its group is still read. The sender
# reports the loss a second after its last contact, and most elections end within that
# second.
_LOST_CONTACT_TIMEOUT_MS = 1000.0
# Time for which a sender is read that has not been in contact since the stream was
# opened. It is shorter because two of five instances may be cut off, and a reader must
# have tried and left both before its data are too old.
_INITIAL_CONTACT_TIMEOUT_MS = 400.0
# Mean time between two checks for a sender that is preferred to the current one.
_PREFERENCE_CHECK_INTERVAL_MS = 1000.0


class FeedSink(Protocol):
    """Receives the updates of a feed and describes its reader."""

    def hello(self) -> Hello:
        """Return the first message to the sender."""

    def status(self) -> Status:
        """Return the heartbeat to send."""

    def on_update(self, source: str, update: Update) -> None:
        """Apply an update from the control instance with channel address ``source``.

        If it raises, the stream is closed, and all content is sent again on a new one.

        ``update.entries`` contains all entry instances if any of them changed, else it
        is None.
        """

    def on_source_lost(self, source: str) -> None:
        """Handle the loss of the stream from ``source``.

        It is not called when the reader moves from one sender to another.
        """


def _no_preference(address: str) -> str | None:
    return None


class _UpdateStream:
    """Reads the updates of one sender and merges its changes of the directory.

    Attributes:
        was_current: Whether the sender has been in touch with its group at any time
            since the stream was opened.
        is_replaced: Whether an update of a successor has been applied. Each sender
            sends a change only once, so an older update that this stream still delivers
            would stay in effect.
    """

    def __init__(self, *, address: str, frames: FrameStream) -> None:
        self.address = address
        self.frames = frames
        self.was_current = False
        self.is_replaced = False
        self._entries: dict[str, EntryInfo] = {}

    async def read(self) -> Update:
        """Return the next update, with all entry instances if any of them changed.

        Raises:
            ChannelError: If the stream ended or the message is not an update.
            TimeoutError: If the sender is silent for ``SILENCE_TIMEOUT_MS``.
        """
        async with asyncio.timeout(SILENCE_TIMEOUT_MS / 1000):
            _, update = await self.frames.read()
        if not isinstance(update, Update):
            raise ChannelError(f"{self.address} sent a message that is no update")
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
        async with asyncio.timeout(SILENCE_TIMEOUT_MS / 1000):
            await self.frames.write(message)


class FeedClient:
    """Reads the feed of one control instance at a time.

    Args:
        sink: Receives the updates.
        clock: Source of time.
        candidates: Returns the addresses to try, the preferred one first. It is called
            again after a sender is lost and after all addresses have been tried.
        find_preferred: Returns the address of a sender that is preferred to the one
            with the given address, or None. The reader opens a stream from the new
            sender before it closes the old one.
        requires_current_sender: Whether to leave a sender that lost contact with its
            group.

    Attributes:
        source: Address of the sender that is being read, None if there is none.
    """

    def __init__(
        self,
        *,
        sink: FeedSink,
        clock: Clock,
        candidates: Callable[[], list[str]],
        find_preferred: Callable[[str], str | None] = _no_preference,
        requires_current_sender: bool = True,
    ) -> None:
        self._sink = sink
        self._clock = clock
        self._candidates = candidates
        self._find_preferred = find_preferred
        self._requires_current_sender = requires_current_sender
        self._status_due = asyncio.Event()
        self.source: str | None = None

    def notify(self) -> None:
        """Send the status to the sender of the feed now, because it has changed."""
        self._status_due.set()

    async def run(self) -> None:
        """Read until cancelled, trying one address after the other.

        When a sender is lost, the candidates are read again, because the earlier list
        may be out of date by then.
        """
        lost_address: str | None = None
        while True:
            addresses = self._candidates()
            # The sender just lost is tried last, even if it is in the same data centre.
            addresses.sort(key=lambda address: address == lost_address)
            lost_address = None
            while lost_address is None:
                stream = await self._open_first_stream(addresses)
                if stream is None:
                    break
                addresses = addresses[addresses.index(stream.address) + 1 :]
                lost_address = await self._read_streams(stream)
                await asyncio.sleep(_RETRY_INTERVAL_MS / 1000)
            await asyncio.sleep(_RETRY_INTERVAL_MS / 1000)

    async def _open_first_stream(self, addresses: list[str]) -> _UpdateStream | None:
        """Open a stream from the first address that accepts a connection.

        An address is tried ``_RETRY_INTERVAL_MS`` after the one before it, also while
        that one has not answered: a machine without power neither accepts nor refuses
        connections. Source: RFC 8305, section 5 ("Happy Eyeballs").
        """
        attempts = [
            asyncio.ensure_future(
                self._open_update_stream(
                    address, delay_ms=position * _RETRY_INTERVAL_MS
                )
            )
            for position, address in enumerate(addresses)
        ]
        opened: _UpdateStream | None = None
        try:
            for attempt in asyncio.as_completed(attempts):
                opened = await attempt
                if opened is not None:
                    break
        finally:
            for task in attempts:
                was_running = task.cancel()
                surplus = None if was_running else task.result()
                if surplus is not None and surplus is not opened:
                    surplus.frames.close()
        return opened

    async def _read_streams(self, stream: _UpdateStream | None) -> str | None:
        """Read a stream, and any other to which the reader moves from it.

        Returns:
            The address of the last sender that had been in contact with its group, or
            None.
        """
        lost_address: str | None = None
        while stream is not None:
            successor = await self._read_until_end(stream)
            if stream.was_current:
                lost_address = stream.address
            stream = successor
        return lost_address

    async def _open_update_stream(
        self, address: str, *, delay_ms: float = 0.0
    ) -> _UpdateStream | None:
        await asyncio.sleep(delay_ms / 1000)
        try:
            frames = await open_stream(
                FEED_CODEC, address, timeout_ms=_CONNECT_TIMEOUT_MS
            )
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
        except asyncio.CancelledError:
            frames.close()
            raise
        return stream

    async def _read_until_end(self, stream: _UpdateStream) -> _UpdateStream | None:
        """Read a stream until it ends; return the stream that replaces it, or None.

        An update that cannot be applied ends the stream.
        """
        cause = "closed"
        successor: _UpdateStream | None = None
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_updates(stream))
                group.create_task(self._send_status(stream))
                group.create_task(self._look_for_preferred_sender(stream))
        except* _MovedError as errors:
            successor = _successor(errors)
        except* (ChannelError, TimeoutError, _StaleError) as errors:
            cause = repr(errors.exceptions[0])
        except* Exception as errors:
            # Nothing restarts the reader, and only a new stream contains everything
            # again that the failed update may have left out.
            cause = repr(errors.exceptions[0])
            logger.exception("event=update_failed control=%s", stream.address)
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

    async def _read_updates(self, stream: _UpdateStream) -> None:
        last_current_ms = self._clock.monotonic_ms()
        while True:
            update = await stream.read()
            if stream.is_replaced:
                return
            now_ms = self._clock.monotonic_ms()
            out_of_touch_limit_ms = (
                _LOST_CONTACT_TIMEOUT_MS
                if stream.was_current
                else _INITIAL_CONTACT_TIMEOUT_MS
            )
            if update.is_current:
                last_current_ms = now_ms
            elif (
                self._requires_current_sender
                and now_ms - last_current_ms > out_of_touch_limit_ms
            ):
                raise _StaleError(
                    f"{stream.address} is not in touch with the control group"
                )
            if self.source is None and (
                update.is_current or not self._requires_current_sender
            ):
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
                async with asyncio.timeout(HEARTBEAT_INTERVAL_MS / 1000):
                    await self._status_due.wait()
            except TimeoutError:
                continue

    async def _look_for_preferred_sender(self, current: _UpdateStream) -> None:
        """Check for a preferred sender from time to time, and open a stream from it.

        Raises:
            _MovedError: With the stream that was opened, which ends the current one.
        """
        while True:
            jitter = random.uniform(0.5, 1.5)
            await asyncio.sleep(jitter * _PREFERENCE_CHECK_INTERVAL_MS / 1000)
            preferred_address = self._find_preferred(current.address)
            if preferred_address is not None:
                stream = await self._open_successor(preferred_address, current)
                if stream is not None:
                    raise _MovedError(stream)

    async def _open_successor(
        self, address: str, current: _UpdateStream
    ) -> _UpdateStream | None:
        """Open a second stream and return it after its first update.

        The new sender has received the status by then, so the entry instance stays in
        the directory when the first stream ends.

        Returns:
            The stream, or None if the sender cannot be reached or is not in contact
            with its group.
        """
        stream = await self._open_update_stream(address)
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
        current.is_replaced = True
        try:
            self._sink.on_update(address, update)
        except Exception:
            stream.frames.close()
            raise
        return stream


class _StaleError(Exception):
    """Raised when the sender has lost contact with its group."""


class _MovedError(Exception):
    """Raised to end a stream that another one replaces."""

    def __init__(self, stream: _UpdateStream) -> None:
        super().__init__(stream.address)
        self.stream = stream


def _successor(errors: BaseExceptionGroup[_MovedError]) -> _UpdateStream:
    error = errors.exceptions[0]
    assert isinstance(error, _MovedError)
    return error.stream
