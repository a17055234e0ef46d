"""The sending end of the feed, on a control instance."""

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import Protocol

from cuminbend.exceptions import ChannelError
from cuminbend.newest import StoredConfiguration
from cuminbend.ports import Clock
from cuminbend.registry import Registration

from cuminbendd.channel import FrameStream
from cuminbendd.feed._messages import (
    ControlInfo,
    EntryInfo,
    Hello,
    Status,
    Update,
)

logger = logging.getLogger(__name__)

# An update goes out at least this often; the reader counts on it.
HEARTBEAT_MS = 500.0
# Silence after which the other end counts as gone: three heartbeats.
SILENCE_MS = 1600.0
# Changes within this time travel in one update.
_BATCH_MS = 20.0


class FeedSource(Protocol):
    """State of the control instance that the feed publishes."""

    @property
    def is_current(self) -> bool:
        """Whether this instance is in touch with a majority of the group."""

    @property
    def stored_configuration(self) -> StoredConfiguration:
        """Configuration in force."""

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres that get no work."""

    @property
    def revision(self) -> int:
        """Revision of the registrations."""

    def changes_since(
        self, revision: int, *, only_held_here: bool
    ) -> tuple[Registration, ...]:
        """Return the registrations that changed after a revision."""

    def entries(self, *, only_held_here: bool) -> tuple[EntryInfo, ...]:
        """Return the entry instances in the directory."""

    def controls(self) -> tuple[ControlInfo, ...]:
        """Return the control instances known here."""

    def set_entry(
        self, entry: EntryInfo, *, is_available: bool, reader: object
    ) -> None:
        """Note that an entry instance reads the feed, and whether it takes callers."""

    def remove_entry(self, entry: EntryInfo, *, reader: object) -> None:
        """Note that a stream to an entry instance has ended."""

    def add_control(self, control: ControlInfo) -> None:
        """Note that a control instance reads the feed."""


@dataclass(slots=True)
class _Sent:
    """What a reader has been told."""

    is_first: bool = True
    is_current: bool = False
    revision: int = 0
    version: int = 0
    evacuated: frozenset[str] | None = None
    entries: tuple[EntryInfo, ...] | None = None
    controls: tuple[ControlInfo, ...] | None = None
    due_ms: float = 0.0


class FeedServer:
    """Sends each reader what has changed since it was last told."""

    def __init__(self, *, source: FeedSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all streams, because something may have changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, hello: Hello, stream: FrameStream) -> None:
        """Send updates until the reader is gone."""
        logger.info(
            "event=reader_joined reader=%s data_centre=%s version=%d",
            hello.instance,
            hello.data_centre,
            hello.version,
        )
        cause = "closed"
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(hello, stream))
                group.create_task(self._write(hello, stream))
        except* (ChannelError, TimeoutError) as errors:
            cause = repr(errors.exceptions[0])
        finally:
            if hello.entry is not None:
                self._source.remove_entry(hello.entry, reader=stream)
            logger.info("event=reader_left reader=%s cause='%s'", hello.instance, cause)

    async def _read(self, hello: Hello, stream: FrameStream) -> None:
        if hello.control is not None:
            self._source.add_control(hello.control)
        while True:
            async with asyncio.timeout(SILENCE_MS / 1000):
                _, status = await stream.read()
            if hello.entry is not None and isinstance(status, Status):
                self._source.set_entry(
                    replace(
                        hello.entry,
                        is_busy=status.is_busy,
                        is_active=status.is_active,
                    ),
                    is_available=status.is_available,
                    reader=stream,
                )

    async def _write(self, hello: Hello, stream: FrameStream) -> None:
        sent = _Sent(version=hello.version)
        while True:
            changed = self._changed
            was_current = sent.is_current
            update = self._next_update(sent, is_control=hello.control is not None)
            now_ms = self._clock.monotonic_ms()
            # Most changes concern other readers than this one.
            if now_ms >= sent.due_ms or _is_news(update, was_current):
                sent.due_ms = now_ms + HEARTBEAT_MS
                async with asyncio.timeout(SILENCE_MS / 1000):
                    await stream.write(update)
            try:
                async with asyncio.timeout(max(0.0, sent.due_ms - now_ms) / 1000):
                    await changed.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(_BATCH_MS / 1000)

    def _next_update(self, sent: _Sent, *, is_control: bool) -> Update:
        """Return what the reader lacks, and note it as sent.

        A control instance gets the configuration from the log, and only what is held
        here: the rest it gets from the instances that hold it.
        """
        source = self._source
        is_current = source.is_current
        if not is_control and not is_current:
            return self._out_of_touch(sent)
        stored = source.stored_configuration
        content = None
        if not is_control and stored.version > sent.version:
            content = stored.content
            sent.version = stored.version
        evacuated = None
        if is_current and source.evacuated != sent.evacuated:
            evacuated = tuple(sorted(source.evacuated))
            sent.evacuated = source.evacuated
        entries = source.entries(only_held_here=is_control)
        changed, gone = _entry_changes(sent.entries or (), entries)
        controls = source.controls()
        update = Update(
            is_current=is_current,
            is_full=sent.is_first,
            registrations=source.changes_since(
                sent.revision, only_held_here=is_control
            ),
            version=stored.version,
            content=content,
            evacuated=evacuated,
            entries=changed if entries != sent.entries else None,
            entries_gone=gone,
            controls=controls if controls != sent.controls else None,
        )
        sent.is_first = False
        sent.is_current = is_current
        sent.revision = source.revision
        sent.entries = entries
        sent.controls = controls
        return update

    def _out_of_touch(self, sent: _Sent) -> Update:
        """Return what an entry instance may hear while this one is out of touch.

        It reads nothing else then, so nothing else counts as sent.
        """
        controls = self._source.controls()
        update = Update(
            is_current=False,
            version=self._source.stored_configuration.version,
            controls=controls if controls != sent.controls else None,
        )
        sent.is_current = False
        sent.controls = controls
        return update


def _entry_changes(
    former: tuple[EntryInfo, ...], entries: tuple[EntryInfo, ...]
) -> tuple[tuple[EntryInfo, ...], tuple[str, ...]]:
    """Return the entry instances that are new or changed, and the names of lost ones.

    A change of one of many instances is sent to each reader, so it must not cost the
    whole directory.
    """
    known = set(former)
    changed = tuple(entry for entry in entries if entry not in known)
    names = {entry.instance for entry in entries}
    gone = tuple(e.instance for e in former if e.instance not in names)
    return changed, gone


def _is_news(update: Update, was_current: bool) -> bool:
    """Return whether an update says more than that its sender is there."""
    heartbeat = Update(is_current=was_current, version=update.version)
    return update != heartbeat
