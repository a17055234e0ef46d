"""Handling of slow shards: they are hedged or left out of the answer."""

from collections.abc import Collection

from cuminbend.messages import UpstreamRecord
from cuminbend.query._run_context import RunContext
from cuminbend.query._shard_state import ShardState, count_complete

__all__ = ["StragglerPolicy"]

# A hedge without a token is considered again after this share of the hedge delay, but
# not before the shortest hedge delay.
_HEDGE_RECHECK_SHARE = 0.25


class StragglerPolicy:
    """Decides when slow shards are hedged, and how long the answer waits for them."""

    def __init__(self, run_context: RunContext) -> None:
        self._run_context = run_context

    def is_worth_hedging(self, shard: ShardState, record: UpstreamRecord) -> bool:
        """Return whether a hedge to an upstream can be expected to help."""
        upstream = record.announcement.upstream
        return shard.hedges < self._run_context.settings.max_hedges and not (
            self._run_context.snapshot_selector.has_recent_mismatch(
                upstream, self._run_context.snapshot
            )
            or self._run_context.replica_stats.is_avoided(upstream)
        )

    def take_hedge_token(self, shard: ShardState) -> bool:
        """Take a token and count the hedge, or return False without a token."""
        is_first_try, shard.is_waiting_for_hedge_token = (
            not shard.is_waiting_for_hedge_token,
            True,
        )
        if not self._run_context.sender.hedge_budget.try_spend(
            is_first_try=is_first_try
        ):
            return False
        shard.hedges += 1
        shard.is_waiting_for_hedge_token = False
        return True

    def hedge_delay_ms(self, shard: ShardState) -> float:
        """Return the time after which an attempt that starts now may be hedged."""
        budget = self._run_context.sender.service_budget(shard.key[0])
        # A shard that was hedged before already delays the whole answer, so its next
        # hedge may be sent earlier.
        return budget.next_hedge_delay_ms if shard.hedges else budget.hedge_delay_ms

    def recheck_delay_ms(self, shard: ShardState) -> float:
        """Return the time after which a hedge without a token is considered again."""
        budget = self._run_context.sender.service_budget(shard.key[0])
        return max(
            _HEDGE_RECHECK_SHARE * budget.hedge_delay_ms,
            self._run_context.settings.min_hedge_delay_ms,
        )

    def may_answer_without_stragglers(
        self, shards: Collection[ShardState], now: float
    ) -> bool:
        """Return whether the answer may be returned without the unsettled shards."""
        share = self._run_context.settings.latency_coverage
        if share >= 1:
            return False
        if count_complete(shards) < share * len(shards):
            return False
        return all(
            self._has_waited_long_enough(shard, now)
            for shard in shards
            if not shard.settled
        )

    def _has_waited_long_enough(self, shard: ShardState, now: float) -> bool:
        wait_ms = max(
            self._run_context.settings.min_straggler_wait_ms,
            self._run_context.sender.service_budget(shard.key[0]).overdue_ms,
        )
        return shard.started_at_ms is not None and now >= shard.started_at_ms + wait_ms
