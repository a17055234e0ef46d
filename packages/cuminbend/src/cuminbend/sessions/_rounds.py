"""Allocation rounds, which revoke, grant and move upstreams."""

from cuminbend.sessions._allocation import Placement
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._grants import Grants
from cuminbend.sessions._tables import Session

__all__ = ["AllocationRounds"]


class AllocationRounds:
    """Grants upstreams without an owner and balances ownership."""

    def __init__(self, core: CoordinatorCore, grants: Grants) -> None:
        self._core = core
        self._grants = grants

    def run_round(self, now_ms: float, *, may_move: bool) -> None:
        """Revoke and grant upstreams, and move some if ``may_move`` is set."""
        configuration = self._core.configuration.configuration
        in_service = (
            configuration.data_centres_in_service if configuration else frozenset()
        )
        placement = Placement(
            filter(self._is_eligible, self._core.sessions.values()), self._core.entries
        )
        for entry in self._core.entries.values():
            self._grants.revoke_if_unfit(entry, in_service, now_ms)
        # Instances that kept the registry of the former leader get that of this leader
        # after the takeover wait, and must be candidates for the first grants too.
        start_ms = (
            self._core.takeover_ends_ms() + self._core.settings.first_grant_delay_ms
        )
        if now_ms < start_ms:
            self._core.next_round_at_ms = start_ms
            return
        vacant = [
            (entry, announcement)
            for entry in self._core.entries.values()
            if entry.grant is None
            and (announcement := entry.active_announcement) is not None
            and announcement.data_centre in in_service
            and self._grants.has_connections_left(entry, announcement, now_ms)
        ]
        # The next poll grants the rest, because a grant sets `dirty`.
        for entry, announcement in vacant[: self._core.settings.max_grants_per_pass]:
            session = placement.best_session(entry, announcement)
            if session is not None:
                self._grants.grant_upstream(entry, announcement, session)
                placement.count_grant(session, entry)
        if may_move:
            self._core.next_round_at_ms = now_ms + self._core.settings.move_interval_ms
            self._move(placement)

    def _is_eligible(self, session: Session) -> bool:
        return (
            self._core.is_listed(session)
            and session.confirmed
            and session.acknowledged_version == self._core.configuration.version
            and not self._core.misses_replies(session)
        )

    def _move(self, placement: Placement) -> None:
        """Revoke a few upstreams that would be better placed on another instance."""
        moving_count = sum(
            1
            for entry in self._core.entries.values()
            if entry.grant and entry.grant.moving
        )
        entries = list(self._core.entries.values())
        count = min(len(entries), self._core.settings.max_move_checks)
        for _ in range(count):
            if moving_count >= self._core.settings.max_moves_per_round:
                break
            self._core.move_offset = (self._core.move_offset + 1) % len(entries)
            entry = entries[self._core.move_offset]
            grant, announcement = entry.grant, entry.active_announcement
            if grant is None or announcement is None or grant.revoking:
                continue
            if placement.should_move(entry, announcement, grant.session):
                grant.revoking = grant.moving = True
                moving_count += 1
                grant.session.wake()
                placement.count_grant(grant.session, entry, -1)
