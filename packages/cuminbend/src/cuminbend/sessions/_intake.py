"""Processing of the state that instances report in polls."""

import logging

from cuminbend.exceptions import InvalidRequestError
from cuminbend.messages import Announcement, PollRequest
from cuminbend.sessions._announcements import (
    check_announcement,
    is_significant_change,
    is_superseded,
)
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._grants import Grants
from cuminbend.sessions._tables import Session, UpstreamEntry

__all__ = ["PollIntake"]

_log = logging.getLogger(__name__)


class PollIntake:
    """Updates sessions, upstreams and grants from polls."""

    def __init__(self, core: CoordinatorCore, grants: Grants) -> None:
        self._core = core
        self._grants = grants

    def find_session(
        self, request: PollRequest, arrival_ms: float
    ) -> tuple[Session, bool]:
        """Return the session that a poll belongs to and whether it is new."""
        key = (request.info.instance, request.boot_id)
        session = self._core.sessions.get(key)
        is_new = session is None or session.expires_at_ms <= arrival_ms
        if session is not None and is_new:
            self._grants.end_session(session)
        if session is None or is_new:
            # A poll with this registry version or a later one shows that a reply
            # reached the instance.
            self._core.registry_changed()
            session = Session(
                info=request.info,
                boot_id=request.boot_id,
                created_registry_version=self._core.registry_version(),
            )
            self._core.sessions[key] = session
        for other in self._core.sessions.values():
            if other.info.instance == request.info.instance:
                superseded = other is not session
                self._core.dirty |= other.superseded != superseded
                other.superseded = superseded
        return session, is_new

    def apply_poll(
        self, session: Session, request: PollRequest, arrival_ms: float
    ) -> None:
        """Update the state from everything that a poll reports."""
        if session.sent_registry_version in (None, request.registry_version):
            session.missing_replies_since_ms = None
        elif session.missing_replies_since_ms is None:
            session.missing_replies_since_ms = arrival_ms
        if not session.confirmed:
            session.confirmed = (
                request.registry_version >= session.created_registry_version
            )
            self._core.dirty |= session.confirmed
        if not self._core.misses_replies(session):
            # Already set here because grants are decided before the reply is sent. The
            # reply to this poll cannot give a longer lease.
            session.expires_at_ms = self._core.lease_end_ms(arrival_ms)
        if session.info != request.info:
            session.info = request.info
            self._core.dirty = True
        if request.configuration_version > session.acknowledged_version:
            session.acknowledged_version = request.configuration_version
            self._core.dirty = True
            self._core.notify_in_force_waiters()
        for announcement in request.announcements:
            self._apply_announcement(announcement, arrival_ms)
        released = {handover.upstream for handover in request.released}
        for upstream, grant_id in request.owned:
            if upstream not in released:
                self._grants.renew_reported_grant(session, upstream, grant_id)
        self._grants.apply_releases(session, request, arrival_ms)

    def _apply_announcement(self, announcement: Announcement, now_ms: float) -> None:
        entry = self._core.entries.setdefault(
            announcement.upstream, UpstreamEntry(announcement.upstream)
        )
        known = entry.announcement
        try:
            check_announcement(announcement, known)
        except InvalidRequestError as error:
            _log.warning("event=announcement_ignored reason=%r", str(error))
            return
        if is_superseded(announcement, known) and not entry.is_expired:
            return
        changed = entry.is_expired or is_significant_change(
            announcement, known, self._core.settings.min_load_change
        )
        entry.expires_at_ms = now_ms + announcement.ttl_ms
        if changed:
            entry.announcement = announcement
            entry.is_expired = False
            self._core.registry_changed()
