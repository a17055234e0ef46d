"""Messages that instances exchange and that the subpackages share.

All messages are frozen data classes; adapters convert them to and from the wire
format.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from cuminbend.exceptions import RunState

__all__ = [
    "Announcement",
    "GateHandover",
    "Holding",
    "InstanceInfo",
    "OwnedUpstream",
    "PollReply",
    "PollRequest",
    "ShardFailure",
    "ShardReply",
    "ShardRequest",
    "Snapshot",
    "UpstreamRecord",
    "UpstreamState",
    "WorkKind",
]


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """Version and partitioning of the index from which an answer comes.

    Attributes:
        index_version: Version of the index, compared as text; newer ones sort later.
        partitioning: Name of the partitioning of the index into shards.
    """

    index_version: str
    partitioning: str


@dataclass(frozen=True, slots=True)
class Holding:
    """One shard of one snapshot that an upstream can answer from."""

    snapshot: Snapshot
    shard: int


class UpstreamState(StrEnum):
    """State that an upstream reports."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Announcement:
    """State and capacity that an upstream announces.

    Attributes:
        upstream: Identity, stable across restarts.
        incarnation: Grows with each restart of the upstream.
        address: IP address and port as ``host:port``.
        holdings: Shards that the upstream can answer from.
        slots: Number of requests that the upstream runs at the same time.
        connection_limit: Number of connections that the upstream accepts from all
            instances together.
        ttl_ms: Time after which the upstream counts as gone unless it announces itself
            again.
        load: Share of the slots in use as the upstream reports it, 0 to 1. May be
            outdated or wrong.
    """

    upstream: str
    incarnation: int
    data_centre: str
    address: str
    service: str
    holdings: tuple[Holding, ...]
    slots: int
    connection_limit: int
    state: UpstreamState = UpstreamState.READY
    ttl_ms: int = 5000
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An announced upstream and the instance that owns it.

    Attributes:
        owner: The only instance that sends requests to the upstream, or None while the
            upstream has no owner.
    """

    announcement: Announcement
    owner: str | None = None


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """A live instance as the directory lists it.

    Attributes:
        caller_address: ``host:port`` for callers.
        peer_address: ``host:port`` for other instances.
        weight: Share of callers that the instance should get, relative to the other
            instances.
        draining: Whether the instance asks to leave the directory and to release its
            upstreams.
    """

    instance: str
    data_centre: str
    caller_address: str
    peer_address: str
    weight: float = 1.0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class GateHandover:
    """State of an upstream's gate at the former owner when it released the upstream.

    Attributes:
        limit: Limit on requests in flight that the slow start had reached.
        lingering_connections: Number of connections that the upstream may still hold
            open.
    """

    upstream: str
    incarnation: int
    limit: int
    lingering_connections: int = 0


@dataclass(frozen=True, slots=True)
class OwnedUpstream:
    """A grant to send requests to one upstream.

    Attributes:
        grant_id: Unique per grant; grows with each new grant of any upstream.
        connection_cap: Number of connections that the owner may have open at the same
            time.
        handover: State from the former owner, or None to begin with a slow start.
    """

    upstream: str
    grant_id: int
    connection_cap: int
    handover: GateHandover | None = None


@dataclass(frozen=True, slots=True)
class PollRequest:
    """Periodic message of an instance to the leader.

    Attributes:
        boot_id: Unique per process start of the instance.
        configuration_version: Version in force at the instance.
        registry_version: Version of the upstream registry at the instance.
        owned: Grants that the instance holds, as pairs of upstream and grant id.
        released: Upstreams that the instance releases, with the state of their gates.
        announcements: Announcements received from upstreams since the last poll.
        wait_ms: How long the leader may delay the reply while nothing changes.
    """

    info: InstanceInfo
    boot_id: str
    configuration_version: int
    registry_version: int
    owned: tuple[tuple[str, int], ...] = ()
    released: tuple[GateHandover, ...] = ()
    announcements: tuple[Announcement, ...] = ()
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class PollReply:
    """The leader's answer to a poll.

    Attributes:
        confirmed_age_ms: Time between the start of the last heartbeat round that a
            majority of voters confirmed and the reply.
        configuration_text: The file in force, or None if the instance already has it.
        upstreams: The whole registry, or None if the instance already has this
            ``registry_version``.
        owned: All grants of the instance that are valid under the new lease.
        revoked: Upstreams that the instance has to release.
        quarantined: Fingerprints that all instances refuse.
        suspects: Fingerprints that crashed one upstream, each with the upstream.
        in_force_version: Highest configuration version known to be in force on every
            instance.
    """

    leader: str
    term: int
    confirmed_age_ms: float
    configuration_version: int
    registry_version: int
    configuration_text: str | None = None
    upstreams: tuple[UpstreamRecord, ...] | None = None
    instances: tuple[InstanceInfo, ...] = ()
    owned: tuple[OwnedUpstream, ...] = ()
    revoked: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    suspects: tuple[tuple[str, str], ...] = ()
    in_force_version: int = 0


class WorkKind(StrEnum):
    """Why a request is sent to an upstream."""

    SEARCH = "search"
    HEDGE = "hedge"
    RETRY = "retry"
    CANARY = "canary"
    SUSPECT = "suspect"
    SUBMIT = "submit"


@dataclass(frozen=True, slots=True)
class ShardRequest:
    """Request for one shard, or one submit, to one upstream.

    Attributes:
        request_id: Unique across instances and their restarts.
        caller_request_id: The caller's id for the request, for logs and tracing at the
            upstream.
        fingerprint: Digest of target and body.
        shard: Shard number, or -1 for a submit.
        snapshot: Pinned snapshot, or None for a submit.
        budget_ms: Time left until the deadline when the message was created.
    """

    request_id: str
    caller_request_id: str
    member: str
    service: str
    upstream: str
    kind: WorkKind
    body: bytes
    budget_ms: float
    fingerprint: str = ""
    shard: int = -1
    snapshot: Snapshot | None = None
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class ShardReply:
    """A verified reply of an upstream.

    Attributes:
        complete: False if the upstream marked its answer as partial.
        service_time_ms: Time from sending the request to the last byte of the reply,
            measured by the owner.
    """

    request_id: str
    upstream: str
    incarnation: int
    body: bytes
    snapshot: Snapshot | None = None
    complete: bool = True
    service_time_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ShardFailure:
    """Failure of a shard request, as sent between instances.

    Attributes:
        error: Class name of the error in :mod:`cuminbend.exceptions`.
        kind: Kind of an upstream error, or empty for other errors.
    """

    request_id: str
    error: str
    message: str
    run_state: RunState
    kind: str = ""
    retry_after_ms: int | None = None
    details: tuple[str, ...] = field(default=())
