"""Leader side: sessions, upstream registry, ownership and directory."""

from typing import Any

from cuminbend.exceptions import NotLeaderError
from cuminbend.messages import PollReply, PollRequest
from cuminbend.ports import Clock
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._dump import dump_state
from cuminbend.sessions._grants import Grants
from cuminbend.sessions._in_force import InForce, InForceTracker
from cuminbend.sessions._intake import PollIntake
from cuminbend.sessions._protocols import ConfigurationSource, Leadership
from cuminbend.sessions._replies import PollReplies
from cuminbend.sessions._rounds import AllocationRounds
from cuminbend.sessions._settings import CoordinatorSettings
from cuminbend.sessions._tables import Entry
from cuminbend.sessions._waiting import wait_event

__all__ = ["SessionCoordinator"]


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
        self._core = CoordinatorCore(
            settings=settings,
            clock=clock,
            leadership=leadership,
            configuration=configuration,
        )
        self._grants = Grants(self._core)
        self._rounds = AllocationRounds(self._core, self._grants)
        self._intake = PollIntake(self._core, self._grants)
        self._in_force = InForceTracker(self._core)
        self._replies = PollReplies(self._core, self._in_force)

    async def poll(self, request: PollRequest) -> PollReply:
        """Take in a poll and answer it, at once if there is something to tell.

        Raises:
            NotLeaderError: If this voter does not lead, or no majority confirmed it
                lately.
        """
        arrival_ms = self._core.clock.monotonic_ms()
        self._core.check_leading()
        session, is_new = self._intake.find_session(request, arrival_ms)
        session.poll_number += 1
        number = session.poll_number
        self._intake.take_in(session, request, arrival_ms)
        session.wake()
        self._maintain()
        wait_ms = min(request.wait_ms, self._core.settings.max_poll_wait_ms)
        if is_new or request.released:
            wait_ms = 0
        until_ms = arrival_ms + wait_ms
        replies = self._replies
        while session.poll_number == number and not replies.has_news(session, request):
            left_ms = until_ms - self._core.clock.monotonic_ms()
            if left_ms <= 0:
                break
            term = self._core.term
            await wait_event(session.event, clock=self._core.clock, timeout_ms=left_ms)
            self._core.check_leading()
            if self._core.term != term:
                raise NotLeaderError(None)
            self._maintain()
        return replies.build_reply(session, request, arrival_ms, number)

    def configuration_changed(self) -> None:
        """Take note that the configuration or the quarantine changed; wake polls."""
        self._core.dirty = True
        self._core.wake_all()

    def in_force(self, version: int) -> InForce:
        """Return where a configuration version is in force.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        return self._in_force.in_force(version)

    async def wait_in_force(self, version: int, timeout_ms: float) -> InForce:
        """Wait until a version is in force everywhere or the time is up.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        return await self._in_force.wait_in_force(version, timeout_ms)

    def dump(self) -> dict[str, Any]:
        """Return the soft state for diagnosis."""
        return dump_state(self._core)

    def _maintain(self) -> None:
        core = self._core
        now_ms = core.clock.monotonic_ms()
        due_ms = core.maintained_at_ms + core.settings.maintenance_interval_ms
        if not core.dirty and now_ms < due_ms:
            return
        core.maintained_at_ms = now_ms
        for session in list(core.sessions.values()):
            if session.expires_at_ms <= now_ms:
                self._grants.end_session(session)
        for entry in list(core.entries.values()):
            self._expire(entry, now_ms)
        round_due = now_ms >= core.round_at_ms
        if core.dirty or round_due:
            core.dirty = False
            self._rounds.run_round(now_ms, may_move=round_due)
        core.listed = self._replies.directory(now_ms)
        state = (core.counter, core.listed, now_ms >= core.takeover_ends_ms())
        if state != core.woken_for:
            core.woken_for = state
            core.wake_all()

    def _expire(self, entry: Entry, now_ms: float) -> None:
        entry.formers = [item for item in entry.formers if item.until_ms > now_ms]
        if now_ms < self._core.ttl_floor_ms:
            return
        if not entry.gone and entry.expires_at_ms <= now_ms:
            entry.gone = True
            self._core.registry_changed()
        if entry.gone and entry.grant is None and not entry.formers:
            del self._core.entries[entry.upstream]
