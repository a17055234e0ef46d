"""Types shared by the modules of searches."""

from dataclasses import dataclass
from typing import Protocol

from cuminbend.config import Configuration
from cuminbend.exceptions import RequestFailedError
from cuminbend.messages import Snapshot, UpstreamRecord, WorkKind


class LeasePort(Protocol):
    """The lease of this instance."""

    def is_valid(self, for_ms: float = 0) -> bool:
        """Tell whether the lease runs for at least ``for_ms`` from now."""


class ClusterView(Protocol):
    """What this instance knows of the cluster.

    Attributes:
        configuration: Configuration in force, or None before the first poll.
        upstreams: Registry of upstreams by name.
        quarantined: Fingerprints refused everywhere.
        suspects: Upstream that a fingerprint broke, by fingerprint.
    """

    @property
    def lease(self) -> LeasePort: ...

    @property
    def configuration(self) -> Configuration | None: ...

    @property
    def upstreams(self) -> dict[str, UpstreamRecord]: ...

    @property
    def quarantined(self) -> frozenset[str]: ...

    @property
    def suspects(self) -> dict[str, str]: ...

    @property
    def local_data_centre(self) -> str: ...

    def holders(
        self, service: str, snapshot: Snapshot, shard: int
    ) -> list[UpstreamRecord]:
        """Return the holders of a shard that may get work.

        These are ready, have an owner, and are in a data centre in service.
        """


class QueryObserver(Protocol):
    """Receives counts and times of searches."""

    def search_finished(
        self,
        *,
        member: str,
        service: str,
        outcome: str,
        latency_ms: float,
        deadline_ms: float,
        shards_total: int,
        shards_answered: int,
        error: RequestFailedError | None,
    ) -> None:
        """Record a search.

        Args:
            member: Member on whose behalf.
            service: Target, a service or a group.
            outcome: ``ok``, ``partial``, ``cancelled`` or the class name of its error.
            latency_ms: Time from its arrival.
            deadline_ms: Time that it had.
            shards_total: Declared shards, 0 without an answer.
            shards_answered: Shards answered in full.
            error: Why it failed, or None.
        """

    def attempt_finished(
        self,
        *,
        member: str,
        service: str,
        kind: WorkKind,
        outcome: str,
        latency_ms: float,
    ) -> None:
        """Record a request to an upstream.

        Args:
            member: Member on whose behalf.
            service: Service of the shard.
            kind: Why it was sent.
            outcome: ``ok``, ``partial``, ``cancelled``, the kind of an upstream error
                or the class name of another error.
            latency_ms: Time that it took.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class SearchRequest:
    """A caller's search.

    Attributes:
        target: Name of a service or of a group of services.
        deadline_ms: Time until the answer has to be out, or None for the default of
            the member.
        snapshot: Snapshot to answer from, or None for the best one.
    """

    caller_request_id: str
    member: str
    target: str
    body: bytes
    deadline_ms: float | None = None
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardAnswer:
    """The reply of an upstream for one shard."""

    service: str
    shard: int
    upstream: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SearchAnswer:
    """The answer to a search.

    Attributes:
        shards_total: Declared shards of the target under the snapshot.
        shards_answered: Shards with a complete reply.
        missing: Service and shard of each shard without a reply.
        partial: Service and shard of each shard with only a partial reply.
        replies: Complete and partial replies, by service and shard.
        attempts: Shard requests sent, with hedges and retries.
        hedges: Shard requests sent as hedges.
    """

    caller_request_id: str
    snapshot: Snapshot
    shards_total: int
    shards_answered: int
    missing: tuple[tuple[str, int], ...]
    partial: tuple[tuple[str, int], ...]
    replies: tuple[ShardAnswer, ...]
    elapsed_ms: float
    attempts: int
    hedges: int
