"""Decision to restart a search under another snapshot."""

from collections.abc import Iterable

from cuminbend.query._run_context import RunContext
from cuminbend.query._shard_state import ShardState

__all__ = ["RestartPolicy"]

# A restart is not due if less than this many hedge delays remain to the deadline.
_MIN_REMAINING_DELAYS = 2


class RestartPolicy:
    """Decides whether a run ends so that another snapshot can be used instead."""

    def __init__(self, run_context: RunContext) -> None:
        self._run_context = run_context

    def is_due(self, shards: Iterable[ShardState]) -> bool:
        """Return whether only another snapshot can still give full coverage.

        False if the remaining time is too short for another run.

        Args:
            shards: Shards that may have no reachable holder left.
        """
        unreachable = self._run_context.unreachable_upstreams()
        if all(
            self._run_context.snapshot_selector.eligible_holders(
                shard.key, self._run_context.snapshot, unreachable
            )
            for shard in shards
        ):
            return False
        if (
            self._remaining_ms()
            < _MIN_REMAINING_DELAYS * self._longest_hedge_delay_ms()
        ):
            return False
        other = self._run_context.snapshot_selector.choose_snapshot(
            self._run_context.search_context.search.services,
            excluded_snapshots=self._run_context.search_context.snapshots,
            only_full=True,
            excluded_upstreams=unreachable,
        )
        return other is not None

    def _remaining_ms(self) -> float:
        return (
            self._run_context.search_context.deadline_at_ms
            - self._run_context.clock.monotonic_ms()
        )

    def _longest_hedge_delay_ms(self) -> float:
        return max(
            self._run_context.sender.service_budget(service.name).hedge_delay_ms
            for service in self._run_context.search_context.search.services
        )
