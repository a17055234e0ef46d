"""The sending end of the feed, on a control instance."""

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import Protocol

from cuminbend.crashes import CrashHistory, CrashReport
from cuminbend.exceptions import ChannelError
from cuminbend.newest import OverdueInstance, StoredConfiguration
from cuminbend.ports import Clock
from cuminbend.registry import Registration, UpstreamStatement

from cuminbendd.channel import FrameStream
from cuminbendd.feed._messages import (
    ControlInfo,
    EntryInfo,
    Hello,
    Status,
    Update,
)

logger = logging.getLogger(__name__)

# An update is sent at least this often; the reader relies on it to detect a dead
# sender.
HEARTBEAT_INTERVAL_MS = 500.0
# Time without a message after which the other end counts as gone: three heartbeats.
SILENCE_TIMEOUT_MS = 1600.0
# Changes within this time are sent in one update.
_BATCH_DELAY_MS = 20.0


class FeedSource(Protocol):
    """The state of a control instance that its feed publishes."""

    @property
    def is_current(self) -> bool:
        """Whether this instance is in touch with a majority of the group."""

    @property
    def published_configuration(self) -> StoredConfiguration:
        """Configuration in force, in the form that entry instances are sent."""

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres to which no work is sent."""

    @property
    def collected_ms(self) -> float:
        """Time for which heartbeats of upstreams have been received."""

    @property
    def revision(self) -> int:
        """Revision of the registrations; it grows with each change."""

    def changes_since(
        self, revision: int, *, only_held_here: bool
    ) -> tuple[Registration, ...]:
        """Return the registrations that changed after a revision.

        Args:
            revision: Revision up to which the changes are left out.
            only_held_here: Leave out upstreams that report to another control instance.
        """

    @property
    def crash_revision(self) -> int:
        """Revision of the crash histories; it grows with each change."""

    def crash_histories_since(self, revision: int) -> tuple[CrashHistory, ...]:
        """Return the crash histories that changed after a revision."""

    def take_crash_report(self, report: CrashReport) -> None:
        """Record what an entry instance observed of crashing requests."""

    @property
    def statements_revision(self) -> int:
        """Revision of the statements; it grows with each change."""

    def statements_since(
        self, revision: int, *, only_held_here: bool
    ) -> tuple[UpstreamStatement, ...]:
        """Return the statements that changed after a revision.

        Args:
            revision: Revision up to which the changes are left out.
            only_held_here: Leave out those that another control instance passed on.
        """

    def take_statements(self, statements: tuple[UpstreamStatement, ...]) -> None:
        """Record what upstreams stated to an entry instance."""

    def entries(self, *, only_held_here: bool) -> tuple[EntryInfo, ...]:
        """Return the entry instances in the directory.

        Args:
            only_held_here: Return only those that read this instance's feed.
        """

    def controls(self) -> tuple[ControlInfo, ...]:
        """Return this control instance and those whose feeds it reads."""

    def set_entry(
        self, entry: EntryInfo, *, is_available: bool, reader: object
    ) -> None:
        """Record an entry instance that reads the feed and whether it takes callers.

        Args:
            entry: The entry instance.
            is_available: Whether it takes callers.
            reader: Identifies the stream on which the entry instance reads the feed.
        """

    def remove_entry(self, entry: EntryInfo, *, reader: object) -> None:
        """Remove an entry instance unless it has opened another stream since."""

    def record_applied(self, instance: str, status: Status) -> None:
        """Record which configuration an entry instance reports that it applies."""

    def overdue_readers(self) -> tuple[OverdueInstance, ...]:
        """Return the readers of this feed that do not apply a version in time."""

    def add_control(self, control: ControlInfo) -> None:
        """Record a control instance that reads the feed."""


@dataclass(slots=True)
class _SentState:
    """What has been sent to one reader.

    Attributes:
        is_first: Whether no update with registrations has been sent yet.
        version: Version of the configuration that the reader has, 0 if it has none.
        next_due_ms: Monotonic time by which the next update has to be sent.
    """

    is_first: bool = True
    is_current: bool = False
    revision: int = 0
    version: int = 0
    crash_revision: int = 0
    statements_revision: int = 0
    evacuated: frozenset[str] | None = None
    entries: tuple[EntryInfo, ...] | None = None
    controls: tuple[ControlInfo, ...] | None = None
    overdue: tuple[OverdueInstance, ...] = ()
    next_due_ms: float = 0.0


class FeedServer:
    """Sends each reader what has changed since its last update."""

    def __init__(self, *, source: FeedSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        self._change_event = asyncio.Event()

    def notify(self) -> None:
        """Make all streams check for changes and send them."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def serve(self, hello: Hello, stream: FrameStream) -> None:
        """Send updates until the stream ends or the reader is silent."""
        logger.info(
            "event=reader_joined reader=%s data_centre=%s version=%d",
            hello.instance,
            hello.data_centre,
            hello.version,
        )
        cause = "closed"
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_statuses(hello, stream))
                group.create_task(self._write_updates(hello, stream))
        except* (ChannelError, TimeoutError) as errors:
            cause = repr(errors.exceptions[0])
        finally:
            if hello.entry is not None:
                self._source.remove_entry(hello.entry, reader=stream)
            logger.info("event=reader_left reader=%s cause='%s'", hello.instance, cause)

    async def _read_statuses(self, hello: Hello, stream: FrameStream) -> None:
        if hello.control is not None:
            self._source.add_control(hello.control)
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_MS / 1000):
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
                self._source.record_applied(hello.entry.instance, status)
                if not status.crash_report.is_empty:
                    self._source.take_crash_report(status.crash_report)
                if status.statements:
                    self._source.take_statements(status.statements)

    async def _write_updates(self, hello: Hello, stream: FrameStream) -> None:
        sent = _SentState(version=hello.version)
        while True:
            change_event = self._change_event
            was_current = sent.is_current
            update = self._next_update(sent, is_control=hello.control is not None)
            now_ms = self._clock.monotonic_ms()
            # Most changes do not concern this reader; an update without changes is sent
            # only when a heartbeat is due.
            if now_ms >= sent.next_due_ms or _has_changes(update, was_current):
                sent.next_due_ms = now_ms + HEARTBEAT_INTERVAL_MS
                async with asyncio.timeout(SILENCE_TIMEOUT_MS / 1000):
                    await stream.write(update)
            try:
                async with asyncio.timeout(max(0.0, sent.next_due_ms - now_ms) / 1000):
                    await change_event.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(_BATCH_DELAY_MS / 1000)

    def _next_update(self, sent: _SentState, *, is_control: bool) -> Update:
        """Return the changes that the reader does not have, and record them as sent.

        A control instance gets the configuration from the replicated log, so the feed
        does not contain it. The feed to a control instance contains only the upstreams
        and entry instances that report to this instance, because the reader gets the
        others from the control instances to which they report.
        """
        source = self._source
        is_current = source.is_current
        if not is_control and not is_current:
            return self._out_of_touch_update(sent)
        stored = source.published_configuration
        content = None
        if not is_control and stored.version > sent.version:
            content = stored.content
            sent.version = stored.version
        evacuated = None
        if is_current and source.evacuated != sent.evacuated:
            evacuated = tuple(sorted(source.evacuated))
            sent.evacuated = source.evacuated
        crash_histories: tuple[CrashHistory, ...] = ()
        if not is_control:
            crash_histories = source.crash_histories_since(sent.crash_revision)
            sent.crash_revision = source.crash_revision
        entries = source.entries(only_held_here=is_control)
        changed, gone = _diff_entries(sent.entries or (), entries)
        controls = source.controls()
        overdue = source.overdue_readers() if is_control else ()
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
            collected_ms=source.collected_ms,
            crash_histories=crash_histories,
            statements=source.statements_since(
                sent.statements_revision, only_held_here=is_control
            ),
            overdue=overdue if overdue != sent.overdue else None,
        )
        sent.statements_revision = source.statements_revision
        sent.is_first = False
        sent.is_current = is_current
        sent.revision = source.revision
        sent.entries = entries
        sent.controls = controls
        sent.overdue = overdue
        return update

    def _out_of_touch_update(self, sent: _SentState) -> Update:
        """Return the update for an entry instance while the sender is out of touch.

        An entry instance ignores all other content then, so no other content is sent
        or recorded as sent.
        """
        controls = self._source.controls()
        update = Update(
            is_current=False,
            version=self._source.published_configuration.version,
            controls=controls if controls != sent.controls else None,
            collected_ms=self._source.collected_ms,
        )
        sent.is_current = False
        sent.controls = controls
        return update


def _diff_entries(
    former: tuple[EntryInfo, ...], entries: tuple[EntryInfo, ...]
) -> tuple[tuple[EntryInfo, ...], tuple[str, ...]]:
    """Return new or changed entry instances, and the names of removed ones.

    Only the differences are sent, because every change of an entry instance is sent to
    each reader and the whole directory may be large.
    """
    former_entries = set(former)
    changed = tuple(entry for entry in entries if entry not in former_entries)
    names = {entry.instance for entry in entries}
    gone = tuple(entry.instance for entry in former if entry.instance not in names)
    return changed, gone


def _has_changes(update: Update, was_current: bool) -> bool:
    """Return whether an update contains more than a heartbeat."""
    heartbeat = Update(
        is_current=was_current,
        version=update.version,
        collected_ms=update.collected_ms,
    )
    return update != heartbeat
