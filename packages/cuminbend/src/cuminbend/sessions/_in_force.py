"""Where a configuration version is in force."""

from dataclasses import dataclass

from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._waiting import wait_event

__all__ = ["InForce", "InForceTracker"]


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


class InForceTracker:
    """Follows acknowledgements and leases of earlier versions."""

    def __init__(self, core: CoordinatorCore) -> None:
        self._core = core

    def in_force(self, version: int) -> InForce:
        """Return where a configuration version is in force.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        self._core.check_leading()
        now_ms = self._core.clock.monotonic_ms()
        acknowledged, pending = set(), set()
        end_ms = self._core.takeover_ends_ms()
        for session in self._core.sessions.values():
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
        everywhere = self._core.configuration.version >= version and within_ms == 0
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
        until_ms = self._core.clock.monotonic_ms() + timeout_ms
        while True:
            state = self.in_force(version)
            left_ms = until_ms - self._core.clock.monotonic_ms()
            if state.everywhere or left_ms <= 0:
                return state
            pause_ms = min(left_ms, state.within_ms or left_ms)
            await wait_event(
                self._core.changed, clock=self._core.clock, timeout_ms=pause_ms
            )

    def known_version(self) -> int:
        """Return the highest version known to be in force everywhere."""
        version = self._core.configuration.version
        if version > self._core.known_in_force and self.in_force(version).everywhere:
            self._core.known_in_force = version
        return self._core.known_in_force
