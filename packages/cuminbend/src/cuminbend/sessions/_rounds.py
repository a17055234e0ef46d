"""Allocation rounds: which upstreams are granted and moved, and when."""

from cuminbend.sessions._allocation import Placement
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._grants import Grants
from cuminbend.sessions._tables import Session

__all__ = ["AllocationRounds"]


class AllocationRounds:
    """Grants vacant upstreams and evens out ownership."""

    def __init__(self, core: CoordinatorCore, grants: Grants) -> None:
        self._core = core
        self._grants = grants

    def run_round(self, now_ms: float, *, may_move: bool) -> None:
        """Revoke, grant and, if it is time, move upstreams."""
        configuration = self._core.configuration.configuration
        in_service = (
            configuration.data_centres_in_service if configuration else frozenset()
        )
        placement = Placement(
            filter(self._is_eligible, self._core.sessions.values()), self._core.entries
        )
        for entry in self._core.entries.values():
            self._grants.revoke_unfit(entry, in_service, now_ms)
        # Instances that kept the registry of the last leader get that of this one when
        # the wait ends, and have to be candidates for the first grants too.
        start_ms = (
            self._core.takeover_ends_ms() + self._core.settings.first_grant_delay_ms
        )
        if now_ms < start_ms:
            self._core.round_at_ms = start_ms
            return
        vacant = [
            (entry, said)
            for entry in self._core.entries.values()
            if entry.grant is None
            and (said := entry.live) is not None
            and said.data_centre in in_service
            and self._grants.connections_left(entry, said, now_ms)
        ]
        # The rest follows with the next poll, because granting makes the state dirty.
        for entry, said in vacant[: self._core.settings.max_grants_per_pass]:
            session = placement.best(entry, said)
            if session is not None:
                self._grants.grant(entry, said, session)
                placement.add(session, entry)
        if may_move:
            self._core.round_at_ms = now_ms + self._core.settings.move_interval_ms
            self._move(placement)

    def _is_eligible(self, session: Session) -> bool:
        return (
            self._core.is_listed(session)
            and session.confirmed
            and session.acknowledged == self._core.configuration.version
            and not self._core.is_deaf(session)
        )

    def _move(self, placement: Placement) -> None:
        """Take a few upstreams from owners where another instance suits better."""
        moving = sum(
            1
            for entry in self._core.entries.values()
            if entry.grant and entry.grant.moving
        )
        entries = list(self._core.entries.values())
        count = min(len(entries), self._core.settings.max_move_checks)
        for _ in range(count):
            if moving >= self._core.settings.max_moves_per_round:
                break
            self._core.move_offset = (self._core.move_offset + 1) % len(entries)
            entry = entries[self._core.move_offset]
            grant, said = entry.grant, entry.live
            if grant is None or said is None or grant.revoking:
                continue
            if placement.better(entry, said, grant.session):
                grant.revoking = grant.moving = True
                moving += 1
                grant.session.wake()
                placement.add(grant.session, entry, -1)
