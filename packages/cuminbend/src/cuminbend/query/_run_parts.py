"""What the parts of a run share."""

from dataclasses import dataclass

from cuminbend.messages import Snapshot
from cuminbend.ports import Clock
from cuminbend.query._attempts import AttemptSender, SearchContext
from cuminbend.query._base import ClusterView
from cuminbend.query._fingerprints import FingerprintBook
from cuminbend.query._replicas import ReplicaBoard
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import SnapshotSelector

__all__ = ["RunParts"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunParts:
    """The search, its pinned snapshot and the state that all searches share."""

    settings: QuerySettings
    view: ClusterView
    clock: Clock
    sender: AttemptSender
    selector: SnapshotSelector
    board: ReplicaBoard
    book: FingerprintBook
    context: SearchContext
    snapshot: Snapshot

    def dead_upstreams(self) -> set[str]:
        """Return the upstreams that enough attempts of this search did not reach."""
        return self.context.dead_upstreams(self.settings.latency_rounds)
