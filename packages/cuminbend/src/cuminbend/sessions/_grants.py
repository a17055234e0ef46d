"""Grants: reports, releases, revocation and connections of former owners."""

import logging

from cuminbend.messages import Announcement, PollRequest
from cuminbend.sessions._allocation import connection_cap
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._tables import Entry, Former, Grant, Session

__all__ = ["Grants"]

_log = logging.getLogger(__name__)


class Grants:
    """Starts and ends the ownership of upstreams."""

    def __init__(self, core: CoordinatorCore) -> None:
        self._core = core

    def take_report(self, session: Session, upstream: str, grant_id: int) -> None:
        """Renew a grant of a former leader that an instance reports.

        Every valid lease was renewed here before the takeover wait ended, so a first
        report after it is void, as is one of a grant that a higher one replaced.
        """
        if self._core.clock.monotonic_ms() >= self._core.takeover_ends_ms():
            return
        entry = self._core.entries.setdefault(upstream, Entry(upstream))
        if grant_id <= entry.highest_grant:
            return
        if entry.grant is not None:
            self._end_grant(entry, entry.grant, lost_until_ms=self._linger_end_ms())
        entry.highest_grant = grant_id
        entry.grant = Grant(upstream, grant_id, session, connection_cap=None)
        session.grants[upstream] = entry.grant
        self._core.registry_changed()

    def take_releases(
        self, session: Session, request: PollRequest, now_ms: float
    ) -> None:
        """End the grants that an instance gives back.

        `owned` names the highest grant id that each release covers, so that a late
        copy of it does not end a newer grant.
        """
        reported = dict(request.owned)
        for handover in request.released:
            entry = self._core.entries.get(handover.upstream)
            grant = entry.grant if entry else None
            if (
                entry is None
                or grant is None
                or grant.session is not session
                or grant.grant_id > reported.get(handover.upstream, 0)
            ):
                continue
            entry.handover = handover
            entry.released_at_ms = now_ms
            entry.grant = None
            del session.grants[handover.upstream]
            if handover.lingering_connections > 0:
                until_ms = now_ms + self._core.settings.connection_linger_ms
                entry.formers.append(Former(handover.lingering_connections, until_ms))
            self._core.registry_changed()

    def grant(self, entry: Entry, said: Announcement, session: Session) -> None:
        """Grant an upstream to a session."""
        self._core.registry_changed()
        handover = entry.handover
        idle_ms = self._core.clock.monotonic_ms() - entry.released_at_ms
        # An upstream without work may have turned cold meanwhile.
        if handover is not None and (
            handover.incarnation != said.incarnation
            or idle_ms > self._core.settings.handover_ttl_ms
        ):
            handover = None
        grant = Grant(
            upstream=entry.upstream,
            grant_id=self._core.registry_version(),
            session=session,
            connection_cap=self._cap(entry),
            handover=handover,
        )
        entry.grant = session.grants[entry.upstream] = grant
        entry.highest_grant = grant.grant_id
        entry.handover = None

    def revoke_unfit(
        self, entry: Entry, in_service: frozenset[str], now_ms: float
    ) -> None:
        """Ask for an upstream back that its owner may not keep."""
        grant, said = entry.grant, entry.announcement
        if said is not None and said.data_centre not in in_service:
            # It starts cold when its data centre comes back.
            entry.handover = None
        if grant is None or grant.revoking:
            return
        if said is None:
            # Its owner has not repeated the announcement to this leader yet.
            unfit = now_ms >= self._core.ttl_floor_ms
        else:
            grant.connection_cap = grant.connection_cap or self._cap(entry)
            unfit = entry.live is None or said.data_centre not in in_service
            unfit |= grant.connection_cap > self._cap(entry)
        if unfit or not self._core.is_listed(grant.session):
            grant.revoking = True
            grant.session.wake()

    def connections_left(self, entry: Entry, said: Announcement, now_ms: float) -> bool:
        """Return whether connections of former owners leave room for a new one."""
        cap = self._cap(entry)
        taken = sum(
            cap if former.connections is None else former.connections
            for former in entry.formers
        )
        unknown_until_ms = (
            self._core.takeover_ends_ms() + self._core.settings.connection_linger_ms
        )
        if now_ms < unknown_until_ms:
            # Owners that the former leader lost are not known here; one is assumed.
            # An owner that is known had its cap within the limit beside them.
            known = cap if entry.highest_grant else 0
            taken += min(cap, said.connection_limit - known)
        return taken + cap <= said.connection_limit

    def end_session(self, session: Session) -> None:
        """Forget a session and end its grants."""
        _log.warning("event=session_expired instance=%s", session.info.instance)
        del self._core.sessions[session.info.instance, session.boot_id]
        lost_until_ms = session.expires_at_ms + self._core.settings.connection_linger_ms
        for grant in list(session.grants.values()):
            entry = self._core.entries[grant.upstream]
            self._end_grant(entry, grant, lost_until_ms=lost_until_ms)
        session.wake()
        self._core.registry_changed()
        self._core.notify()

    def _end_grant(self, entry: Entry, grant: Grant, *, lost_until_ms: float) -> None:
        """End a grant whose owner did not release it."""
        entry.grant = None
        entry.handover = None
        del grant.session.grants[entry.upstream]
        entry.formers.append(Former(grant.connection_cap, lost_until_ms))

    def _linger_end_ms(self) -> float:
        return (
            self._core.clock.monotonic_ms() + self._core.settings.connection_linger_ms
        )

    def _cap(self, entry: Entry) -> int:
        said = entry.announcement
        limit = said.connection_limit if said else 0
        return connection_cap(limit, self._core.settings.connection_fraction)
