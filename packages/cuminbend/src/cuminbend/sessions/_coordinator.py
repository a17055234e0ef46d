"""Session coordinator of the leader: registry, ownership and directory."""

from typing import Any

from cuminbend.exceptions import NotLeaderError
from cuminbend.messages import PollReply, PollRequest
from cuminbend.ports import Clock
from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._dump import dump_state
from cuminbend.sessions._grants import Grants
from cuminbend.sessions._in_force import InForceStatus, InForceTracker
from cuminbend.sessions._intake import PollIntake
from cuminbend.sessions._protocols import ConfigurationSource, Leadership
from cuminbend.sessions._replies import PollReplyBuilder
from cuminbend.sessions._rounds import AllocationRounds
from cuminbend.sessions._settings import CoordinatorSettings
from cuminbend.sessions._tables import UpstreamEntry
from cuminbend.sessions._waiting import wait_event

__all__ = ["SessionCoordinator"]


class SessionCoordinator:
    """Answers polls while this voter leads.

    All state is discarded when the term changes and is rebuilt from polls.
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
        self._replies = PollReplyBuilder(self._core, self._in_force)

    async def poll(self, request: PollRequest) -> PollReply:
        """Process a poll and return the reply.

        The reply is delayed by up to ``request.wait_ms`` while there are no changes.

        Raises:
            NotLeaderError: If this voter does not lead, or no majority confirmed it
                recently.
        """
        arrival_ms = self._core.clock.monotonic_ms()
        self._core.check_leading()
        session, is_new = self._intake.find_session(request, arrival_ms)
        session.poll_number += 1
        number = session.poll_number
        self._intake.apply_poll(session, request, arrival_ms)
        session.wake()
        self._maintain()
        wait_ms = min(request.wait_ms, self._core.settings.max_poll_wait_ms)
        if is_new or request.released:
            wait_ms = 0
        until_ms = arrival_ms + wait_ms
        replies = self._replies
        while session.poll_number == number and not replies.has_changes(
            session, request
        ):
            left_ms = until_ms - self._core.clock.monotonic_ms()
            if left_ms <= 0:
                break
            term = self._core.term
            await wait_event(
                session.wake_event, clock=self._core.clock, timeout_ms=left_ms
            )
            self._core.check_leading()
            if self._core.term != term:
                raise NotLeaderError(None)
            self._maintain()
        return replies.build_reply(session, request, arrival_ms, number)

    def on_configuration_changed(self) -> None:
        """Process a change of the configuration or the quarantine; wake held polls."""
        self._core.dirty = True
        self._core.wake_all()

    def in_force_status(self, version: int) -> InForceStatus:
        """Return on which instances a configuration version is in force.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        return self._in_force.in_force_status(version)

    async def wait_until_in_force(
        self, version: int, timeout_ms: float
    ) -> InForceStatus:
        """Wait until a version is in force on every instance; return the status.

        After the timeout the status at that time is returned.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        return await self._in_force.wait_until_in_force(version, timeout_ms)

    def dump(self) -> dict[str, Any]:
        """Return the state of sessions and upstreams for a state dump."""
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
        is_round_due = now_ms >= core.next_round_at_ms
        if core.dirty or is_round_due:
            core.dirty = False
            self._rounds.run_round(now_ms, may_move=is_round_due)
        core.directory = self._replies.build_directory(now_ms)
        state = (
            core.version_counter,
            core.directory,
            now_ms >= core.takeover_ends_ms(),
        )
        if state != core.last_wake_state:
            core.last_wake_state = state
            core.wake_all()

    def _expire(self, entry: UpstreamEntry, now_ms: float) -> None:
        entry.former_connections = [
            item for item in entry.former_connections if item.until_ms > now_ms
        ]
        if now_ms < self._core.expiry_allowed_at_ms:
            return
        if not entry.is_expired and entry.expires_at_ms <= now_ms:
            entry.is_expired = True
            self._core.registry_changed()
        if entry.is_expired and entry.grant is None and not entry.former_connections:
            del self._core.entries[entry.upstream]
