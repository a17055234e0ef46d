"""Watches whether entry instances apply the configuration in force."""

import logging

from cuminbend.newest import (
    AppliedConfiguration,
    ConfigurationRollout,
    OverdueInstance,
    merge_overdue,
)
from cuminbend.ports import Clock

from cuminbendd.feed import Status

logger = logging.getLogger(__name__)


class RolloutWatch:
    """Holds what the readers of this feed apply, and what other instances report.

    Args:
        apply_limit_ms: Time within which a committed version has to be applied.
        clock: Source of time.
    """

    def __init__(self, *, apply_limit_ms: float, clock: Clock) -> None:
        self._clock = clock
        self._rollout = ConfigurationRollout(apply_limit_ms=apply_limit_ms)
        self._own: tuple[OverdueInstance, ...] = ()
        self._by_peer: dict[str, tuple[OverdueInstance, ...]] = {}
        self._version = 0
        self._version_since_ms = clock.monotonic_ms()

    @property
    def overdue_readers(self) -> tuple[OverdueInstance, ...]:
        """Readers of this feed that do not apply a version in time."""
        return self._own

    def record_commit(self, version: int) -> None:
        """Record the version that this instance has applied to its state."""
        now_ms = self._clock.monotonic_ms()
        if version != self._version:
            self._version, self._version_since_ms = version, now_ms
        self._rollout.record_commit(version, now_ms=now_ms)

    def version_age_ms(self) -> float:
        """Return the time for which this instance has held its version."""
        return self._clock.monotonic_ms() - self._version_since_ms

    def record_status(self, instance: str, status: Status) -> None:
        """Record the heartbeat of a reader."""
        self._rollout.record_report(
            instance,
            status.applied or AppliedConfiguration(version=status.version),
            now_ms=self._clock.monotonic_ms(),
            has_details=status.applied is not None,
        )

    def forget(self, instance: str) -> None:
        """Remove a reader that has left."""
        self._rollout.forget(instance)

    def set_peer_overdue(
        self, control: str, overdue: tuple[OverdueInstance, ...]
    ) -> None:
        """Record which readers of another control instance are overdue."""
        self._by_peer[control] = overdue

    def forget_peer(self, control: str) -> None:
        """Remove what a lost control instance has reported."""
        self._by_peer.pop(control, None)

    def check(self) -> bool:
        """Look for overdue readers, and log those that are new or have caught up.

        Returns:
            Whether the overdue readers changed.
        """
        former = {item.instance: item for item in self._own}
        overdue = self._rollout.overdue(now_ms=self._clock.monotonic_ms())
        for item in overdue:
            known = former.pop(item.instance, None)
            if known is None or known.due_version != item.due_version:
                logger.error(
                    "event=configuration_overdue entry=%s version=%d "
                    "due_version=%d cause='%s'",
                    item.instance,
                    item.version,
                    item.due_version,
                    item.cause,
                )
        for item in former.values():
            logger.info(
                "event=configuration_no_longer_overdue entry=%s due_version=%d",
                item.instance,
                item.due_version,
            )
        has_changed = _without_cause(overdue) != _without_cause(self._own)
        if has_changed:
            self._own = overdue
        return has_changed

    def all_overdue(self) -> tuple[OverdueInstance, ...]:
        """Return the overdue instances that any control instance in touch knows."""
        return merge_overdue(self._own, self._by_peer)

    def dump(self) -> dict[str, object]:
        """Return what each reader applies, and all overdue instances, as JSON."""
        return {
            "readers": self._rollout.dump(now_ms=self._clock.monotonic_ms()),
            "overdue": {
                item.instance: {
                    "version": item.version,
                    "due_version": item.due_version,
                    "cause": item.cause,
                }
                for item in self.all_overdue()
            },
        }


def _without_cause(
    overdue: tuple[OverdueInstance, ...],
) -> list[tuple[str, int, int]]:
    """Return the instances and versions; a cause may contain a time that goes on."""
    return [(item.instance, item.version, item.due_version) for item in overdue]
