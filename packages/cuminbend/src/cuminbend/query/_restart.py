"""When a run gives way to one under another snapshot."""

from collections.abc import Iterable

from cuminbend.query._run_parts import RunParts
from cuminbend.query._shard_state import ShardState

__all__ = ["RestartPolicy"]


class RestartPolicy:
    """Compares the pinned snapshot with the others."""

    def __init__(self, parts: RunParts) -> None:
        self._parts = parts

    def is_due(self, failed: Iterable[ShardState]) -> bool:
        """Return whether only another snapshot can still give full coverage.

        Args:
            failed: Shards that this run may have lost.
        """
        dead = self._parts.dead_upstreams()
        if all(
            self._parts.selector.trusted_holders(item.key, self._parts.snapshot, dead)
            for item in failed
        ):
            return False
        if self._remaining_ms() < 2 * self._slowest_delay_ms():
            return False
        other = self._parts.selector.choose(
            self._parts.context.search.services,
            exclude=self._parts.context.snapshots,
            only_full=True,
            without=dead,
        )
        return other is not None

    def _remaining_ms(self) -> float:
        return self._parts.context.deadline_at_ms - self._parts.clock.monotonic_ms()

    def _slowest_delay_ms(self) -> float:
        return max(
            self._parts.sender.service(service.name).hedge_delay_ms
            for service in self._parts.context.search.services
        )
