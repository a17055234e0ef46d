"""Choice of the snapshot that an answer comes from."""

from collections.abc import Container, Iterator, Sequence

from cuminbend.config import ServiceConfig
from cuminbend.messages import Snapshot, UpstreamRecord
from cuminbend.ports import Clock
from cuminbend.query._base import ClusterView
from cuminbend.query._settings import QuerySettings

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
    """Finds the snapshots of a target and remembers doubtful holdings."""

    def __init__(
        self, *, settings: QuerySettings, view: ClusterView, clock: Clock
    ) -> None:
        self._settings = settings
        self._view = view
        self._clock = clock
        self._doubts: dict[tuple[str, Snapshot], float] = {}

    def doubt(self, upstream: str, snapshot: Snapshot) -> None:
        """Avoid an upstream for a snapshot that it did not answer from."""
        now = self._clock.monotonic_ms()
        self._doubts = {key: end for key, end in self._doubts.items() if end > now}
        self._doubts[upstream, snapshot] = now + self._settings.doubt_ms

    def trust(self, upstream: str, snapshot: Snapshot) -> None:
        """Forget a doubt after a reply from the right snapshot."""
        if self._doubts:
            self._doubts.pop((upstream, snapshot), None)

    def is_doubted(self, upstream: str, snapshot: Snapshot) -> bool:
        """Tell whether an upstream is avoided for a snapshot."""
        if not self._doubts:
            return False
        end = self._doubts.get((upstream, snapshot))
        return end is not None and end > self._clock.monotonic_ms()

    def trusted_holders(
        self, key: ShardKey, snapshot: Snapshot, without: Container[str] = ()
    ) -> list[UpstreamRecord]:
        """Return the holders of a shard without the doubtful ones."""
        return [
            record
            for record in self._view.holders(key[0], snapshot, key[1])
            if not self.is_doubted(record.announcement.upstream, snapshot)
            and record.announcement.upstream not in without
        ]

    def choose(
        self,
        services: Sequence[ServiceConfig],
        *,
        exclude: Sequence[Snapshot] = (),
        only_full: bool = False,
        without: Container[str] = (),
    ) -> Snapshot | None:
        """Return the newest snapshot with full coverage.

        Without one, the snapshot with the largest share of covered shards is
        returned, or None if ``only_full`` is set or nothing is held. Upstreams in
        ``without`` do not count.
        """
        best: Snapshot | None = None
        best_share = 0.0
        for snapshot in sorted(self._snapshots(services), reverse=True):
            if snapshot in exclude:
                continue
            share = self._share(services, snapshot, without)
            if share == 1:
                return snapshot
            if share > best_share:
                best, best_share = snapshot, share
        return None if only_full else best

    def _share(
        self,
        services: Sequence[ServiceConfig],
        snapshot: Snapshot,
        without: Container[str],
    ) -> float:
        keys = list_shards(services, snapshot.partitioning)
        held = sum(bool(self.trusted_holders(key, snapshot, without)) for key in keys)
        return held / len(keys)

    def _snapshots(self, services: Sequence[ServiceConfig]) -> set[Snapshot]:
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
        """Return the end of each doubt by upstream and snapshot."""
        return {
            f"{upstream} {snapshot.index_version}/{snapshot.partitioning}": end
            for (upstream, snapshot), end in sorted(self._doubts.items())
        }
