"""Leader side: sessions, upstream registry, ownership and directory."""

import logging
from dataclasses import asdict, dataclass
from typing import Any

import anyio

from cuminbend.exceptions import InvalidRequestError, NotLeaderError
from cuminbend.messages import (
    Announcement,
    InstanceInfo,
    OwnedUpstream,
    PollReply,
    PollRequest,
    UpstreamRecord,
)
from cuminbend.ports import Clock
from cuminbend.sessions._allocation import Placement, connection_cap
from cuminbend.sessions._announcements import (
    check_announcement,
    differs,
    is_superseded,
)
from cuminbend.sessions._protocols import ConfigurationSource, Leadership
from cuminbend.sessions._settings import CoordinatorSettings
from cuminbend.sessions._tables import Entry, Former, Grant, Session
from cuminbend.sessions._waiting import wait_event

__all__ = ["InForce", "SessionCoordinator"]

_log = logging.getLogger(__name__)

# Grant ids and registry versions come from one counter, with the term above this bit,
# so that those of a later leader are higher without any shared state.
_TERM_SHIFT = 32


@dataclass(frozen=True, slots=True)
class InForce:
    """Where a configuration version is in force.

    Attributes:
        acknowledged: Instances that have it in force.
        pending: Instances that may still work under an earlier version.
        everywhere: Whether no instance can work under an earlier version.
        within_ms: Time after which it is in force everywhere in any case.
    """

    version: int
    acknowledged: tuple[str, ...]
    pending: tuple[str, ...]
    everywhere: bool
    within_ms: float


class SessionCoordinator:
    """Answers polls while this voter leads.

    All state is lost when the term changes and is rebuilt from polls.
    """

    def __init__(
        self,
        *,
        settings: CoordinatorSettings,
        clock: Clock,
        leadership: Leadership,
        configuration: ConfigurationSource,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._leadership = leadership
        self._configuration = configuration
        self._changed = anyio.Event()
        self._reset(-1)

    def _reset(self, term: int) -> None:
        self._term = term
        self._sessions: dict[tuple[str, str], Session] = {}
        self._entries: dict[str, Entry] = {}
        self._counter = 0
        self._dirty = True
        self._maintained_at_ms = float("-inf")
        self._round_at_ms = float("-inf")
        self._move_offset = 0
        self._ttl_floor_ms = float("-inf")
        self._records: tuple[UpstreamRecord, ...] | None = None
        self._listed: tuple[InstanceInfo, ...] = ()
        self._woken_for: object = None

    # Polls

    async def poll(self, request: PollRequest) -> PollReply:
        """Take in a poll and answer it, at once if there is something to tell.

        Raises:
            NotLeaderError: If this voter does not lead, or no majority confirmed it
                lately.
        """
        arrival_ms = self._clock.monotonic_ms()
        self._check_leading()
        session, is_new = self._session(request, arrival_ms)
        session.poll_number += 1
        number = session.poll_number
        self._take_in(session, request, arrival_ms)
        session.wake()
        self._maintain()
        wait_ms = min(request.wait_ms, self._settings.max_poll_wait_ms)
        if is_new or request.released:
            wait_ms = 0
        until_ms = arrival_ms + wait_ms
        while session.poll_number == number and not self._news(session, request):
            left_ms = until_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                break
            term = self._term
            await wait_event(session.event, clock=self._clock, timeout_ms=left_ms)
            self._check_leading()
            if self._term != term:
                raise NotLeaderError(None)
            self._maintain()
        return self._reply(session, request, arrival_ms, number)

    def configuration_changed(self) -> None:
        """Take note that the configuration or the quarantine changed; wake polls."""
        self._dirty = True
        self._wake_all()

    def _check_leading(self) -> None:
        leadership = self._leadership
        if not leadership.is_leader:
            raise NotLeaderError(leadership.leader)
        if leadership.term != self._term:
            self._reset(leadership.term)
        if self._confirmed_age_ms() > self._settings.max_confirmed_age_ms:
            # Leases may have ended and announcements may be under way meanwhile.
            self._ttl_floor_ms = float("inf")
            raise NotLeaderError(None)
        now_ms = self._clock.monotonic_ms()
        if self._ttl_floor_ms == float("-inf"):
            self._ttl_floor_ms = self._takeover_ends_ms()
        elif self._ttl_floor_ms == float("inf"):
            self._ttl_floor_ms = now_ms + self._settings.takeover_wait_ms

    def _confirmed_age_ms(self) -> float:
        confirmed_at_ms = self._leadership.confirmed_at_ms()
        if confirmed_at_ms is None:
            return float("inf")
        return self._clock.monotonic_ms() - confirmed_at_ms

    def _takeover_ends_ms(self) -> float:
        return self._leadership.led_since_ms + self._settings.takeover_wait_ms

    def _session(self, request: PollRequest, arrival_ms: float) -> tuple[Session, bool]:
        key = (request.info.instance, request.boot_id)
        session = self._sessions.get(key)
        is_new = session is None or session.expires_at_ms <= arrival_ms
        if session is not None and is_new:
            self._end_session(session)
        if session is None or is_new:
            # A version of its own shows later whether replies reach the instance.
            self._registry_changed()
            session = Session(
                info=request.info,
                boot_id=request.boot_id,
                created_version=self._registry_version(),
            )
            self._sessions[key] = session
        for other in self._sessions.values():
            if other.info.instance == request.info.instance:
                superseded = other is not session
                self._dirty |= other.superseded != superseded
                other.superseded = superseded
        return session, is_new

    def _take_in(
        self, session: Session, request: PollRequest, arrival_ms: float
    ) -> None:
        if session.sent_version in (None, request.registry_version):
            session.deaf_since_ms = None
        elif session.deaf_since_ms is None:
            session.deaf_since_ms = arrival_ms
        if not session.confirmed:
            session.confirmed = request.registry_version >= session.created_version
            self._dirty |= session.confirmed
        if not self._is_deaf(session):
            # Counted from now on: a grant is given when it is decided, and the reply
            # to this poll cannot give a longer lease than this.
            session.expires_at_ms = self._lease_end_ms(arrival_ms)
        if session.info != request.info:
            session.info = request.info
            self._dirty = True
        if request.configuration_version > session.acknowledged:
            session.acknowledged = request.configuration_version
            self._dirty = True
            self._notify()
        for announcement in request.announcements:
            self._take_announcement(announcement, arrival_ms)
        released = {handover.upstream for handover in request.released}
        for upstream, grant_id in request.owned:
            if upstream not in released:
                self._take_report(session, upstream, grant_id)
        self._take_releases(session, request, arrival_ms)

    def _take_announcement(self, said: Announcement, now_ms: float) -> None:
        entry = self._entries.setdefault(said.upstream, Entry(said.upstream))
        known = entry.announcement
        try:
            check_announcement(said, known)
        except InvalidRequestError as error:
            _log.warning("event=announcement_ignored reason=%r", str(error))
            return
        if is_superseded(said, known) and not entry.gone:
            return
        changed = entry.gone or differs(said, known, self._settings.load_step)
        entry.expires_at_ms = now_ms + said.ttl_ms
        if changed:
            entry.announcement = said
            entry.gone = False
            self._registry_changed()

    def _take_report(self, session: Session, upstream: str, grant_id: int) -> None:
        """Renew a grant of a former leader that an instance reports.

        Every valid lease was renewed here before the takeover wait ended, so a first
        report after it is void, as is one of a grant that a higher one replaced.
        """
        if self._clock.monotonic_ms() >= self._takeover_ends_ms():
            return
        entry = self._entries.setdefault(upstream, Entry(upstream))
        if grant_id <= entry.highest_grant:
            return
        if entry.grant is not None:
            self._end_grant(entry, entry.grant, lost_until_ms=self._linger_end_ms())
        entry.highest_grant = grant_id
        entry.grant = Grant(upstream, grant_id, session, connection_cap=None)
        session.grants[upstream] = entry.grant
        self._registry_changed()

    def _take_releases(
        self, session: Session, request: PollRequest, now_ms: float
    ) -> None:
        """End the grants that an instance gives back.

        `owned` names the highest grant id that each release covers, so that a late
        copy of it does not end a newer grant.
        """
        reported = dict(request.owned)
        for handover in request.released:
            entry = self._entries.get(handover.upstream)
            grant = entry.grant if entry else None
            if (
                entry is None
                or grant is None
                or grant.session is not session
                or grant.grant_id > reported.get(handover.upstream, 0)
            ):
                continue
            entry.handover = handover
            entry.grant = None
            del session.grants[handover.upstream]
            if handover.lingering_connections > 0:
                until_ms = now_ms + self._settings.connection_linger_ms
                entry.formers.append(Former(handover.lingering_connections, until_ms))
            self._registry_changed()

    # Upkeep

    def _maintain(self) -> None:
        now_ms = self._clock.monotonic_ms()
        due_ms = self._maintained_at_ms + self._settings.maintenance_interval_ms
        if not self._dirty and now_ms < due_ms:
            return
        self._maintained_at_ms = now_ms
        for session in list(self._sessions.values()):
            if session.expires_at_ms <= now_ms:
                self._end_session(session)
        for entry in list(self._entries.values()):
            self._expire(entry, now_ms)
        round_due = now_ms >= self._round_at_ms
        if self._dirty or round_due:
            self._dirty = False
            self._allocate(now_ms, may_move=round_due)
        self._listed = self._directory(now_ms)
        state = (self._counter, self._listed, now_ms >= self._takeover_ends_ms())
        if state != self._woken_for:
            self._woken_for = state
            self._wake_all()

    def _linger_end_ms(self) -> float:
        return self._clock.monotonic_ms() + self._settings.connection_linger_ms

    def _end_session(self, session: Session) -> None:
        _log.warning("event=session_expired instance=%s", session.info.instance)
        del self._sessions[session.info.instance, session.boot_id]
        lost_until_ms = session.expires_at_ms + self._settings.connection_linger_ms
        for grant in list(session.grants.values()):
            entry = self._entries[grant.upstream]
            self._end_grant(entry, grant, lost_until_ms=lost_until_ms)
        session.wake()
        self._registry_changed()
        self._notify()

    def _end_grant(self, entry: Entry, grant: Grant, *, lost_until_ms: float) -> None:
        """End a grant whose owner did not release it."""
        entry.grant = None
        entry.handover = None
        del grant.session.grants[entry.upstream]
        entry.formers.append(Former(grant.connection_cap, lost_until_ms))

    def _cap(self, entry: Entry) -> int:
        said = entry.announcement
        limit = said.connection_limit if said else 0
        return connection_cap(limit, self._settings.connection_fraction)

    def _expire(self, entry: Entry, now_ms: float) -> None:
        entry.formers = [item for item in entry.formers if item.until_ms > now_ms]
        if now_ms < self._ttl_floor_ms:
            return
        if not entry.gone and entry.expires_at_ms <= now_ms:
            entry.gone = True
            self._registry_changed()
        if entry.gone and entry.grant is None and not entry.formers:
            del self._entries[entry.upstream]

    # Ownership

    def _allocate(self, now_ms: float, *, may_move: bool) -> None:
        configuration = self._configuration.configuration
        in_service = (
            configuration.data_centres_in_service if configuration else frozenset()
        )
        placement = Placement(
            filter(self._is_eligible, self._sessions.values()), self._entries
        )
        for entry in self._entries.values():
            self._revoke_unfit(entry, in_service, now_ms)
        # Instances that kept the registry of the last leader get that of this one when
        # the wait ends, and have to be candidates for the first grants too.
        start_ms = self._takeover_ends_ms() + self._settings.first_grant_delay_ms
        if now_ms < start_ms:
            self._round_at_ms = start_ms
            return
        vacant = [
            (entry, said)
            for entry in self._entries.values()
            if entry.grant is None
            and (said := entry.live) is not None
            and said.data_centre in in_service
            and self._connections_left(entry, said, now_ms)
        ]
        # The rest follows with the next poll, because granting makes the state dirty.
        for entry, said in vacant[: self._settings.max_grants_per_pass]:
            session = placement.best(entry, said)
            if session is not None:
                self._grant(entry, said, session)
                placement.add(session, entry)
        if may_move:
            self._round_at_ms = now_ms + self._settings.move_interval_ms
            self._move(placement)

    def _is_eligible(self, session: Session) -> bool:
        return (
            self._is_listed(session)
            and session.confirmed
            and session.acknowledged == self._configuration.version
            and not self._is_deaf(session)
        )

    def _is_deaf(self, session: Session) -> bool:
        """Return whether polls of an instance arrive but no reply reaches it.

        It gets no lease, because its session would never end and its upstreams would
        stay without work.
        """
        if session.deaf_since_ms is None:
            return False
        deaf_ms = self._clock.monotonic_ms() - session.deaf_since_ms
        return deaf_ms >= self._settings.max_deaf_ms

    def _lease_end_ms(self, arrival_ms: float) -> float:
        settings = self._settings
        return arrival_ms + settings.lease_ms + settings.drift_margin_ms

    def _is_listed(self, session: Session) -> bool:
        configuration = self._configuration.configuration
        return (
            not session.info.draining
            and not session.superseded
            and (
                configuration is None
                or session.info.data_centre in configuration.data_centres_in_service
            )
        )

    def _revoke_unfit(
        self, entry: Entry, in_service: frozenset[str], now_ms: float
    ) -> None:
        grant, said = entry.grant, entry.announcement
        if grant is None or grant.revoking:
            return
        if said is None:
            # Its owner has not repeated the announcement to this leader yet.
            unfit = now_ms >= self._ttl_floor_ms
        else:
            grant.connection_cap = grant.connection_cap or self._cap(entry)
            unfit = entry.live is None or said.data_centre not in in_service
            unfit |= grant.connection_cap > self._cap(entry)
        if unfit or not self._is_listed(grant.session):
            grant.revoking = True
            grant.session.wake()

    def _connections_left(
        self, entry: Entry, said: Announcement, now_ms: float
    ) -> bool:
        """Return whether connections of former owners leave room for a new one."""
        cap = self._cap(entry)
        taken = sum(
            cap if former.connections is None else former.connections
            for former in entry.formers
        )
        unknown_until_ms = (
            self._takeover_ends_ms() + self._settings.connection_linger_ms
        )
        if now_ms < unknown_until_ms:
            # Owners that the former leader lost are not known here; one is assumed.
            # An owner that is known had its cap within the limit beside them.
            known = cap if entry.highest_grant else 0
            taken += min(cap, said.connection_limit - known)
        return taken + cap <= said.connection_limit

    def _grant(self, entry: Entry, said: Announcement, session: Session) -> None:
        self._registry_changed()
        handover = entry.handover
        if handover is not None and handover.incarnation != said.incarnation:
            handover = None
        grant = Grant(
            upstream=entry.upstream,
            grant_id=self._registry_version(),
            session=session,
            connection_cap=self._cap(entry),
            handover=handover,
        )
        entry.grant = session.grants[entry.upstream] = grant
        entry.highest_grant = grant.grant_id
        entry.handover = None

    def _move(self, placement: Placement) -> None:
        """Take a few upstreams from owners where another instance suits better."""
        moving = sum(
            1 for entry in self._entries.values() if entry.grant and entry.grant.moving
        )
        entries = list(self._entries.values())
        count = min(len(entries), self._settings.max_move_checks)
        for _ in range(count):
            if moving >= self._settings.max_moves_per_round:
                break
            self._move_offset = (self._move_offset + 1) % len(entries)
            entry = entries[self._move_offset]
            grant, said = entry.grant, entry.live
            if grant is None or said is None or grant.revoking:
                continue
            if placement.better(entry, said, grant.session):
                grant.revoking = grant.moving = True
                moving += 1
                grant.session.wake()
                placement.add(grant.session, entry, -1)

    # Replies

    def _news(self, session: Session, request: PollRequest) -> bool:
        held = dict(request.owned)
        owned = {
            item.upstream: item.grant_id
            for item in session.grants.values()
            if not item.revoking
        }
        return (
            request.configuration_version != self._configuration.version
            or self._sends_registry(request)
            or any(held.get(name) != grant for name, grant in owned.items())
            or session.told != self._signature(session)
        )

    def _signature(self, session: Session) -> object:
        return (
            self._listed,
            frozenset(
                item.upstream for item in session.grants.values() if item.revoking
            ),
            self._configuration.quarantined,
            tuple(self._configuration.suspects.items()),
        )

    def _directory(self, now_ms: float) -> tuple[InstanceInfo, ...]:
        """Return the directory; none while instances may not have polled yet."""
        if now_ms < self._leadership.led_since_ms + self._settings.settle_ms:
            return ()
        listed = filter(self._is_listed, self._sessions.values())
        return tuple(
            sorted((item.info for item in listed), key=lambda info: info.instance)
        )

    def _registry_version(self) -> int:
        return (self._term << _TERM_SHIFT) + self._counter

    def _sends_registry(self, request: PollRequest) -> bool:
        version = request.registry_version
        if version == self._registry_version():
            return False
        # A registry that is not rebuilt yet must not replace that of the last leader.
        return (
            version == 0
            or version >> _TERM_SHIFT == self._term
            or self._clock.monotonic_ms() >= self._takeover_ends_ms()
        )

    def _registry(self) -> tuple[UpstreamRecord, ...]:
        if self._records is None:
            self._records = tuple(
                UpstreamRecord(
                    entry.announcement,
                    entry.grant.session.info.instance if entry.grant else None,
                )
                for entry in self._entries.values()
                if entry.announcement is not None and not entry.gone
            )
        return self._records

    def _registry_changed(self) -> None:
        self._counter += 1
        self._records = None
        self._dirty = True

    def _reply(
        self, session: Session, request: PollRequest, arrival_ms: float, number: int
    ) -> PollReply:
        configuration = self._configuration
        version = configuration.version
        age_ms = self._confirmed_age_ms()
        if self._is_deaf(session):
            # An age of a whole lease extends no lease.
            age_ms = max(age_ms, self._settings.lease_ms)
        else:
            session.leases = {
                named: end for named, end in session.leases.items() if end > arrival_ms
            }
            end_ms = self._lease_end_ms(arrival_ms)
            session.leases[version] = max(session.leases.get(version, 0.0), end_ms)
        if session.poll_number == number:
            session.told = self._signature(session)
            if self._sends_registry(request):
                session.sent_version = self._registry_version()
        grants = session.grants.values()
        return PollReply(
            leader=self._leadership.leader or "",
            term=self._term,
            confirmed_age_ms=age_ms,
            configuration_version=version,
            configuration_text=(
                configuration.text if request.configuration_version < version else None
            ),
            registry_version=self._registry_version(),
            upstreams=self._registry() if self._sends_registry(request) else None,
            instances=self._listed,
            owned=tuple(
                OwnedUpstream(
                    item.upstream,
                    item.grant_id,
                    item.connection_cap or 1,
                    item.handover,
                )
                for item in grants
                if not item.revoking
            ),
            revoked=tuple(item.upstream for item in grants if item.revoking),
            quarantined=tuple(sorted(configuration.quarantined)),
            suspects=tuple(sorted(configuration.suspects.items())),
        )

    def _wake_all(self) -> None:
        for session in self._sessions.values():
            session.wake()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    # Configuration in force

    def in_force(self, version: int) -> InForce:
        """Return where a configuration version is in force.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        self._check_leading()
        now_ms = self._clock.monotonic_ms()
        acknowledged, pending = set(), set()
        end_ms = self._takeover_ends_ms()
        for session in self._sessions.values():
            name = session.info.instance
            if session.acknowledged >= version:
                acknowledged.add(name)
                continue
            # Leases that a former leader gave end before the takeover wait does.
            older = [end for named, end in session.leases.items() if named < version]
            session_end_ms = max(older, default=0.0)
            if session_end_ms > now_ms:
                pending.add(name)
                end_ms = max(end_ms, session_end_ms)
        within_ms = max(0.0, end_ms - now_ms)
        everywhere = self._configuration.version >= version and within_ms == 0
        return InForce(
            version=version,
            acknowledged=tuple(sorted(acknowledged)),
            pending=tuple(sorted(pending)),
            everywhere=everywhere,
            within_ms=within_ms,
        )

    async def wait_in_force(self, version: int, timeout_ms: float) -> InForce:
        """Wait until a version is in force everywhere or the time is up.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        until_ms = self._clock.monotonic_ms() + timeout_ms
        while True:
            state = self.in_force(version)
            left_ms = until_ms - self._clock.monotonic_ms()
            if state.everywhere or left_ms <= 0:
                return state
            pause_ms = min(left_ms, state.within_ms or left_ms)
            await wait_event(self._changed, clock=self._clock, timeout_ms=pause_ms)

    def dump(self) -> dict[str, Any]:
        """Return the soft state for diagnosis."""
        now_ms = self._clock.monotonic_ms()
        return {
            "term": self._term,
            "leading": self._leadership.is_leader,
            "takeover_wait_ms": max(0.0, self._takeover_ends_ms() - now_ms),
            "registry_version": self._registry_version(),
            "sessions": [
                {
                    "instance": asdict(item.info),
                    "boot_id": item.boot_id,
                    "lease_left_ms": item.expires_at_ms - now_ms,
                    "configuration_version": item.acknowledged,
                    "superseded": item.superseded,
                    "owned": sorted(item.grants),
                }
                for item in self._sessions.values()
            ],
            "upstreams": [
                self._dump_entry(item, now_ms) for item in self._entries.values()
            ],
        }

    def _dump_entry(self, entry: Entry, now_ms: float) -> dict[str, Any]:
        grant = entry.grant
        return {
            "upstream": entry.upstream,
            "state": str(entry.announcement.state) if entry.announcement else None,
            "gone": entry.gone,
            "ttl_left_ms": entry.expires_at_ms - now_ms,
            "owner": grant.session.info.instance if grant else None,
            "grant_id": grant.grant_id if grant else None,
            "revoking": grant.revoking if grant else False,
            "former_connections": [
                {"connections": item.connections, "left_ms": item.until_ms - now_ms}
                for item in entry.formers
            ],
        }
