"""Session client of an instance: maintains its lease, view and owned upstreams."""

import logging
from dataclasses import dataclass, replace

import anyio
from anyio.abc import TaskGroup, TaskStatus

from cuminbend.config import parse_accepted_configuration
from cuminbend.exceptions import (
    ConfigurationError,
    CuminbendError,
    NotLeaderError,
    PeerUnreachableError,
)
from cuminbend.messages import (
    Announcement,
    GateHandover,
    InstanceInfo,
    OwnedUpstream,
    PollReply,
    PollRequest,
    UpstreamRecord,
    UpstreamState,
)
from cuminbend.ports import Clock, PollTransport, RandomSource, milliseconds
from cuminbend.sessions._announcements import (
    check_announcement,
    is_significant_change,
    is_superseded,
)
from cuminbend.sessions._lease import Lease
from cuminbend.sessions._protocols import OwnershipListener
from cuminbend.sessions._settings import SessionSettings
from cuminbend.sessions._view import SessionView
from cuminbend.sessions._voters import VoterChoice
from cuminbend.sessions._waiting import MIN_PAUSE_MS

__all__ = ["SessionClient"]

_log = logging.getLogger(__name__)

# Limit of requests in flight with which a gate starts an upstream that is cold.
_COLD_LIMIT = 1
# Minimum load change that no announcement reaches, because the load is between 0 and 1.
# A change of the load alone therefore does not interrupt a poll.
_UNREACHABLE_LOAD_CHANGE = 2.0


@dataclass(frozen=True, slots=True)
class _ReceivedAnnouncement:
    """An announcement that this instance received from an upstream.

    Attributes:
        at_ms: Monotonic time of its arrival.
    """

    announcement: Announcement
    at_ms: float


class SessionClient:
    """Polls the leader and applies its replies.

    Args:
        info: Description of this instance for the directory.
        boot_id: Identifier that is unique per process start.
        listener: Receives granted and revoked upstreams and their announcements.
        view: View to update; a new one is created if None.
    """

    def __init__(
        self,
        *,
        settings: SessionSettings,
        info: InstanceInfo,
        transport: PollTransport,
        clock: Clock,
        random: RandomSource,
        boot_id: str,
        listener: OwnershipListener,
        view: SessionView | None = None,
    ) -> None:
        self._settings = settings
        self._info = info
        self._transport = transport
        self._clock = clock
        self._boot_id = boot_id
        self._listener = listener
        self._voters = VoterChoice(settings=settings, clock=clock, random=random)
        self.view = view or SessionView(
            lease=Lease(clock=clock, lease_ms=settings.lease_ms),
            clock=clock,
            local_data_centre=info.data_centre,
        )
        self._term = -1
        self._term_since_ms = 0.0
        self._registry_version = 0
        # Grant ids increase with each grant. A grant whose id is not above this one and
        # which is not held was released or skipped here and must not be accepted.
        self._highest_void_grant_id = 0
        self._releasing: dict[str, OwnedUpstream] = {}
        self._released: dict[str, tuple[int, GateHandover]] = {}
        self._received: dict[str, _ReceivedAnnouncement] = {}
        self._queued_announcements: dict[str, Announcement] = {}
        self._has_left_directory = False
        self._state_changed = anyio.Event()
        self._poll_scope: anyio.CancelScope | None = None
        self._poll_at_once = False
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._watch_lease)
            while True:
                await self._poll()

    def announce(self, announcement: Announcement) -> None:
        """Accept an announcement of an upstream and forward it with the next poll.

        A superseded announcement is ignored.

        Raises:
            InvalidRequestError: If it contradicts an earlier announcement.
        """
        upstream = announcement.upstream
        known = self._latest_announcement(upstream)
        check_announcement(announcement, known)
        if is_superseded(announcement, known):
            return
        self._received[upstream] = _ReceivedAnnouncement(
            announcement, self._clock.monotonic_ms()
        )
        self._queued_announcements[upstream] = announcement
        if upstream in self.view.owned and announcement != known:
            self._listener.update_announcement(announcement)
        if announcement.state is UpstreamState.LEAVING:
            self._mark_leaving(announcement)
        if is_significant_change(announcement, known, _UNREACHABLE_LOAD_CHANGE):
            self._trigger_poll()

    def start_draining(self) -> None:
        """Ask the leader to revoke all grants of this instance and not to list it."""
        self._info = replace(self._info, draining=True)
        self._trigger_poll()

    async def wait_until_released(self) -> None:
        """Wait until a draining instance owns no upstream and is no longer listed."""
        while not (
            self._has_left_directory
            and not self.view.owned
            and not self._releasing
            and not self._released
        ):
            await self._state_changed.wait()

    def _latest_announcement(self, upstream: str) -> Announcement | None:
        now_ms = self._clock.monotonic_ms()
        received = self._received.get(upstream)
        if received and now_ms - received.at_ms > received.announcement.ttl_ms:
            del self._received[upstream]
            received = None
        record = self.view.upstreams.get(upstream)
        if record is None:
            return received.announcement if received else None
        if received is None or is_superseded(
            received.announcement, record.announcement
        ):
            return record.announcement
        return received.announcement

    def _mark_leaving(self, announcement: Announcement) -> None:
        record = self.view.upstreams.get(announcement.upstream)
        if record is not None:
            marked = replace(record, announcement=announcement)
            self.view.upstreams[announcement.upstream] = marked
            self.view.reindex()

    # Polling

    def _trigger_poll(self) -> None:
        """Start the next poll without delay; interrupts a poll that may be held.

        The poll after an interrupted one is not held and cannot be interrupted, so
        frequent announcements cannot prevent replies and thereby end the lease.
        """
        self._poll_at_once = True
        if self._poll_scope is not None:
            self._poll_scope.cancel()

    async def _poll(self) -> None:
        voter = self._voters.choose_voter()
        may_hold = not (self._poll_at_once or self._term < 0)
        request = self._build_request(self._settings.poll_wait_ms if may_hold else 0)
        self._poll_at_once = False
        sent_ms = self._clock.monotonic_ms()
        timeout_ms = request.wait_ms + self._settings.poll_timeout_ms
        reply: PollReply | None = None
        try:
            with anyio.CancelScope() as scope:
                self._poll_scope = scope if may_hold else None
                reply = await self._transport.poll(voter, request, timeout_ms)
        except PeerUnreachableError:
            _log.warning("event=poll_unanswered voter=%s", voter)
            await self._clock.sleep(
                milliseconds(self._voters.record_unreachable(voter))
            )
        except NotLeaderError as error:
            await self._clock.sleep(
                milliseconds(self._voters.record_not_leading(voter, error.leader))
            )
        except CuminbendError as error:
            _log.warning("event=poll_refused voter=%s error=%r", voter, str(error))
            await self._clock.sleep(
                milliseconds(self._voters.record_unreachable(voter))
            )
        finally:
            self._poll_scope = None
        if reply is not None:
            await self._process_reply(voter, request, sent_ms, reply)

    async def _process_reply(
        self, voter: str, request: PollRequest, sent_ms: float, reply: PollReply
    ) -> None:
        if reply.term < self._term:
            # The reply is from a former leader; the voter does not know the newer one.
            await self._clock.sleep(
                milliseconds(self._voters.record_not_leading(voter, None))
            )
            return
        self._voters.record_answer(voter, reply.leader)
        await self._apply_reply(request, sent_ms, reply)

    def _build_request(self, wait_ms: int) -> PollRequest:
        held = [*self.view.owned.values(), *self._releasing.values()]
        # `owned` also contains released grants, because a handover has no grant id and
        # a delayed copy of a release must not release a newer grant.
        owned = [(grant.upstream, grant.grant_id) for grant in held]
        owned += [(name, grant_id) for name, (grant_id, _) in self._released.items()]
        return PollRequest(
            info=self._info,
            boot_id=self._boot_id,
            configuration_version=self.view.configuration_version,
            registry_version=self._registry_version,
            owned=tuple(owned),
            released=tuple(handover for _, handover in self._released.values()),
            announcements=tuple(self._queued_announcements.values()),
            wait_ms=wait_ms,
        )

    # Applying a reply

    async def _apply_reply(
        self, request: PollRequest, sent_ms: float, reply: PollReply
    ) -> None:
        self._remove_sent_items(request)
        if reply.term > self._term:
            self._term = reply.term
            self._term_since_ms = self._clock.monotonic_ms()
            self._queue_known_announcements()
        view = self.view
        view.set_attribute("leader", reply.leader)
        view.set_attribute("in_force_version", reply.in_force_version)
        self._apply_configuration(reply)
        if not view.lease.is_valid():
            # Must precede the extension, after which the lost grants would look valid.
            await self._start_releases(*view.owned)
        if reply.configuration_version == view.configuration_version:
            view.lease.extend(
                poll_sent_ms=sent_ms, confirmed_age_ms=reply.confirmed_age_ms
            )
        view.set_attribute("quarantined", frozenset(reply.quarantined))
        view.set_attribute("suspects", dict(reply.suspects))
        self._apply_directory(request, reply)
        if reply.upstreams is not None:
            self._apply_registry(reply.upstreams, reply.registry_version)
        if view.lease.is_valid():
            await self._apply_grants(reply)
        self._notify_waiters()

    def _remove_sent_items(self, request: PollRequest) -> None:
        released = {handover.upstream for handover in request.released}
        for upstream, grant_id in request.owned:
            pending = self._released.get(upstream)
            if upstream in released and pending and pending[0] == grant_id:
                del self._released[upstream]
        for announcement in request.announcements:
            if self._queued_announcements.get(announcement.upstream) is announcement:
                del self._queued_announcements[announcement.upstream]

    def _queue_known_announcements(self) -> None:
        """Queue all known announcements for a new leader, which has no state."""
        for upstream in {*self.view.owned, *self._received}:
            known = self._latest_announcement(upstream)
            if known is not None:
                self._queued_announcements.setdefault(upstream, known)
        self._poll_at_once = True

    def _apply_configuration(self, reply: PollReply) -> None:
        version, text = reply.configuration_version, reply.configuration_text
        if text is None or version <= self.view.configuration_version:
            return
        try:
            accepted = parse_accepted_configuration(text)
        except ConfigurationError as error:
            # The lease is not extended until a later version can be read here.
            _log.error(
                "event=configuration_unreadable version=%d error=%r remedy=%r",
                version,
                str(error),
                "upgrade this instance or apply a file that it supports",
            )
            return
        if accepted.problems:
            _log.error(
                "event=configuration_in_part version=%d error=%r remedy=%r",
                version,
                "; ".join(accepted.problems),
                "upgrade this instance or apply a file that it supports",
            )
        self.view.set_attribute("configuration", accepted.configuration)
        self.view.set_attribute("configuration_version", version)
        self.view.set_attribute("configuration_text", text)
        self._store_directory(self.view.instances)
        self.view.reindex()
        # The next poll acknowledges the version.
        self._poll_at_once = True
        _log.info("event=configuration_in_force version=%d", version)

    def _apply_directory(self, request: PollRequest, reply: PollReply) -> None:
        # A new leader sends an empty directory until all instances had time to poll it.
        now_ms = self._clock.monotonic_ms()
        if reply.instances or now_ms >= self._term_since_ms + self._settings.lease_ms:
            self._store_directory(reply.instances)
            self._has_left_directory = request.info.draining and not any(
                info.instance == self._info.instance for info in reply.instances
            )

    def _store_directory(self, instances: tuple[InstanceInfo, ...]) -> None:
        if self.view.configuration is not None:
            instances = tuple(
                info for info in instances if self.view.is_in_service(info.data_centre)
            )
        self.view.set_attribute("instances", instances)

    def _apply_registry(
        self, records: tuple[UpstreamRecord, ...], version: int
    ) -> None:
        upstreams = {record.announcement.upstream: record for record in records}
        self._registry_version = version
        for upstream in self.view.owned:
            new, known = upstreams.get(upstream), self._latest_announcement(upstream)
            if new is None or is_superseded(new.announcement, known):
                continue
            if new.announcement != known:
                self._listener.update_announcement(new.announcement)
        self.view.set_attribute("upstreams", upstreams)
        for received in self._received.values():
            if received.announcement.state is UpstreamState.LEAVING:
                self._mark_leaving(received.announcement)
        self.view.reindex()

    async def _apply_grants(self, reply: PollReply) -> None:
        granted = {grant.upstream: grant for grant in reply.owned}
        for upstream, held in list(self.view.owned.items()):
            offered = granted.get(upstream)
            if offered is None or offered.grant_id != held.grant_id:
                await self._start_releases(upstream)
        for upstream, grant in granted.items():
            if upstream in self.view.owned or upstream in self._releasing:
                continue
            if grant.grant_id <= self._highest_void_grant_id:
                self._refuse_grants(upstream, grant.grant_id)
            else:
                self._accept_grant(grant)
        # The leader takes grant ids and registry versions from one counter, so every
        # grant decided before this reply has an id up to the registry version.
        self._highest_void_grant_id = max(
            self._highest_void_grant_id, reply.registry_version
        )
        for upstream in reply.revoked:
            # The reply that contained the grant was lost.
            if upstream not in self.view.owned and upstream not in self._releasing:
                self._refuse_grants(upstream, self._highest_void_grant_id)

    def _accept_grant(self, grant: OwnedUpstream) -> None:
        record = self.view.upstreams.get(grant.upstream)
        if record is None:
            return
        self.view.owned[grant.upstream] = grant
        self.view.changed_at["owned"] = self._clock.now()
        self._listener.add_upstream(grant, record.announcement)

    def _refuse_grants(self, upstream: str, grant_id: int) -> None:
        """Report unaccepted grants of an upstream up to an id as released."""
        if upstream in self._released:
            return
        record = self.view.upstreams.get(upstream)
        handover = GateHandover(
            upstream=upstream,
            incarnation=record.announcement.incarnation if record else 0,
            limit=_COLD_LIMIT,
        )
        self._released[upstream] = (grant_id, handover)
        self._poll_at_once = True

    # Releasing upstreams

    async def _start_releases(self, *upstreams: str) -> None:
        """Start to release upstreams; return when the listener was called for each."""
        assert self._tasks is not None
        for upstream in upstreams:
            grant = self.view.owned.pop(upstream, None)
            if grant is not None:
                self.view.changed_at["owned"] = self._clock.now()
                self._releasing[upstream] = grant
                await self._tasks.start(self._release_grant, grant)

    async def _release_grant(
        self, grant: OwnedUpstream, *, task_status: TaskStatus[None]
    ) -> None:
        # The starting task continues only when this task waits, which is not before the
        # call of `release_upstream`.
        task_status.started()
        handover = await self._listener.release_upstream(grant.upstream)
        del self._releasing[grant.upstream]
        self._released[grant.upstream] = (grant.grant_id, handover)
        self._notify_waiters()
        self._trigger_poll()

    async def _watch_lease(self) -> None:
        """Release all upstreams when the lease expires."""
        lease = self.view.lease
        while True:
            if self.view.owned and not lease.is_valid():
                _log.warning("event=lease_expired instance=%s", self._info.instance)
                await self._start_releases(*self.view.owned)
                self._notify_waiters()
            pause_ms = lease.remaining_ms() or self._settings.poll_wait_ms
            await self._clock.sleep(milliseconds(max(pause_ms, MIN_PAUSE_MS)))

    def _notify_waiters(self) -> None:
        self._state_changed.set()
        self._state_changed = anyio.Event()
