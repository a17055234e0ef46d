"""Instance side: keeps the lease, the view and the set of owned upstreams."""

import logging
from dataclasses import dataclass, replace

import anyio
from anyio.abc import TaskGroup, TaskStatus

from cuminbend.config import parse_configuration
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
    differs,
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

# A limit of one request in flight is that of a gate in a cold start.
_COLD_LIMIT = 1
# A change of the load alone does not cut a poll short.
_IGNORE_LOAD = 2.0


@dataclass(frozen=True, slots=True)
class _Heard:
    """An announcement that an upstream made to this instance."""

    announcement: Announcement
    at_ms: float


class SessionClient:
    """Polls the leader and applies its replies.

    Args:
        info: This instance as the directory lists it.
        boot_id: Unique per process start.
        listener: Is told about granted and revoked upstreams.
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
        # Grant ids grow with each grant, so one that is not above this and not held
        # was given up or passed over here and must not be taken up any more.
        self._void_up_to = 0
        self._releasing: dict[str, OwnedUpstream] = {}
        self._released: dict[str, tuple[int, GateHandover]] = {}
        self._heard: dict[str, _Heard] = {}
        self._queue: dict[str, Announcement] = {}
        self._out_of_directory = False
        self._changed = anyio.Event()
        self._poll_scope: anyio.CancelScope | None = None
        self._wake_pending = False
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._watch_lease)
            while True:
                await self._poll()

    def announce(self, announcement: Announcement) -> None:
        """Take an announcement from an upstream and pass it on with the next poll.

        Raises:
            InvalidRequestError: If it contradicts an earlier one.
        """
        upstream = announcement.upstream
        known = self._known(upstream)
        check_announcement(announcement, known)
        if is_superseded(announcement, known):
            return
        self._heard[upstream] = _Heard(announcement, self._clock.monotonic_ms())
        self._queue[upstream] = announcement
        if upstream in self.view.owned and announcement != known:
            self._listener.update_announcement(announcement)
        if announcement.state is UpstreamState.LEAVING:
            self._mark_leaving(announcement)
        if differs(announcement, known, _IGNORE_LOAD):
            self._wake()

    def start_draining(self) -> None:
        """Ask the leader to take this instance out of the directory and its grants."""
        self._info = replace(self._info, draining=True)
        self._wake()

    async def wait_until_released(self) -> None:
        """Wait until a draining instance owns nothing and has left the directory."""
        while not (
            self._out_of_directory
            and not self.view.owned
            and not self._releasing
            and not self._released
        ):
            await self._changed.wait()

    def _known(self, upstream: str) -> Announcement | None:
        now_ms = self._clock.monotonic_ms()
        heard = self._heard.get(upstream)
        if heard and now_ms - heard.at_ms > heard.announcement.ttl_ms:
            del self._heard[upstream]
            heard = None
        record = self.view.upstreams.get(upstream)
        if record is None:
            return heard.announcement if heard else None
        if heard is None or is_superseded(heard.announcement, record.announcement):
            return record.announcement
        return heard.announcement

    def _mark_leaving(self, announcement: Announcement) -> None:
        record = self.view.upstreams.get(announcement.upstream)
        if record is not None:
            marked = replace(record, announcement=announcement)
            self.view.upstreams[announcement.upstream] = marked
            self.view.reindex()

    # Polling

    def _wake(self) -> None:
        """Make the next poll start at once.

        The poll after one that was cut short is not held and cannot be cut short, so
        frequent announcements cannot keep every reply, and with it the lease, away.
        """
        self._wake_pending = True
        if self._poll_scope is not None:
            self._poll_scope.cancel()

    async def _poll(self) -> None:
        voter = self._voters.choose()
        hold = not (self._wake_pending or self._term < 0)
        request = self._request(self._settings.poll_wait_ms if hold else 0)
        self._wake_pending = False
        sent_ms = self._clock.monotonic_ms()
        timeout_ms = request.wait_ms + self._settings.poll_timeout_ms
        reply: PollReply | None = None
        try:
            with anyio.CancelScope() as scope:
                self._poll_scope = scope if hold else None
                reply = await self._transport.poll(voter, request, timeout_ms)
        except PeerUnreachableError:
            _log.warning("event=poll_unanswered voter=%s", voter)
            await self._clock.sleep(milliseconds(self._voters.unreachable(voter)))
        except NotLeaderError as error:
            await self._clock.sleep(
                milliseconds(self._voters.not_leading(voter, error.leader))
            )
        except CuminbendError as error:
            _log.warning("event=poll_refused voter=%s error=%r", voter, str(error))
            await self._clock.sleep(milliseconds(self._voters.unreachable(voter)))
        finally:
            self._poll_scope = None
        if reply is not None:
            await self._take_reply(voter, request, sent_ms, reply)

    async def _take_reply(
        self, voter: str, request: PollRequest, sent_ms: float, reply: PollReply
    ) -> None:
        if reply.term < self._term:
            # The voter has not heard of the newer leader yet.
            await self._clock.sleep(milliseconds(self._voters.not_leading(voter, None)))
            return
        self._voters.answered(voter, reply.leader)
        await self._apply(request, sent_ms, reply)

    def _request(self, wait_ms: int) -> PollRequest:
        held = [*self.view.owned.values(), *self._releasing.values()]
        # A released grant is named in `owned` too, because a handover does not carry
        # its grant id and a late copy must not release a newer grant.
        owned = [(grant.upstream, grant.grant_id) for grant in held]
        owned += [(name, grant_id) for name, (grant_id, _) in self._released.items()]
        return PollRequest(
            info=self._info,
            boot_id=self._boot_id,
            configuration_version=self.view.configuration_version,
            registry_version=self._registry_version,
            owned=tuple(owned),
            released=tuple(handover for _, handover in self._released.values()),
            announcements=tuple(self._queue.values()),
            wait_ms=wait_ms,
        )

    # Applying a reply

    async def _apply(
        self, request: PollRequest, sent_ms: float, reply: PollReply
    ) -> None:
        self._forget_sent(request)
        if reply.term > self._term:
            self._term = reply.term
            self._term_since_ms = self._clock.monotonic_ms()
            self._report_everything()
        view = self.view
        view.set("leader", reply.leader)
        view.set("in_force_version", reply.in_force_version)
        self._take_configuration(reply)
        if not view.lease.is_valid():
            # Before the extension, which would make the lost grants look valid.
            await self._give_up(*view.owned)
        if reply.configuration_version == view.configuration_version:
            view.lease.extend(
                poll_sent_ms=sent_ms, confirmed_age_ms=reply.confirmed_age_ms
            )
        view.set("quarantined", frozenset(reply.quarantined))
        view.set("suspects", dict(reply.suspects))
        self._take_directory(request, reply)
        if reply.upstreams is not None:
            self._take_registry(reply.upstreams, reply.registry_version)
        if view.lease.is_valid():
            await self._take_grants(reply)
        self._notify()

    def _forget_sent(self, request: PollRequest) -> None:
        released = {handover.upstream for handover in request.released}
        for upstream, grant_id in request.owned:
            pending = self._released.get(upstream)
            if upstream in released and pending and pending[0] == grant_id:
                del self._released[upstream]
        for announcement in request.announcements:
            if self._queue.get(announcement.upstream) is announcement:
                del self._queue[announcement.upstream]

    def _report_everything(self) -> None:
        """Queue all that a new leader cannot know."""
        for upstream in {*self.view.owned, *self._heard}:
            known = self._known(upstream)
            if known is not None:
                self._queue.setdefault(upstream, known)
        self._wake_pending = True

    def _take_configuration(self, reply: PollReply) -> None:
        version, text = reply.configuration_version, reply.configuration_text
        if text is None or version <= self.view.configuration_version:
            return
        try:
            configuration = parse_configuration(text)
        except ConfigurationError as error:
            # The lease runs out unless a version follows that can be read here.
            _log.error(
                "event=configuration_unreadable version=%d error=%r remedy=%r",
                version,
                str(error),
                "upgrade this instance or apply a file that it supports",
            )
            return
        self.view.set("configuration", configuration)
        self.view.set("configuration_version", version)
        self.view.set("configuration_text", text)
        self._keep_directory(self.view.instances)
        self.view.reindex()
        # Acknowledges the version without delay.
        self._wake_pending = True
        _log.info("event=configuration_in_force version=%d", version)

    def _take_directory(self, request: PollRequest, reply: PollReply) -> None:
        # A new leader sends none until it has heard from all instances.
        now_ms = self._clock.monotonic_ms()
        if reply.instances or now_ms >= self._term_since_ms + self._settings.lease_ms:
            self._keep_directory(reply.instances)
            self._out_of_directory = request.info.draining and not any(
                info.instance == self._info.instance for info in reply.instances
            )

    def _keep_directory(self, instances: tuple[InstanceInfo, ...]) -> None:
        if self.view.configuration is not None:
            instances = tuple(
                info for info in instances if self.view.is_in_service(info.data_centre)
            )
        self.view.set("instances", instances)

    def _take_registry(self, records: tuple[UpstreamRecord, ...], version: int) -> None:
        upstreams = {record.announcement.upstream: record for record in records}
        self._registry_version = version
        for upstream in self.view.owned:
            new, known = upstreams.get(upstream), self._known(upstream)
            if new is None or is_superseded(new.announcement, known):
                continue
            if new.announcement != known:
                self._listener.update_announcement(new.announcement)
        self.view.set("upstreams", upstreams)
        for heard in self._heard.values():
            if heard.announcement.state is UpstreamState.LEAVING:
                self._mark_leaving(heard.announcement)
        self.view.reindex()

    async def _take_grants(self, reply: PollReply) -> None:
        granted = {grant.upstream: grant for grant in reply.owned}
        for upstream, held in list(self.view.owned.items()):
            offered = granted.get(upstream)
            if offered is None or offered.grant_id != held.grant_id:
                await self._give_up(upstream)
        for upstream, grant in granted.items():
            if upstream in self.view.owned or upstream in self._releasing:
                continue
            if grant.grant_id <= self._void_up_to:
                self._refuse(upstream, grant.grant_id)
            else:
                self._accept(grant)
        # Both numbers come from one counter of the leader, so every grant decided
        # before this reply has an id up to the registry version.
        self._void_up_to = max(self._void_up_to, reply.registry_version)
        for upstream in reply.revoked:
            # Its grant was in a reply that was lost.
            if upstream not in self.view.owned and upstream not in self._releasing:
                self._refuse(upstream, self._void_up_to)

    def _accept(self, grant: OwnedUpstream) -> None:
        record = self.view.upstreams.get(grant.upstream)
        if record is None:
            return
        self.view.owned[grant.upstream] = grant
        self.view.changed_at["owned"] = self._clock.now()
        self._listener.add_upstream(grant, record.announcement)

    def _refuse(self, upstream: str, grant_id: int) -> None:
        """Release all grants of an upstream up to an id, which were not taken up."""
        if upstream in self._released:
            return
        record = self.view.upstreams.get(upstream)
        handover = GateHandover(
            upstream=upstream,
            incarnation=record.announcement.incarnation if record else 0,
            limit=_COLD_LIMIT,
        )
        self._released[upstream] = (grant_id, handover)
        self._wake_pending = True

    # Giving up upstreams

    async def _give_up(self, *upstreams: str) -> None:
        """Start to release upstreams; return when the listener knows of it."""
        assert self._tasks is not None
        for upstream in upstreams:
            grant = self.view.owned.pop(upstream, None)
            if grant is not None:
                self.view.changed_at["owned"] = self._clock.now()
                self._releasing[upstream] = grant
                await self._tasks.start(self._release, grant)

    async def _release(
        self, grant: OwnedUpstream, *, task_status: TaskStatus[None]
    ) -> None:
        # The starter goes on only when this task waits, that is, within
        # `release_upstream`.
        task_status.started()
        handover = await self._listener.release_upstream(grant.upstream)
        del self._releasing[grant.upstream]
        self._released[grant.upstream] = (grant.grant_id, handover)
        self._notify()
        self._wake()

    async def _watch_lease(self) -> None:
        """Give up all upstreams when the lease runs out."""
        lease = self.view.lease
        while True:
            if self.view.owned and not lease.is_valid():
                _log.warning("event=lease_expired instance=%s", self._info.instance)
                await self._give_up(*self.view.owned)
                self._notify()
            pause_ms = lease.remaining_ms() or self._settings.poll_wait_ms
            await self._clock.sleep(milliseconds(max(pause_ms, MIN_PAUSE_MS)))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
