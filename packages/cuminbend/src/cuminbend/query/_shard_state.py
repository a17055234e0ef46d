"""State of one shard in a run."""

from collections import Counter
from collections.abc import Iterable

import anyio

from cuminbend.query._attempts import Outcome
from cuminbend.query._base import ShardAnswer
from cuminbend.query._snapshots import ShardKey

__all__ = ["ShardState", "count_complete"]


class ShardState:
    """What a run knows of one shard.

    Attributes:
        answer: Best reply so far.
        complete: Whether ``answer`` is a complete reply.
        settled: Whether nothing more is sent for the shard.
        in_flight: Upstream and scope of each attempt in flight.
        hedges: Hedges sent.
        wants_hedge: Whether a hedge is due and found no token so far.
        tried: Attempts that ended without a complete reply, by upstream.
        check_at_ms: When the shard is next considered for a hedge.
        overdue_at_ms: When the attempts in flight count as lost.
    """

    def __init__(self, key: ShardKey) -> None:
        self.key = key
        self.answer: ShardAnswer | None = None
        self.complete = False
        self.settled = False
        self.hedges = 0
        self.wants_hedge = False
        self.in_flight: list[tuple[str, anyio.CancelScope]] = []
        self.tried: Counter[str] = Counter()
        self.partial_from: set[str] = set()
        self.started_at_ms: float | None = None
        self.check_at_ms = float("inf")
        self.overdue_at_ms = float("inf")

    def accept(self, outcome: Outcome) -> None:
        """Take over the result of an attempt.

        A complete reply replaces a partial one, and nothing replaces a complete one
        with less, not even a reply that arrives at the same time.
        """
        if outcome.reply is None:
            self.tried[outcome.upstream] += 1
            return
        if not outcome.reply.complete:
            self.tried[outcome.upstream] += 1
            self.partial_from.add(outcome.upstream)
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
        """Stop asking for the shard and cancel what is in flight for it."""
        self.settled = True
        for _, scope in self.in_flight:
            scope.cancel()


def count_complete(shards: Iterable[ShardState]) -> int:
    """Return how many shards have a complete reply."""
    return sum(shard.complete for shard in shards)
