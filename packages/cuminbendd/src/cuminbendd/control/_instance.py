"""Wiring of a control instance."""

import asyncio
import json
import logging
import random
from typing import Any

from cuminbend.directory import EntryCandidate
from cuminbend.exceptions import UnavailableError
from cuminbend.newest import (
    Command,
    HighestVersionState,
    StoredConfiguration,
)
from cuminbend.ports import Clock, Disk
from cuminbend.registry import Registration, RegistrationTable

from cuminbendd.channel import ChannelServer, FrameStream, parse_address
from cuminbendd.control._group import ControlGroup
from cuminbendd.control._members import Members
from cuminbendd.control._settings import ControlSettings
from cuminbendd.feed import (
    CODEC,
    AdmitReply,
    AdmitRequest,
    ControlInfo,
    EntryInfo,
    FeedClient,
    FeedServer,
    Hello,
    ProposeRequest,
    ReadRequest,
    Status,
    Update,
)
from cuminbendd.logs import log_task_failure
from cuminbendd.metrics import Metrics

logger = logging.getLogger(__name__)

_TICK_MS = 100.0
# A tick that comes this late means that the process stood still; heartbeats that
# were due meanwhile are waiting to be read.
_PAUSE_MS = 1000.0
_ADMISSION_INTERVAL_MS = 500.0


class ControlInstance:
    """Replicated state, registrations of upstreams, and the directory.

    Args:
        settings: Settings of the instance.
        clock: Source of time.
        disk: The data folder.
    """

    def __init__(self, *, settings: ControlSettings, clock: Clock, disk: Disk) -> None:
        self.settings = settings
        self._clock = clock
        self._own = ControlInfo(
            address=settings.channel_address,
            announce_address=settings.announce_address,
            data_centre=settings.data_centre,
        )
        self._state = HighestVersionState()
        self._group = ControlGroup(
            settings=settings,
            clock=clock,
            disk=disk,
            state=self._state,
            own=self._own,
        )
        self._registrations = RegistrationTable(
            holder=settings.channel_address, silent_after_ms=settings.silent_after_ms
        )
        self._members = Members(own=self._own, lost_entries_ms=settings.lost_entries_ms)
        self._feed = FeedServer(source=self, clock=clock)
        self._state.on_change = self._on_state_change
        self._channel = ChannelServer(
            codec=CODEC, on_call=self._on_call, on_stream=self._on_stream
        )
        self._peer_feeds: dict[str, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._was_current = False
        self.metrics = Metrics(gauges=self._gauges)

    # Running

    async def start(self) -> None:
        """Listen and take part in the group.

        Raises:
            OSError: If the address is in use.
        """
        host, port = parse_address(self.settings.channel_address)
        await self._channel.start(host, port)
        self._tasks = [
            asyncio.ensure_future(self._group.run()),
            asyncio.ensure_future(self._tick()),
            asyncio.ensure_future(self._ask_for_admission()),
        ]
        logger.info(
            "event=started instance=%s role=control address=%s bootstraps=%s seeds=%s",
            self.settings.instance,
            self.settings.channel_address,
            self.settings.bootstraps,
            ",".join(self.settings.control_addresses),
        )

    async def stop(self) -> None:
        """Hand over and close."""
        logger.info("event=stopping instance=%s", self.settings.instance)
        await self._group.hand_over()
        await self.close()
        logger.info("event=stopped instance=%s", self.settings.instance)

    async def close(self) -> None:
        """Close everything at once."""
        for task in (*self._tasks, *self._peer_feeds.values()):
            task.cancel()
        await self._channel.close()
        self._group.close()

    async def wait(self) -> None:
        """Wait until a task fails, which ends the process."""
        await asyncio.gather(*self._tasks)

    async def _tick(self) -> None:
        last_ms = self._clock.monotonic_ms()
        while True:
            await asyncio.sleep(_TICK_MS / 1000)
            now_ms = self._clock.monotonic_ms()
            if now_ms - last_ms > _PAUSE_MS or not self.is_current:
                self._registrations.restart_silence_timers(now_ms=now_ms)
            last_ms = now_ms
            silent = self._registrations.expire(now_ms=now_ms)
            for registration in silent:
                logger.warning(
                    "event=upstream_silent upstream=%s service=%s sequence=%d",
                    registration.upstream,
                    registration.service,
                    registration.sequence,
                )
            self._note_current()
            self._follow_peers()
            if silent:
                self._feed.notify()

    def _note_current(self) -> None:
        if self.is_current != self._was_current:
            self._was_current = self.is_current
            logger.info(
                "event=%s leader=%s version=%d",
                "in_touch" if self._was_current else "out_of_touch",
                self._group.replica.leader,
                self._state.stored_configuration.version,
            )
            self._feed.notify()

    async def _ask_for_admission(self) -> None:
        while True:
            if self._group.needs_admission:
                for control in await self._group.ask_for_admission(self._peers()):
                    self._members.add_control(control)
            jitter = random.uniform(0.7, 1.3)
            await asyncio.sleep(jitter * _ADMISSION_INTERVAL_MS / 1000)

    # Other control instances

    def _peers(self) -> list[str]:
        """Return the channel addresses of all other control instances."""
        voters = {voter.instance for voter in self._group.replica.voters}
        known = {*self._members.known_controls(), *self.settings.control_addresses}
        return sorted((voters | known) - {self.settings.channel_address})

    def _follow_peers(self) -> None:
        """Read the feeds of the voters and of instances that may become one."""
        peers = self._peers()
        for address in set(self._peer_feeds) - set(peers):
            self._peer_feeds.pop(address).cancel()
            self._members.forget_control(address)
        for address in peers:
            if address not in self._peer_feeds:
                client = FeedClient(
                    sink=self,
                    clock=self._clock,
                    candidates=lambda address=address: [address],  # type: ignore[misc]
                    needs_current=False,
                )
                task = asyncio.ensure_future(client.run())
                task.add_done_callback(log_task_failure)
                self._peer_feeds[address] = task

    def hello(self) -> Hello:
        """Return what to tell another control instance first."""
        return Hello(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            entry=None,
            control=self._own,
            version=0,
        )

    def status(self) -> Status:
        """Return the heartbeat to send."""
        return Status(
            is_available=True,
            is_busy=False,
            is_active=False,
            version=self._state.stored_configuration.version,
        )

    def on_update(self, source: str, update: Update) -> None:
        """Take news of another control instance."""
        now_ms = self._clock.monotonic_ms()
        self._members.set_live(source)
        for control in update.controls or ():
            self._members.add_control(control)
        if update.entries is not None:
            self._members.set_peer_entries(source, update.entries)
        before = self._registrations.revision
        for registration in update.registrations:
            self._registrations.merge(registration, now_ms=now_ms)
        if self._registrations.revision != before or update.entries is not None:
            self._feed.notify()

    def on_source_lost(self, source: str) -> None:
        """Take over the upstreams that another control instance looked after."""
        now_ms = self._clock.monotonic_ms()
        self._members.set_lost(source, now_ms)
        self._registrations.take_over_from(source, now_ms=now_ms)

    # Feed

    @property
    def is_current(self) -> bool:
        """Whether this instance is in touch with a majority of the group."""
        max_contact_age_ms = self.settings.current_within_ms
        return self._group.replica.is_current(max_contact_age_ms=max_contact_age_ms)

    @property
    def stored_configuration(self) -> StoredConfiguration:
        """Configuration in force."""
        return self._state.stored_configuration

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres that get no work."""
        return self._state.evacuated

    @property
    def revision(self) -> int:
        """Revision of the registrations."""
        return self._registrations.revision

    def changes_since(
        self, revision: int, *, only_held_here: bool
    ) -> tuple[Registration, ...]:
        """Return the registrations that changed after a revision."""
        now_ms = self._clock.monotonic_ms()
        return tuple(
            self._registrations.changes_since(
                revision, now_ms=now_ms, only_held_here=only_held_here
            )
        )

    def entries(self, *, only_held_here: bool = False) -> tuple[EntryInfo, ...]:
        """Return the entry instances in the directory."""
        if only_held_here:
            return self._members.own_entries()
        return self._members.all_entries(self._clock.monotonic_ms())

    def controls(self) -> tuple[ControlInfo, ...]:
        """Return the control instances known here."""
        return self._members.live_controls()

    def set_entry(
        self, entry: EntryInfo, *, is_available: bool, reader: object
    ) -> None:
        """Note that an entry instance reads the feed, and whether it takes callers."""
        if self._members.set_entry(entry, is_available=is_available, reader=reader):
            logger.info(
                "event=entry_%s instance=%s address=%s",
                "available" if is_available else "leaving",
                entry.instance,
                entry.address,
            )
            self._feed.notify()

    def remove_entry(self, entry: EntryInfo, *, reader: object) -> None:
        """Note that a stream to an entry instance has ended."""
        self._members.remove_entry(entry, reader=reader)
        self._feed.notify()

    def add_control(self, control: ControlInfo) -> None:
        """Note that a control instance reads the feed."""
        self._members.add_control(control)

    def _on_state_change(self) -> None:
        logger.info(
            "event=state_changed version=%d evacuated=%s",
            self._state.stored_configuration.version,
            ",".join(sorted(self._state.evacuated)),
        )
        self._feed.notify()

    # Channel

    async def _on_stream(self, hello: Any, stream: FrameStream) -> None:
        if isinstance(hello, Hello):
            await self._feed.serve(hello, stream)

    async def _on_call(self, request: Any) -> Any:
        if isinstance(request, ProposeRequest):
            return await self._group.propose(request)
        if isinstance(request, ReadRequest):
            return await self._group.read(request)
        if isinstance(request, AdmitRequest):
            self._members.add_control(request.control)
            await self._group.admit(request)
            return AdmitReply(controls=self._members.live_controls())
        return await self._group.replica.handle(request)

    # Upstreams

    def announce(self, registration: Registration) -> str:
        """Take a heartbeat of an upstream.

        Returns:
            The address at which the upstream should send its next ones.

        Raises:
            UnavailableError: If this instance could not tell the others about it.
        """
        before = self._registrations.revision
        now_ms = self._clock.monotonic_ms()
        if not self._registrations.merge(registration, now_ms=now_ms):
            logger.info(
                "event=heartbeat_stale upstream=%s incarnation_ms=%d sequence=%d",
                registration.upstream,
                registration.incarnation_ms,
                registration.sequence,
            )
        if self._registrations.revision != before:
            logger.info(
                "event=upstream_%s upstream=%s service=%s address=%s data_centre=%s "
                "incarnation_ms=%d sequence=%d cold_left_ms=%.0f",
                registration.state.name.lower(),
                registration.upstream,
                registration.service,
                registration.address,
                registration.data_centre,
                registration.incarnation_ms,
                registration.sequence,
                registration.cold_left_ms,
            )
            self._feed.notify()
        self.metrics.count("heartbeat")
        # What was heard counts even if it is not acknowledged: after a restart of
        # the whole group, everything is known once a leader is.
        self._check_current()
        return self._members.announce_address_near(registration.data_centre)

    def withdraw(self, upstream: str) -> None:
        """Take the message of an upstream that it leaves for good.

        Raises:
            UnavailableError: If this instance could not tell the others about it.
        """
        self._check_current()
        self._registrations.mark_gone(upstream, now_ms=self._clock.monotonic_ms())
        logger.info("event=upstream_withdrawn upstream=%s", upstream)
        self._feed.notify()

    def _check_current(self) -> None:
        if not self.is_current:
            raise UnavailableError(
                "this instance is not in touch with its control group; send the "
                "message to another one",
                retry_after_ms=200,
            )

    # Operators

    async def commit(self, command: Command) -> None:
        """Commit an operator's command; see :meth:`ControlGroup.commit`."""
        self.metrics.count("command")
        await self._group.commit(command)

    async def read_newest_configuration(self) -> StoredConfiguration:
        """Return the newest configuration.

        Raises:
            UnavailableError: If this instance cannot be sure which one it is.
        """
        await self._group.newest_version()
        return self._state.stored_configuration

    def _gauges(self) -> dict[str, float]:
        replica = self._group.replica
        return {
            "configuration_version": self._state.stored_configuration.version,
            "configuration_bytes": len(self._state.stored_configuration.content),
            "evacuated_data_centres": len(self._state.evacuated),
            "group_current": float(self.is_current),
            "group_leader": float(replica.is_leader),
            "group_term": replica.term,
            "group_commit_index": replica.commit_index,
            "group_voters": len(replica.voters),
            "upstreams": len(self._registrations),
            "registrations_revision": self._registrations.revision,
            "entries": len(self.entries()),
            "controls": len(self.controls()),
        }

    def directory(self) -> tuple[list[EntryCandidate], dict[str, int]]:
        """Return the entry instances, and the services that each data centre has."""
        places = [
            EntryCandidate(
                entry.address, entry.data_centre, entry.is_busy, entry.is_active
            )
            for entry in self.entries()
        ]
        return places, self._registrations.ready_service_counts(self._state.evacuated)

    def dump(self) -> bytes:
        """Return the state for operators, as JSON."""
        return json.dumps(
            {
                "instance": self.settings.instance,
                "is_current": self.is_current,
                "version": self._state.stored_configuration.version,
                "evacuated": sorted(self._state.evacuated),
                "upstreams": len(self._registrations),
                "entries": [item.instance for item in self.entries()],
                "controls": [item.address for item in self.controls()],
                "replica": self._group.replica.dump(),
            },
            default=str,
        ).encode()
