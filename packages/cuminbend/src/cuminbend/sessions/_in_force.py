"""Tracking of the instances on which a configuration version is in force."""

from dataclasses import dataclass

from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._waiting import wait_event

__all__ = ["InForceStatus", "InForceTracker"]


@dataclass(frozen=True, slots=True)
class InForceStatus:
    """Instances on which a configuration version is in force.

    Attributes:
        acknowledged: Names of the instances that acknowledged the version.
        pending: Names of the instances that may still use an earlier version.
        everywhere: Whether no instance can still use an earlier version.
        within_ms: Time after which no instance can use an earlier version, even if it
            does not acknowledge this one.
    """

    version: int
    acknowledged: tuple[str, ...]
    pending: tuple[str, ...]
    everywhere: bool
    within_ms: float


class InForceTracker:
    """Tracks acknowledgements of versions and leases given under earlier versions."""

    def __init__(self, core: CoordinatorCore) -> None:
        self._core = core

    def in_force_status(self, version: int) -> InForceStatus:
        """Return on which instances a configuration version is in force.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        self._core.check_leading()
        now_ms = self._core.clock.monotonic_ms()
        acknowledged, pending = set(), set()
        end_ms = self._core.takeover_ends_ms()
        for session in self._core.sessions.values():
            name = session.info.instance
            if session.acknowledged_version >= version:
                acknowledged.add(name)
                continue
            # Leases given by a former leader have ended after the takeover wait.
            older_lease_ends_ms = [
                end
                for lease_version, end in session.lease_ends_ms.items()
                if lease_version < version
            ]
            session_end_ms = max(older_lease_ends_ms, default=0.0)
            if session_end_ms > now_ms:
                pending.add(name)
                end_ms = max(end_ms, session_end_ms)
        within_ms = max(0.0, end_ms - now_ms)
        everywhere = self._core.configuration.version >= version and within_ms == 0
        return InForceStatus(
            version=version,
            acknowledged=tuple(sorted(acknowledged)),
            pending=tuple(sorted(pending)),
            everywhere=everywhere,
            within_ms=within_ms,
        )

    async def wait_until_in_force(
        self, version: int, timeout_ms: float
    ) -> InForceStatus:
        """Wait until a version is in force on every instance; return the status.

        After the timeout the status at that time is returned.

        Raises:
            NotLeaderError: If this voter does not lead.
        """
        until_ms = self._core.clock.monotonic_ms() + timeout_ms
        while True:
            status = self.in_force_status(version)
            left_ms = until_ms - self._core.clock.monotonic_ms()
            if status.everywhere or left_ms <= 0:
                return status
            pause_ms = min(left_ms, status.within_ms or left_ms)
            await wait_event(
                self._core.in_force_changed, clock=self._core.clock, timeout_ms=pause_ms
            )

    def find_in_force_version(self) -> int:
        """Return the highest version known to be in force on every instance."""
        version = self._core.configuration.version
        if (
            version > self._core.highest_in_force_version
            and self.in_force_status(version).everywhere
        ):
            self._core.highest_in_force_version = version
        return self._core.highest_in_force_version
