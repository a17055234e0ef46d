"""Routes of a configuration and the search for the one that a request takes."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from cuminbend.exceptions import ConfigurationError


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the requests of one path prefix are forwarded.

    Attributes:
        host: Value of the request's ``Host`` header.
        path_prefix: Begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_ms: Time after which a request gets its final answer.
        objective_ms: Time within which an answer has its full worth.
        priority: Rank among the routes; 0 is the most urgent.
        max_attempts: Upstreams that one request may be sent to, for each shard.
        backends: Services that share the requests; empty on a fan-out route.
        shards: Services that are all asked; empty on a single-service route.
        top_k: Records in the answer of a fan-out.
        min_coverage: Smallest share of the shards that makes an answer a success.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int = 0
    max_attempts: int = 1
    backends: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 1.0

    @property
    def services(self) -> tuple[str, ...]:
        """All services that the route names."""
        return self.shards or tuple(item.service for item in self.backends)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """What an operator declares about the upstreams of a service.

    Attributes:
        max_connections: Connections that one upstream takes from all instances.
        cold_start_s: Time for which an upstream stays cold after its start.
        cold_rate_per_s: Requests a second that a cold upstream bears.
    """

    name: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 30_000


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """A configuration as the entry instances use it.

    Attributes:
        version: Greater than that of every earlier configuration.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits = field(default_factory=CallerLimits)
    _index: dict[str, dict[str, Route]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._index.setdefault(route.host, {})[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of ``path``."""
        prefixes = self._index.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


def check_routing_table(table: RoutingTable) -> None:
    """Check what the types alone do not guarantee.

    Raises:
        ConfigurationError: With one problem per fault found.
    """
    problems = [*_service_problems(table)]
    places = Counter((route.host, route.path_prefix) for route in table.routes)
    problems += [
        f"two routes share host {host!r} and prefix {prefix!r}; remove one of them"
        for (host, prefix), count in places.items()
        if count > 1
    ]
    for route in table.routes:
        problems += _route_problems(route, table.services)
    if problems:
        raise ConfigurationError(problems)


def _service_problems(table: RoutingTable) -> list[str]:
    return [
        f"service {policy.name!r} allows no connections; set a limit of 1 or more"
        for policy in table.services.values()
        if policy.max_connections < 1
    ]


def _route_problems(route: Route, services: Mapping[str, ServicePolicy]) -> list[str]:
    problems = [
        f"route {route.name!r} names the unknown service {service!r}; declare it"
        for service in route.services
        if service not in services
    ]
    if not route.services:
        problems.append(f"route {route.name!r} names no service; add one")
    if route.backends and route.shards:
        problems.append(f"route {route.name!r} has both shards and backends; keep one")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        problems.append(f"route {route.name!r}: the prefix must start and end with '/'")
    if any(item.weight < 0 for item in route.backends):
        problems.append(f"route {route.name!r} has a negative weight; use 0 or more")
    if route.backends and sum(item.weight for item in route.backends) <= 0:
        problems.append(f"route {route.name!r}: the weights add up to 0; raise one")
    if route.timeout_ms <= 0:
        problems.append(f"route {route.name!r}: the timeout must be above 0 ms")
    if len(set(route.shards)) < len(route.shards):
        problems.append(f"route {route.name!r} names a shard twice; remove one")
    return problems
