"""Selection of the replica for the next attempt of a run."""

from cuminbend.messages import UpstreamRecord
from cuminbend.query._run_context import RunContext
from cuminbend.query._shard_state import ShardState

__all__ = ["ReplicaSelector"]


class ReplicaSelector:
    """Selects replicas among the holders of the shards of one snapshot."""

    def __init__(self, run_context: RunContext) -> None:
        self._run_context = run_context

    def choose_replica(self, shard: ShardState) -> UpstreamRecord | None:
        """Return the replica for the next attempt, or None if there is none.

        Replicas that were tried less often are preferred.
        """
        holders = self.holders_without_partial_reply(shard)
        if not holders:
            return None
        ranks = [self._rank(shard, record) for record in holders]
        best = min(ranks)
        return self._run_context.replica_stats.choose_replica(
            [
                record
                for record, rank in zip(holders, ranks, strict=True)
                if rank == best
            ],
            typical_ms=self._run_context.sender.service_budget(shard.key[0]).typical_ms,
        )

    def holders_without_partial_reply(self, shard: ShardState) -> list[UpstreamRecord]:
        """Return the holders of a shard that did not send a partial reply."""
        return [
            record
            for record in self._run_context.view.holders(
                shard.key[0], self._run_context.snapshot, shard.key[1]
            )
            if record.announcement.upstream not in shard.partial_upstreams
        ]

    def _rank(
        self, shard: ShardState, record: UpstreamRecord
    ) -> tuple[bool, bool, int]:
        """Return a sort key that is lowest for the best replica for the next attempt.

        An upstream with an attempt in flight gets another one only if there is no other
        replica. The second attempt can help, because a slow request or an unresponsive
        connection does not mean that the next one is slow as well. An upstream that
        recently replied from another snapshot ranks lower, but is better than none,
        because a further such reply is discarded anyway.
        """
        upstream = record.announcement.upstream
        return (
            any(
                upstream == in_flight_upstream
                for in_flight_upstream, _ in shard.in_flight
            ),
            self._run_context.snapshot_selector.has_recent_mismatch(
                upstream, self._run_context.snapshot
            ),
            shard.incomplete_attempts[upstream],
        )

    def is_unanswerable(self, shard: ShardState, *, may_wait: bool) -> bool:
        """Return whether no known replica can be expected to reply completely.

        A run that may wait gives up a shard only when all its replicas replied
        partially. Until then it waits, at most until the deadline, for replicas to
        return. A run that may not wait also gives up a shard when each other replica
        is unreachable or replied from another snapshot.

        Args:
            shard: Shard that is not settled.
            may_wait: Whether the run may wait for replicas. It may if the member
                prefers coverage and no run under another snapshot can be resumed
                instead.
        """
        holders = self.holder_names(shard)
        if holders and holders <= shard.partial_upstreams:
            return True
        if may_wait:
            return False
        unreachable = (
            self._run_context.unreachable_upstreams() | shard.partial_upstreams
        )
        return all(
            upstream in unreachable or self._answered_other_snapshot(shard, upstream)
            for upstream in holders
        )

    def _answered_other_snapshot(self, shard: ShardState, upstream: str) -> bool:
        """Return whether an upstream answered this search from another snapshot."""
        return shard.incomplete_attempts[
            upstream
        ] > 0 and self._run_context.snapshot_selector.has_recent_mismatch(
            upstream, self._run_context.snapshot
        )

    def holder_names(self, shard: ShardState) -> set[str]:
        """Return the names of the upstreams that hold a shard."""
        return {
            record.announcement.upstream
            for record in self._run_context.view.holders(
                shard.key[0], self._run_context.snapshot, shard.key[1]
            )
        }
