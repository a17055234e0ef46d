"""Protocols and data classes of the query coordinator."""

from dataclasses import dataclass
from typing import Protocol

from cuminbend.config import Configuration
from cuminbend.exceptions import RequestFailedError
from cuminbend.messages import Snapshot, UpstreamRecord, WorkKind


class LeasePort(Protocol):
    """The lease of this instance."""

    def is_valid(self, for_ms: float = 0) -> bool:
        """Return whether the lease stays valid for ``for_ms`` milliseconds or more."""


class ClusterView(Protocol):
    """State of the cluster as this instance knows it.

    Attributes:
        lease: Lease of this instance.
        configuration: Configuration in force, or None before the first poll.
        upstreams: Announced upstreams by name.
        quarantined: Fingerprints that every instance refuses.
        suspects: Name of the upstream that a fingerprint crashed, by fingerprint.
        local_data_centre: Data centre of this instance.
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
        """Return the upstreams that hold a shard and may get work.

        They are ready, have an owner, and are in a data centre in service. The list is
        empty if there are none.
        """


class QueryObserver(Protocol):
    """Receives the outcomes and times of searches and attempts."""

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
        """Record a search that ended.

        Args:
            member: Member that sent the search.
            service: Target of the search, a service or a group.
            outcome: ``ok``, ``partial``, ``cancelled`` or the class name of the error.
            latency_ms: Time since the arrival of the search.
            deadline_ms: Deadline of the search, counted from its arrival.
            shards_total: Number of declared shards, or 0 without an answer.
            shards_answered: Number of shards with a complete reply.
            error: Error that the search failed with, or None.
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
        """Record an attempt, which is one request to one upstream, that ended.

        Args:
            member: Member that sent the search.
            service: Service of the shard.
            kind: Kind of work given in the request.
            outcome: ``ok``, ``partial``, ``cancelled``, the kind of an upstream error
                or the class name of another error.
            latency_ms: Duration of the attempt.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class SearchRequest:
    """A caller's search.

    Attributes:
        target: Name of a service or of a group of services.
        deadline_ms: Time from the arrival of the request in which the answer is due, or
            None for the default of the member.
        snapshot: Snapshot to answer from, or None to let the coordinator choose one.
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
        shards_total: Number of declared shards of the target under the snapshot.
        shards_answered: Number of shards with a complete reply.
        missing: Service and shard of each shard without a reply.
        partial: Service and shard of each shard with only a partial reply.
        replies: Complete and partial replies, by service and shard.
        elapsed_ms: Time from the arrival of the request to the answer.
        attempts: Number of shard requests sent, including hedges and retries.
        hedges: Number of shard requests sent as hedges.
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
