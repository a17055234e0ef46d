"""What a poll tells the leader."""

import logging

from cuminbend.exceptions import InvalidRequestError
from cuminbend.messages import Announcement, PollRequest
from cuminbend.sessions._announcements import (
    check_announcement,
    differs,
    is_superseded,
)
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._grants import Grants
from cuminbend.sessions._tables import Entry, Session

__all__ = ["PollIntake"]

_log = logging.getLogger(__name__)


class PollIntake:
    """Brings sessions, upstreams and grants up to date with a poll."""

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
            # A version of its own shows later whether replies reach the instance.
            self._core.registry_changed()
            session = Session(
                info=request.info,
                boot_id=request.boot_id,
                created_version=self._core.registry_version(),
            )
            self._core.sessions[key] = session
        for other in self._core.sessions.values():
            if other.info.instance == request.info.instance:
                superseded = other is not session
                self._core.dirty |= other.superseded != superseded
                other.superseded = superseded
        return session, is_new

    def take_in(
        self, session: Session, request: PollRequest, arrival_ms: float
    ) -> None:
        """Take in everything that a poll reports."""
        if session.sent_version in (None, request.registry_version):
            session.deaf_since_ms = None
        elif session.deaf_since_ms is None:
            session.deaf_since_ms = arrival_ms
        if not session.confirmed:
            session.confirmed = request.registry_version >= session.created_version
            self._core.dirty |= session.confirmed
        if not self._core.is_deaf(session):
            # Counted from now on: a grant is given when it is decided, and the reply
            # to this poll cannot give a longer lease than this.
            session.expires_at_ms = self._core.lease_end_ms(arrival_ms)
        if session.info != request.info:
            session.info = request.info
            self._core.dirty = True
        if request.configuration_version > session.acknowledged:
            session.acknowledged = request.configuration_version
            self._core.dirty = True
            self._core.notify()
        for announcement in request.announcements:
            self._take_announcement(announcement, arrival_ms)
        released = {handover.upstream for handover in request.released}
        for upstream, grant_id in request.owned:
            if upstream not in released:
                self._grants.take_report(session, upstream, grant_id)
        self._grants.take_releases(session, request, arrival_ms)

    def _take_announcement(self, said: Announcement, now_ms: float) -> None:
        entry = self._core.entries.setdefault(said.upstream, Entry(said.upstream))
        known = entry.announcement
        try:
            check_announcement(said, known)
        except InvalidRequestError as error:
            _log.warning("event=announcement_ignored reason=%r", str(error))
            return
        if is_superseded(said, known) and not entry.gone:
            return
        changed = entry.gone or differs(said, known, self._core.settings.load_step)
        entry.expires_at_ms = now_ms + said.ttl_ms
        if changed:
            entry.announcement = said
            entry.gone = False
            self._core.registry_changed()
