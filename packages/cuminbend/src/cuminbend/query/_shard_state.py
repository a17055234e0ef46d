"""State of one shard in a run."""

from collections import Counter
from collections.abc import Iterable

import anyio

from cuminbend.query._attempts import Outcome
from cuminbend.query._base import ShardAnswer
from cuminbend.query._snapshots import ShardKey

__all__ = ["ShardState", "count_complete"]


class ShardState:
    """Replies and attempts of one shard.

    Attributes:
        answer: Best reply so far.
        complete: Whether ``answer`` is a complete reply.
        settled: Whether no more attempts are sent for the shard.
        hedges: Number of hedges sent.
        is_waiting_for_hedge_token: Whether a hedge is due but found no token so far.
        in_flight: Upstream and cancel scope of each attempt in flight.
        incomplete_attempts: Number of attempts that ended without a complete reply, by
            upstream.
        partial_upstreams: Upstreams that sent a partial reply.
        started_at_ms: Monotonic time of the first attempt, or None before it.
        check_at_ms: Monotonic time at which the shard is next considered for a hedge.
        overdue_at_ms: Monotonic time from which the attempts in flight count as lost.
    """

    def __init__(self, key: ShardKey) -> None:
        self.key = key
        self.answer: ShardAnswer | None = None
        self.complete = False
        self.settled = False
        self.hedges = 0
        self.is_waiting_for_hedge_token = False
        self.in_flight: list[tuple[str, anyio.CancelScope]] = []
        self.incomplete_attempts: Counter[str] = Counter()
        self.partial_upstreams: set[str] = set()
        self.started_at_ms: float | None = None
        self.check_at_ms = float("inf")
        self.overdue_at_ms = float("inf")

    def record_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of an attempt.

        A complete reply replaces a partial one. A partial reply replaces no other
        reply, even if both arrive at the same time.
        """
        if outcome.reply is None:
            self.incomplete_attempts[outcome.upstream] += 1
            return
        if not outcome.reply.complete:
            self.incomplete_attempts[outcome.upstream] += 1
            self.partial_upstreams.add(outcome.upstream)
            if self.answer is not None:
                return
        self.complete = outcome.reply.complete
        self.answer = ShardAnswer(
            service=self.key[0],
            shard=self.key[1],
            upstream=outcome.upstream,
            body=outcome.reply.body,
        )
        if self.complete:
            self.settle()

    def settle(self) -> None:
        """Send no more attempts for the shard and cancel those in flight."""
        self.settled = True
        for _, scope in self.in_flight:
            scope.cancel()


def count_complete(shards: Iterable[ShardState]) -> int:
    """Return the number of shards with a complete reply."""
    return sum(shard.complete for shard in shards)
