"""What is done about slow shards: hedging them or leaving them out."""

from collections.abc import Collection

from cuminbend.messages import UpstreamRecord
from cuminbend.query._run_parts import RunParts
from cuminbend.query._shard_state import ShardState, count_complete

__all__ = ["StragglerPolicy"]

# A hedge without a token is considered again after this share of its delay, but at
# least the floor of the delay.
_HEDGE_RECHECK_SHARE = 0.25


class StragglerPolicy:
    """Delays, limits and tokens of hedges, and the wait for the slowest shards."""

    def __init__(self, parts: RunParts) -> None:
        self._parts = parts

    def is_worth_hedging(self, shard: ShardState, record: UpstreamRecord) -> bool:
        """Return whether a hedge to an upstream can be expected to help."""
        upstream = record.announcement.upstream
        return shard.hedges < self._parts.settings.max_hedges and not (
            self._parts.selector.is_doubted(upstream, self._parts.snapshot)
            or self._parts.board.is_avoided(upstream)
        )

    def take_hedge_token(self, shard: ShardState) -> bool:
        """Take a token for a hedge and count it; return whether there was one."""
        is_first_try, shard.wants_hedge = not shard.wants_hedge, True
        if not self._parts.sender.hedges.try_spend(is_first_try=is_first_try):
            return False
        shard.hedges += 1
        shard.wants_hedge = False
        return True

    def hedge_delay_ms(self, shard: ShardState) -> float:
        """Return the time after which an attempt that starts now may be hedged."""
        budget = self._parts.sender.service(shard.key[0])
        # A shard that was hedged already holds up the whole answer.
        return budget.next_hedge_delay_ms if shard.hedges else budget.hedge_delay_ms

    def recheck_delay_ms(self, shard: ShardState) -> float:
        """Return the time after which a hedge without a token is considered again."""
        budget = self._parts.sender.service(shard.key[0])
        return max(
            _HEDGE_RECHECK_SHARE * budget.hedge_delay_ms,
            self._parts.settings.hedge_floor_ms,
        )

    def may_leave(self, shards: Collection[ShardState], now: float) -> bool:
        """Return whether the answer may go out without the open shards."""
        share = self._parts.settings.latency_coverage
        if share >= 1:
            return False
        if count_complete(shards) < share * len(shards):
            return False
        return all(
            self._has_waited(shard, now) for shard in shards if not shard.settled
        )

    def _has_waited(self, shard: ShardState, now: float) -> bool:
        wait_ms = max(
            self._parts.settings.straggler_wait_ms,
            self._parts.sender.service(shard.key[0]).overdue_ms,
        )
        return shard.started_at_ms is not None and now >= shard.started_at_ms + wait_ms
