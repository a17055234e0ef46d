"""Data classes of a validated configuration."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class ServiceMode(StrEnum):
    """Kind of requests that a service accepts."""

    SEARCH = "search"
    SUBMIT = "submit"


class Preference(StrEnum):
    """Whether a member prefers low latency or full coverage of its searches."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class WithoutQuorum(StrEnum):
    """How instances handle searches after their lease has expired."""

    REFUSE = "refuse"
    SEARCH = "search"


@dataclass(frozen=True)
class DataCentreConfig:
    """A data centre, and whether its upstreams and instances may get work."""

    name: str
    in_service: bool = True


@dataclass(frozen=True)
class MemberConfig:
    """A member, its share of busy upstreams and its deadlines.

    Attributes:
        share: Weight of the member when upstreams are busy, relative to the other
            members.
        prefer: Whether the member prefers low latency or full coverage.
        default_deadline_ms: Deadline of a request without a deadline of its own.
        max_deadline_ms: Longest deadline that a request may have.
    """

    name: str
    share: float = 1.0
    prefer: Preference = Preference.LATENCY
    default_deadline_ms: int = 300
    max_deadline_ms: int = 2000


@dataclass(frozen=True)
class ServiceConfig:
    """A service: the searchers that hold the shards of an index.

    Attributes:
        group: Group of services that one search may query together; the name of the
            service if the file declares no group.
        shards: Number of shards of each partitioning, by the name of the partitioning.
        members: Members that may use the service; empty for all.
        max_body_bytes: Greatest size of a request body.
        canary: Whether a new query is tried on one shard before the others.
    """

    name: str
    group: str
    mode: ServiceMode
    shards: dict[str, int]
    members: tuple[str, ...] = ()
    max_body_bytes: int = 65536
    canary: bool = True


@dataclass(frozen=True)
class Configuration:
    """Validated content of an operator file.

    Attributes:
        cluster: Name of the cluster.
        without_quorum: How instances handle searches after their lease has expired.
        claim_retention_s: Time for which the claim on an idempotency key is kept.
    """

    cluster: str
    without_quorum: WithoutQuorum = WithoutQuorum.REFUSE
    claim_retention_s: int = 86400
    data_centres: tuple[DataCentreConfig, ...] = ()
    members: tuple[MemberConfig, ...] = ()
    services: tuple[ServiceConfig, ...] = field(default=())

    @cached_property
    def services_by_name(self) -> dict[str, ServiceConfig]:
        """Services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def members_by_name(self) -> dict[str, MemberConfig]:
        """Members by name."""
        return {member.name: member for member in self.members}

    @cached_property
    def groups(self) -> dict[str, tuple[ServiceConfig, ...]]:
        """Services of each group, by the name of the group."""
        groups: dict[str, list[ServiceConfig]] = {}
        for service in self.services:
            groups.setdefault(service.group, []).append(service)
        return {name: tuple(services) for name, services in groups.items()}

    @cached_property
    def data_centres_in_service(self) -> frozenset[str]:
        """Names of the data centres that may get work."""
        return frozenset(dc.name for dc in self.data_centres if dc.in_service)

    def resolve_target(self, name: str) -> tuple[ServiceConfig, ...]:
        """Return the services of a service or group name, or () if it is unknown."""
        service = self.services_by_name.get(name)
        if service is not None:
            return (service,)
        return self.groups.get(name, ())
