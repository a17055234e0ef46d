"""Objects that the parts of a run share."""

from dataclasses import dataclass

from cuminbend.messages import Snapshot
from cuminbend.ports import Clock
from cuminbend.query._attempts import AttemptSender, SearchContext
from cuminbend.query._base import ClusterView
from cuminbend.query._fingerprints import FingerprintTable
from cuminbend.query._replicas import ReplicaStats
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import SnapshotSelector

__all__ = ["RunContext"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunContext:
    """The search, the snapshot of the run, and objects that all searches share."""

    settings: QuerySettings
    view: ClusterView
    clock: Clock
    sender: AttemptSender
    snapshot_selector: SnapshotSelector
    replica_stats: ReplicaStats
    fingerprint_table: FingerprintTable
    search_context: SearchContext
    snapshot: Snapshot

    def unreachable_upstreams(self) -> set[str]:
        """Return the upstreams that count as unreachable for this search.

        ``min_unreachable_attempts`` or more attempts failed to reach each of them.
        """
        return self.search_context.unreachable_upstreams(
            self.settings.min_unreachable_attempts
        )
