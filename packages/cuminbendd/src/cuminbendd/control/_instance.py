"""The control instance: connects the control group, the feed and the directory."""

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any

from cuminbend.crashes import CrashHistory, CrashReport
from cuminbend.directory import EntryCandidate
from cuminbend.newest import (
    Command,
    HighestVersionState,
    OverdueInstance,
    StoredConfiguration,
    identify_by_bytes,
)
from cuminbend.ports import Clock, Disk
from cuminbend.registry import (
    Registration,
    RegistrationTable,
    StatementTable,
    UpstreamStatement,
)

from cuminbendd.channel import ChannelServer, FrameStream, parse_address
from cuminbendd.control._crash_reports import CrashReports
from cuminbendd.control._group import ControlGroup
from cuminbendd.control._known_instances import KnownInstances
from cuminbendd.control._leaves import LeaveConfirmations
from cuminbendd.control._messages import (
    CONTROL_CODEC,
    AdmitReply,
    AdmitRequest,
    LeaveRequest,
    ProposeRequest,
    ReadRequest,
    StopNotice,
)
from cuminbendd.control._rollout_watch import RolloutWatch
from cuminbendd.control._settings import ControlSettings
from cuminbendd.control._upstream_reports import UpstreamReports
from cuminbendd.feed import (
    ControlInfo,
    EntryInfo,
    FeedClient,
    FeedServer,
    Hello,
    Status,
    Update,
)
from cuminbendd.logs import log_task_failure
from cuminbendd.metrics import Metrics

logger = logging.getLogger(__name__)

_TICK_INTERVAL_MS = 100.0
# A longer interval between two ticks means that the process was stalled. Heartbeats
# that arrived meanwhile are not read yet, so no upstream may be declared silent.
_STALL_THRESHOLD_MS = 1000.0
_ADMISSION_INTERVAL_MS = 500.0


class ControlInstance:
    """Holds the replicated state, registrations of upstreams, and the directory.

    Args:
        settings: Settings of the instance.
        clock: Source of time.
        disk: The data folder.
        identify: Returns the identity of the file that a content encodes; see
            :class:`cuminbend.newest.HighestVersionState`.
        narrow: Returns a content in the form that is sent to entry instances, which may
            run another release.

    Attributes:
        upstream_reports: Takes the heartbeats and leaves of upstreams.
    """

    def __init__(
        self,
        *,
        settings: ControlSettings,
        clock: Clock,
        disk: Disk,
        identify: Callable[[bytes], str] = identify_by_bytes,
        narrow: Callable[[bytes], bytes] = bytes,
    ) -> None:
        self.settings = settings
        self._identify = identify
        self._narrow = narrow
        self._published = StoredConfiguration()
        self._clock = clock
        self._own_info = ControlInfo(
            address=settings.channel_address,
            announce_address=settings.announce_address,
            data_centre=settings.data_centre,
        )
        self._state = HighestVersionState(identify=identify)
        self._group = ControlGroup(
            settings=settings,
            clock=clock,
            disk=disk,
            state=self._state,
            own_info=self._own_info,
        )
        self._registrations = RegistrationTable(
            holder=settings.channel_address, silent_after_ms=settings.silent_after_ms
        )
        self._merged_leave_revision = 0
        self._statements = StatementTable()
        self._known_instances = KnownInstances(
            own_info=self._own_info, entry_retention_ms=settings.entry_retention_ms
        )
        self._rollout = RolloutWatch(
            apply_limit_ms=settings.apply_limit_ms, clock=clock
        )
        self._feed_server = FeedServer(source=self, clock=clock)
        self._crash_reports = CrashReports(state=self._state, commit=self._group.commit)
        self._state.on_change = self._on_state_change
        self._channel = ChannelServer(
            codec=CONTROL_CODEC, on_call=self._on_call, on_stream=self._on_stream
        )
        self._peer_feeds: dict[str, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._was_current = False
        self._collected_since_ms = clock.monotonic_ms()
        self.metrics = Metrics(gauges=self._read_gauges)
        self._leaves = LeaveConfirmations(
            own_address=settings.channel_address,
            voters=lambda: {voter.instance for voter in self._group.replica.voters},
            peers=self._peer_addresses,
            commit=self._group.commit,
        )
        self.upstream_reports = UpstreamReports(
            registrations=self._registrations,
            leaves=self._leaves,
            clock=clock,
            metrics=self.metrics,
            is_current=lambda: self.is_current,
            announce_address_near=self._known_instances.announce_address_near,
            notify_readers=self._feed_server.notify,
        )

    # Running

    async def start(self) -> None:
        """Listen on the channel address and join the control group.

        Raises:
            OSError: If the channel address is in use.
        """
        host, port = parse_address(self.settings.channel_address)
        await self._channel.start(host, port)
        self._tasks = [
            asyncio.ensure_future(self._group.run()),
            asyncio.ensure_future(self._tick()),
            asyncio.ensure_future(self._request_admission()),
        ]
        logger.info(
            "event=started instance=%s role=control address=%s bootstraps=%s seeds=%s",
            self.settings.instance,
            self.settings.channel_address,
            self.settings.bootstraps,
            ",".join(self.settings.control_addresses),
        )

    async def hand_over_leadership(self) -> None:
        """Hand the leadership over to another instance before a planned stop."""
        logger.info("event=stopping instance=%s", self.settings.instance)
        await self._group.hand_over_leadership()

    async def close(self) -> None:
        """Cancel all tasks and close all connections, without a handover."""
        logger.info("event=stopped instance=%s", self.settings.instance)
        for task in (*self._tasks, *self._peer_feeds.values()):
            task.cancel()
        await self._channel.close()
        self._leaves.close()
        self._crash_reports.close()
        self._group.close()

    async def wait_for_failure(self) -> None:
        """Wait until one of the instance's tasks fails, and raise its error.

        The caller ends the process then.
        """
        await asyncio.gather(*self._tasks)

    async def _tick(self) -> None:
        last_ms = self._clock.monotonic_ms()
        while True:
            # Nothing is served after the loss of all instances until this one knows
            # that it is in touch, so that is not left to the next tick.
            await self._group.replica.wait_for_contact_change(
                max_contact_age_ms=self.settings.max_contact_age_ms,
                timeout_ms=_TICK_INTERVAL_MS,
            )
            now_ms = self._clock.monotonic_ms()
            if now_ms - last_ms > _STALL_THRESHOLD_MS or not self.is_current:
                self._registrations.restart_silence_timers(now_ms=now_ms)
            last_ms = now_ms
            silent_registrations = self._registrations.expire(now_ms=now_ms)
            for registration in silent_registrations:
                logger.warning(
                    "event=upstream_silent upstream=%s service=%s sequence=%d",
                    registration.upstream,
                    registration.service,
                    registration.sequence,
                )
            self._report_contact_change()
            self._update_peer_feeds()
            self._leaves.retain(self._registrations)
            self._statements.retain(self._registrations)
            if self._rollout.check() or silent_registrations:
                self._feed_server.notify()

    def _report_contact_change(self) -> None:
        if self.is_current != self._was_current:
            self._was_current = self.is_current
            logger.info(
                "event=%s leader=%s version=%d",
                "in_touch" if self._was_current else "out_of_touch",
                self._group.replica.leader,
                self._state.stored_configuration.version,
            )
            self._feed_server.notify()

    async def _request_admission(self) -> None:
        while True:
            if self._group.needs_admission:
                for control in await self._group.request_admission(
                    self._peer_addresses()
                ):
                    self._known_instances.add_control(control)
            jitter = random.uniform(0.7, 1.3)
            await asyncio.sleep(jitter * _ADMISSION_INTERVAL_MS / 1000)

    # Other control instances

    def _peer_addresses(self) -> list[str]:
        """Return the channel addresses of all other control instances."""
        voters = {voter.instance for voter in self._group.replica.voters}
        known_addresses = {
            *self._known_instances.known_control_addresses(),
            *self.settings.control_addresses,
        }
        return sorted((voters | known_addresses) - {self.settings.channel_address})

    def _update_peer_feeds(self) -> None:
        """Start and stop feed clients, so that each other control instance has one.

        The other control instances are the voters and those that may become voters.
        """
        peers = self._peer_addresses()
        for address in set(self._peer_feeds) - set(peers):
            self._peer_feeds.pop(address).cancel()
            self._known_instances.forget_control(address)
            self._rollout.forget_peer(address)
        for address in peers:
            if address not in self._peer_feeds:
                client = FeedClient(
                    sink=self,
                    clock=self._clock,
                    candidates=lambda address=address: [address],  # type: ignore[misc]
                    requires_current_sender=False,
                )
                task = asyncio.ensure_future(client.run())
                task.add_done_callback(log_task_failure)
                self._peer_feeds[address] = task

    def hello(self) -> Hello:
        """Return the first message to another control instance whose feed is read."""
        return Hello(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            entry=None,
            control=self._own_info,
            version=0,
        )

    def status(self) -> Status:
        """Return the heartbeat to send to another control instance."""
        return Status(
            is_available=True,
            is_busy=False,
            is_active=False,
            version=self._state.stored_configuration.version,
        )

    def on_update(self, source: str, update: Update) -> None:
        """Apply an update from another control instance."""
        now_ms = self._clock.monotonic_ms()
        self._known_instances.mark_control_live(source)
        # The first update of the other instance contains all upstreams that it holds.
        if update.collected_ms is not None:
            self._collected_since_ms = min(
                self._collected_since_ms, now_ms - update.collected_ms
            )
        for control in update.controls or ():
            self._known_instances.add_control(control)
        if update.overdue is not None:
            self._rollout.set_peer_overdue(source, update.overdue)
        if update.entries is not None:
            self._known_instances.set_peer_entries(source, update.entries)
        previous_revision = self._registrations.revision
        for registration in update.registrations:
            self._registrations.merge(registration, now_ms=now_ms)
        has_new_statement = self._record_statements(
            update.statements, is_held_here=False
        )
        if (
            self._registrations.revision != previous_revision
            or update.entries is not None
            or has_new_statement
        ):
            self._feed_server.notify()

    def on_source_lost(self, source: str) -> None:
        """Take over the upstreams that reported to a lost control instance."""
        now_ms = self._clock.monotonic_ms()
        self._known_instances.mark_control_lost(source, now_ms)
        self._rollout.forget_peer(source)
        self._registrations.take_over_from(source, now_ms=now_ms)

    # Feed

    @property
    def is_current(self) -> bool:
        """Whether this instance is in touch with a majority of the group."""
        max_contact_age_ms = self.settings.max_contact_age_ms
        return self._group.replica.is_current(max_contact_age_ms=max_contact_age_ms)

    @property
    def published_configuration(self) -> StoredConfiguration:
        """Configuration in force, in the form that entry instances are sent."""
        stored = self._state.stored_configuration
        if stored.version != self._published.version:
            self._published = StoredConfiguration(
                stored.version, self._narrow(stored.content)
            )
        return self._published

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres to which no work is sent."""
        return self._state.evacuated

    @property
    def collected_ms(self) -> float:
        """Time for which a control instance has received heartbeats of upstreams."""
        return self._clock.monotonic_ms() - self._collected_since_ms

    @property
    def revision(self) -> int:
        """Revision of the registrations; it grows with each change."""
        return self._registrations.revision

    def changes_since(
        self, revision: int, *, only_held_here: bool
    ) -> tuple[Registration, ...]:
        """Return the registrations that changed after a revision, oldest change first.

        Args:
            revision: Revision up to which the changes are left out.
            only_held_here: Leave out upstreams that report to another control instance.
        """
        now_ms = self._clock.monotonic_ms()
        return tuple(
            self._registrations.changes_since(
                revision, now_ms=now_ms, only_held_here=only_held_here
            )
        )

    @property
    def crash_revision(self) -> int:
        """Revision of the crash histories; it grows with each change."""
        return self._state.crash_table.revision

    def crash_histories_since(self, revision: int) -> tuple[CrashHistory, ...]:
        """Return the crash histories that changed after a revision."""
        return self._state.crash_table.changes_since(revision)

    def take_crash_report(self, report: CrashReport) -> None:
        """Record what an entry instance observed of crashing requests."""
        self._crash_reports.take(report)

    @property
    def statements_revision(self) -> int:
        """Revision of the statements; it grows with each change."""
        return self._statements.revision

    def statements_since(
        self, revision: int, *, only_held_here: bool
    ) -> tuple[UpstreamStatement, ...]:
        """Return the statements that changed after a revision."""
        return self._statements.changes_since(revision, only_held_here=only_held_here)

    def take_statements(self, statements: tuple[UpstreamStatement, ...]) -> None:
        """Record what upstreams stated to an entry instance."""
        if self._record_statements(statements, is_held_here=True):
            self._feed_server.notify()

    def _record_statements(
        self, statements: tuple[UpstreamStatement, ...], *, is_held_here: bool
    ) -> bool:
        changes = [
            statement
            for statement in statements
            if statement.upstream in self._registrations
            and self._statements.record(statement, is_held_here=is_held_here)
        ]
        for statement in changes:
            logger.info(
                "event=statement_passed_on upstream=%s incarnation_ms=%d "
                "limit_per_s=%s is_leaving=%s is_held_here=%s",
                statement.upstream,
                statement.incarnation_ms,
                statement.limit_per_s,
                statement.is_leaving,
                is_held_here,
            )
        return bool(changes)

    def entries(self, *, only_held_here: bool = False) -> tuple[EntryInfo, ...]:
        """Return the entry instances in the directory, sorted by name.

        Args:
            only_held_here: Return only those that read this instance's feed.
        """
        if only_held_here:
            return self._known_instances.connected_entries()
        return self._known_instances.all_entries(self._clock.monotonic_ms())

    def controls(self) -> tuple[ControlInfo, ...]:
        """Return this control instance and those whose feeds it reads."""
        return self._known_instances.live_controls()

    def set_entry(
        self, entry: EntryInfo, *, is_available: bool, reader: object
    ) -> None:
        """Record an entry instance that reads the feed and whether it takes callers."""
        if self._known_instances.set_entry(
            entry, is_available=is_available, reader=reader
        ):
            logger.info(
                "event=entry_%s instance=%s address=%s",
                "available" if is_available else "leaving",
                entry.instance,
                entry.address,
            )
            self._feed_server.notify()

    def remove_entry(self, entry: EntryInfo, *, reader: object) -> None:
        """Remove an entry instance unless it has opened another stream since."""
        if self._known_instances.remove_entry(entry, reader=reader):
            self._rollout.forget(entry.instance)
        self._feed_server.notify()

    def record_applied(self, instance: str, status: Status) -> None:
        """Record which configuration an entry instance reports that it applies."""
        self._rollout.record_status(instance, status)

    def overdue_readers(self) -> tuple[OverdueInstance, ...]:
        """Return the readers of this feed that do not apply a version in time."""
        return self._rollout.overdue_readers

    def add_control(self, control: ControlInfo) -> None:
        """Record a control instance that reads the feed."""
        self._known_instances.add_control(control)

    def _on_state_change(self) -> None:
        logger.info(
            "event=state_changed version=%d evacuated=%s",
            self._state.stored_configuration.version,
            ",".join(sorted(self._state.evacuated)),
        )
        self._rollout.record_commit(self._state.stored_configuration.version)
        self._merge_recorded_leaves()
        self._feed_server.notify()

    def _merge_recorded_leaves(self) -> None:
        """Merge leaves from the log, which survive the loss of all registrations."""
        table = self._state.leave_table
        now_ms = self._clock.monotonic_ms()
        for leave in table.changes_since(self._merged_leave_revision):
            self._registrations.merge(leave.registration, now_ms=now_ms)
        self._merged_leave_revision = table.revision

    # Channel

    async def _on_stream(self, hello: Any, stream: FrameStream) -> None:
        if isinstance(hello, Hello):
            await self._feed_server.serve(hello, stream)

    async def _on_call(self, request: Any) -> Any:
        if isinstance(request, ProposeRequest):
            return await self._group.handle_propose_request(request)
        if isinstance(request, ReadRequest):
            return await self._group.handle_read_request(request)
        if isinstance(request, AdmitRequest):
            self._known_instances.add_control(request.control)
            await self._group.handle_admit_request(request)
            return AdmitReply(controls=self._known_instances.live_controls())
        if isinstance(request, StopNotice):
            return await self._group.handle_stop_notice(request)
        if isinstance(request, LeaveRequest):
            return self.upstream_reports.record_peer_leave(request)
        return await self._group.replica.handle(request)

    # Operators

    async def commit(self, command: Command) -> None:
        """Commit an operator's command; see :meth:`ControlGroup.commit`."""
        self.metrics.count_events("command")
        await self._group.commit(command)

    async def order_evacuation(
        self,
        data_centre: str,
        is_evacuated: bool,
        *,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Commit an evacuation; see :meth:`ControlGroup.order_evacuation`."""
        self.metrics.count_events("command")
        await self._group.order_evacuation(
            data_centre, is_evacuated, is_abandoned=is_abandoned
        )

    async def has_confirmed(self, content: bytes) -> bool:
        """Return whether the group has confirmed a configuration with this content.

        Raises:
            UnavailableError: If this instance may lack the confirmation.
        """
        identity = self._identify(content)
        if identity not in self._state.accepted:
            await self._group.read_newest_version()
        return identity in self._state.accepted

    async def read_newest_configuration(self) -> StoredConfiguration:
        """Return the newest configuration.

        Raises:
            UnavailableError: If this instance cannot confirm which one is the newest.
        """
        await self._group.read_newest_version()
        return self._state.stored_configuration

    def describe_configuration(self) -> str:
        """Return the version held and the contact with the group, for log lines."""
        replica = self._group.replica
        return (
            f"version={self._state.stored_configuration.version} "
            f"version_age_ms={self._rollout.version_age_ms():.0f} "
            f"leader={replica.leader} contact_age_ms={replica.contact_age_ms():.0f}"
        )

    def _read_gauges(self) -> dict[str, float]:
        replica = self._group.replica
        return {
            "configuration_version": self._state.stored_configuration.version,
            "configuration_bytes": len(self._state.stored_configuration.content),
            "evacuated_data_centres": len(self._state.evacuated),
            "crashing_requests": len(self._state.crash_table.histories()),
            "group_current": float(self.is_current),
            "group_leader": float(replica.is_leader),
            "group_term": replica.term,
            "group_commit_index": replica.commit_index,
            "group_voters": len(replica.voters),
            "group_log_unsupported": float(replica.unsupported is not None),
            "upstreams": len(self._registrations),
            "registrations_revision": self._registrations.revision,
            "entries": len(self.entries()),
            "entries_overdue": len(self._rollout.all_overdue()),
            "controls": len(self.controls()),
        }

    def directory(self) -> tuple[list[EntryCandidate], dict[str, int]]:
        """Return the data from which directory requests are answered.

        Returns:
            The entry instances in the directory, and the number of services with a
            ready upstream by data centre, without evacuated data centres.
        """
        entry_candidates = [
            EntryCandidate(
                entry.address, entry.data_centre, entry.is_busy, entry.is_active
            )
            for entry in self.entries()
        ]
        return entry_candidates, self._registrations.ready_service_counts(
            self._state.evacuated
        )

    def dump(self) -> bytes:
        """Return the state for operators, as JSON."""
        return json.dumps(
            {
                "instance": self.settings.instance,
                "is_current": self.is_current,
                "version": self._state.stored_configuration.version,
                "evacuated": sorted(self._state.evacuated),
                "upstreams": len(self._registrations),
                "entries": [entry.instance for entry in self.entries()],
                "controls": [control.address for control in self.controls()],
                "configuration": self._rollout.dump(),
                "replica": self._group.replica.dump(),
            },
            default=str,
        ).encode()
