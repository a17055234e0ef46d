"""Start and end of grants, and connections that former owners left open."""

import logging

from cuminbend.messages import Announcement, PollRequest
from cuminbend.sessions._allocation import connection_cap
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._tables import FormerConnections, Grant, Session, UpstreamEntry

__all__ = ["Grants"]

_log = logging.getLogger(__name__)


class Grants:
    """Starts and ends the ownership of upstreams."""

    def __init__(self, core: CoordinatorCore) -> None:
        self._core = core

    def renew_reported_grant(
        self, session: Session, upstream: str, grant_id: int
    ) -> None:
        """Renew a grant that an instance reports and that a former leader gave.

        Owners with a valid lease report their grants before the takeover wait ends, so
        a first report after that is ignored. A report is also ignored if a grant with a
        higher id has replaced the reported one.
        """
        if self._core.clock.monotonic_ms() >= self._core.takeover_ends_ms():
            return
        entry = self._core.entries.setdefault(upstream, UpstreamEntry(upstream))
        if grant_id <= entry.highest_grant_id:
            return
        if entry.grant is not None:
            self._end_grant(entry, entry.grant, linger_until_ms=self._linger_end_ms())
        entry.highest_grant_id = grant_id
        entry.grant = Grant(upstream, grant_id, session, connection_cap=None)
        session.grants[upstream] = entry.grant
        self._core.registry_changed()

    def apply_releases(
        self, session: Session, request: PollRequest, now_ms: float
    ) -> None:
        """End the grants that an instance releases with a poll.

        ``request.owned`` contains the highest grant id that each release covers, so a
        delayed copy of the release does not end a newer grant.
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
                entry.former_connections.append(
                    FormerConnections(handover.lingering_connections, until_ms)
                )
            self._core.registry_changed()

    def grant_upstream(
        self, entry: UpstreamEntry, announcement: Announcement, session: Session
    ) -> None:
        """Grant an upstream to a session."""
        self._core.registry_changed()
        handover = entry.handover
        idle_ms = self._core.clock.monotonic_ms() - entry.released_at_ms
        # An upstream that had no work for that long may have become cold.
        if handover is not None and (
            handover.incarnation != announcement.incarnation
            or idle_ms > self._core.settings.handover_ttl_ms
        ):
            handover = None
        grant = Grant(
            upstream=entry.upstream,
            grant_id=self._core.registry_version(),
            session=session,
            connection_cap=self._connection_cap(entry),
            handover=handover,
        )
        entry.grant = session.grants[entry.upstream] = grant
        entry.highest_grant_id = grant.grant_id
        entry.handover = None

    def revoke_if_unfit(
        self, entry: UpstreamEntry, in_service: frozenset[str], now_ms: float
    ) -> None:
        """Revoke the grant of an upstream that its owner may not keep."""
        grant, announcement = entry.grant, entry.announcement
        if announcement is not None and announcement.data_centre not in in_service:
            # The upstream starts cold when its data centre is in service again.
            entry.handover = None
        if grant is None or grant.revoking:
            return
        if announcement is None:
            # This leader has not received the announcement yet.
            is_unfit = now_ms >= self._core.expiry_allowed_at_ms
        else:
            grant.connection_cap = grant.connection_cap or self._connection_cap(entry)
            is_unfit = (
                entry.active_announcement is None
                or announcement.data_centre not in in_service
            )
            is_unfit |= grant.connection_cap > self._connection_cap(entry)
        if is_unfit or not self._core.is_listed(grant.session):
            grant.revoking = True
            grant.session.wake()

    def has_connections_left(
        self, entry: UpstreamEntry, announcement: Announcement, now_ms: float
    ) -> bool:
        """Return whether the connection limit allows one more owner."""
        cap = self._connection_cap(entry)
        taken_connections = sum(
            cap if former.connections is None else former.connections
            for former in entry.former_connections
        )
        unknown_until_ms = (
            self._core.takeover_ends_ms() + self._core.settings.connection_linger_ms
        )
        if now_ms < unknown_until_ms:
            # This leader does not know owners that were lost under the former leader
            # and assumes one. The cap of a known owner fits the limit together with the
            # connections of the lost ones.
            known_cap = cap if entry.highest_grant_id else 0
            taken_connections += min(cap, announcement.connection_limit - known_cap)
        return taken_connections + cap <= announcement.connection_limit

    def end_session(self, session: Session) -> None:
        """Remove a session and end its grants."""
        _log.warning("event=session_expired instance=%s", session.info.instance)
        del self._core.sessions[session.info.instance, session.boot_id]
        linger_until_ms = (
            session.expires_at_ms + self._core.settings.connection_linger_ms
        )
        for grant in list(session.grants.values()):
            entry = self._core.entries[grant.upstream]
            self._end_grant(entry, grant, linger_until_ms=linger_until_ms)
        session.wake()
        self._core.registry_changed()
        self._core.notify_in_force_waiters()

    def _end_grant(
        self, entry: UpstreamEntry, grant: Grant, *, linger_until_ms: float
    ) -> None:
        """End a grant that was not released; its connections may stay open."""
        entry.grant = None
        entry.handover = None
        del grant.session.grants[entry.upstream]
        entry.former_connections.append(
            FormerConnections(grant.connection_cap, linger_until_ms)
        )

    def _linger_end_ms(self) -> float:
        return (
            self._core.clock.monotonic_ms() + self._core.settings.connection_linger_ms
        )

    def _connection_cap(self, entry: UpstreamEntry) -> int:
        announcement = entry.announcement
        limit = announcement.connection_limit if announcement else 0
        return connection_cap(limit, self._core.settings.connection_fraction)
