"""Messages that instances exchange and that the subpackages share.

All are frozen data classes; adapters convert them to and from the wire.
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
    """What an answer comes from.

    Attributes:
        index_version: Version of the index; compared as text, newer sorts later.
        partitioning: Name of the division of the index into shards.
    """

    index_version: str
    partitioning: str


@dataclass(frozen=True, slots=True)
class Holding:
    """One shard of one snapshot that an upstream can answer from."""

    snapshot: Snapshot
    shard: int


class UpstreamState(StrEnum):
    """What an upstream says of itself."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream announces of itself.

    Attributes:
        upstream: Identity, stable across restarts.
        incarnation: Grows with each restart of the upstream.
        address: ``host:port`` as an IP number and a port.
        slots: Requests that it runs at the same time.
        connection_limit: Connections that it accepts from all instances together.
        ttl_ms: Time after which it counts as gone unless it announces itself again.
        load: Share of its slots in use as it reports it, 0 to 1. May lag or mislead.
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
        owner: Instance that alone sends work to it, or None while it is vacant.
    """

    announcement: Announcement
    owner: str | None = None


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """A live instance as the directory lists it.

    Attributes:
        caller_address: ``host:port`` for callers.
        peer_address: ``host:port`` for other instances.
        weight: Share of callers that it should get, relative to the others.
    """

    instance: str
    data_centre: str
    caller_address: str
    peer_address: str
    weight: float = 1.0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class GateHandover:
    """What a former owner knew of an upstream when it released it.

    Attributes:
        limit: Requests in flight that the upstream bore.
        lingering_connections: Connections that may still be open on its side.
    """

    upstream: str
    incarnation: int
    limit: int
    lingering_connections: int = 0


@dataclass(frozen=True, slots=True)
class OwnedUpstream:
    """A grant to send work to one upstream.

    Attributes:
        grant_id: Unique per grant; grows with each new grant of any upstream.
        connection_cap: Connections that the owner may have open at the same time.
        handover: State left by the former owner, or None to start cold.
    """

    upstream: str
    grant_id: int
    connection_cap: int
    handover: GateHandover | None = None


@dataclass(frozen=True, slots=True)
class PollRequest:
    """Regular message of an instance to the leader.

    Attributes:
        boot_id: Unique per process start of the instance.
        configuration_version: Version in force at the instance.
        registry_version: Version of the upstream registry that it has.
        owned: Grants that it holds, as upstream and grant id.
        released: Grants that it gives back, with what it knew.
        announcements: Announcements received from upstreams since the last poll.
        wait_ms: How long the leader may hold the reply if nothing changes.
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
        confirmed_age_ms: Time since the start of the last heartbeat round that a
            majority of voters confirmed, at the moment of the reply.
        configuration_text: The file in force, only if the instance is behind.
        upstreams: The whole registry, only if ``registry_version`` differs.
        owned: All grants of the instance that are valid under the new lease.
        revoked: Upstreams that the instance has to release.
        quarantined: Fingerprints refused everywhere.
        suspects: Fingerprints that broke one upstream, with its name.
        in_force_version: Highest version known to be in force on every instance.
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
    """One request for one shard, or one submit, to one upstream.

    Attributes:
        request_id: Unique across instances and their restarts.
        caller_request_id: The caller's id, for logs and upstream tracing.
        fingerprint: Digest of target and body.
        shard: Shard number, or -1 for a submit.
        snapshot: Pinned snapshot, or None for a submit.
        budget_ms: Time left until the deadline when the message was made.
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
        complete: False if the upstream says that its own answer is partial.
        service_time_ms: Time between sending and the last byte, at the owner.
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
    """Why a shard request failed, as it travels between instances.

    Attributes:
        error: Class name of the error in :mod:`cuminbend.exceptions`.
        kind: Kind of an upstream error, or empty.
    """

    request_id: str
    error: str
    message: str
    run_state: RunState
    kind: str = ""
    retry_after_ms: int | None = None
    details: tuple[str, ...] = field(default=())
