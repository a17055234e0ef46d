"""Selection of the snapshot that an answer comes from."""

from collections.abc import Container, Iterator, Sequence

from cuminbend.config import ServiceConfig
from cuminbend.messages import Snapshot, UpstreamRecord
from cuminbend.ports import Clock
from cuminbend.query._base import ClusterView
from cuminbend.query._settings import QuerySettings

# Name of a service and number of one of its shards.
ShardKey = tuple[str, int]


def list_shards(
    services: Sequence[ServiceConfig], partitioning: str
) -> tuple[ShardKey, ...]:
    """Return service and number of all declared shards of a partitioning."""
    return tuple(
        (service.name, shard)
        for service in services
        for shard in range(service.shards[partitioning])
    )


class SnapshotSelector:
    """Selects snapshots, and remembers replies from a snapshot not requested."""

    def __init__(
        self, *, settings: QuerySettings, view: ClusterView, clock: Clock
    ) -> None:
        self._settings = settings
        self._view = view
        self._clock = clock
        self._mismatch_until_ms: dict[tuple[str, Snapshot], float] = {}

    def record_mismatch(self, upstream: str, snapshot: Snapshot) -> None:
        """Avoid an upstream for a snapshot after a reply from another one."""
        now = self._clock.monotonic_ms()
        self._mismatch_until_ms = {
            key: end for key, end in self._mismatch_until_ms.items() if end > now
        }
        self._mismatch_until_ms[upstream, snapshot] = (
            now + self._settings.mismatch_avoid_ms
        )

    def clear_mismatch(self, upstream: str, snapshot: Snapshot) -> None:
        """Stop avoiding an upstream after a reply from the requested snapshot."""
        if self._mismatch_until_ms:
            self._mismatch_until_ms.pop((upstream, snapshot), None)

    def has_recent_mismatch(self, upstream: str, snapshot: Snapshot) -> bool:
        """Return whether an upstream is avoided for a snapshot."""
        if not self._mismatch_until_ms:
            return False
        end = self._mismatch_until_ms.get((upstream, snapshot))
        return end is not None and end > self._clock.monotonic_ms()

    def eligible_holders(
        self, key: ShardKey, snapshot: Snapshot, excluded_upstreams: Container[str] = ()
    ) -> list[UpstreamRecord]:
        """Return the holders of a shard that are neither avoided nor excluded."""
        return [
            record
            for record in self._view.holders(key[0], snapshot, key[1])
            if not self.has_recent_mismatch(record.announcement.upstream, snapshot)
            and record.announcement.upstream not in excluded_upstreams
        ]

    def choose_snapshot(
        self,
        services: Sequence[ServiceConfig],
        *,
        excluded_snapshots: Sequence[Snapshot] = (),
        only_full: bool = False,
        excluded_upstreams: Container[str] = (),
    ) -> Snapshot | None:
        """Return the newest snapshot with full coverage.

        Without one, the snapshot with the largest share of covered shards is
        returned, or None if ``only_full`` is set or no upstream holds a shard.

        Args:
            services: Services of the target.
            excluded_snapshots: Snapshots that are not returned.
            only_full: Whether only a snapshot with full coverage is returned.
            excluded_upstreams: Upstreams whose holdings do not count.
        """
        best: Snapshot | None = None
        best_share = 0.0
        for snapshot in sorted(self._target_snapshots(services), reverse=True):
            if snapshot in excluded_snapshots:
                continue
            covered_share = self._covered_share(services, snapshot, excluded_upstreams)
            if covered_share == 1:
                return snapshot
            if covered_share > best_share:
                best, best_share = snapshot, covered_share
        return None if only_full else best

    def _covered_share(
        self,
        services: Sequence[ServiceConfig],
        snapshot: Snapshot,
        excluded_upstreams: Container[str],
    ) -> float:
        keys = list_shards(services, snapshot.partitioning)
        held = sum(
            bool(self.eligible_holders(key, snapshot, excluded_upstreams))
            for key in keys
        )
        return held / len(keys)

    def _target_snapshots(self, services: Sequence[ServiceConfig]) -> set[Snapshot]:
        return {
            snapshot
            for snapshot in self._held_snapshots({service.name for service in services})
            if all(snapshot.partitioning in service.shards for service in services)
        }

    def _held_snapshots(self, names: set[str]) -> Iterator[Snapshot]:
        for record in self._view.upstreams.values():
            if record.announcement.service in names:
                for holding in record.announcement.holdings:
                    yield holding.snapshot

    def dump(self) -> dict[str, float]:
        """Return the ends of avoidance by upstream and snapshot, for a state dump.

        Each end is a monotonic time in milliseconds.
        """
        return {
            f"{upstream} {snapshot.index_version}/{snapshot.partitioning}": end
            for (upstream, snapshot), end in sorted(self._mismatch_until_ms.items())
        }
