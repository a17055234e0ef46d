"""Choice of the replica that a run asks next."""

from cuminbend.messages import UpstreamRecord
from cuminbend.query._run_parts import RunParts
from cuminbend.query._shard_state import ShardState

__all__ = ["ReplicaChoice"]


class ReplicaChoice:
    """Ranks the holders of the shards of one snapshot."""

    def __init__(self, parts: RunParts) -> None:
        self._parts = parts

    def choose(self, shard: ShardState) -> UpstreamRecord | None:
        """Return the replica to ask next, preferring those not asked yet."""
        holders = self.open_holders(shard)
        if not holders:
            return None
        ranks = [self._rank(shard, record) for record in holders]
        best = min(ranks)
        return self._parts.board.choose(
            [
                record
                for record, rank in zip(holders, ranks, strict=True)
                if rank == best
            ],
            typical_ms=self._parts.sender.service(shard.key[0]).typical_ms,
        )

    def open_holders(self, shard: ShardState) -> list[UpstreamRecord]:
        """Return the holders of a shard that did not answer it in part."""
        return [
            record
            for record in self._parts.view.holders(
                shard.key[0], self._parts.snapshot, shard.key[1]
            )
            if record.announcement.upstream not in shard.partial_from
        ]

    def _rank(
        self, shard: ShardState, record: UpstreamRecord
    ) -> tuple[bool, bool, int]:
        """Return how little a replica is wanted for the next attempt.

        An upstream is asked twice at a time only if it is the last replica: a slow
        request or a silent connection does not make the next one slow as well. A
        doubtful holding is better than none, because a reply from another snapshot is
        dropped anyway.
        """
        upstream = record.announcement.upstream
        return (
            any(upstream == asked for asked, _ in shard.in_flight),
            self._parts.selector.is_doubted(upstream, self._parts.snapshot),
            shard.tried[upstream],
        )

    def is_hopeless(self, shard: ShardState, *, may_wait: bool) -> bool:
        """Tell whether no known replica can be expected to answer in full.

        Members that prefer coverage give up only when all replicas answered in part;
        otherwise they wait for replicas to come back until the deadline, unless the
        run of another snapshot can be resumed.

        Args:
            shard: The shard.
            may_wait: Whether replicas may be waited for.
        """
        holders = self.holder_names(shard)
        if holders and holders <= shard.partial_from:
            return True
        if may_wait:
            return False
        dead = self._parts.dead_upstreams() | shard.partial_from
        return all(
            upstream in dead or self._is_disproved(shard, upstream)
            for upstream in holders
        )

    def _is_disproved(self, shard: ShardState, upstream: str) -> bool:
        """Tell whether an upstream answered this query from another snapshot."""
        return shard.tried[upstream] > 0 and self._parts.selector.is_doubted(
            upstream, self._parts.snapshot
        )

    def holder_names(self, shard: ShardState) -> set[str]:
        """Return the names of the upstreams that hold a shard."""
        return {
            record.announcement.upstream
            for record in self._parts.view.holders(
                shard.key[0], self._parts.snapshot, shard.key[1]
            )
        }
