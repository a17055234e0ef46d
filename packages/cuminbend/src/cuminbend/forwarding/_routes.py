"""Routes of a configuration, and the look-up of the route of a request."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from cuminbend.exceptions import ConfigurationError
from cuminbend.forwarding._hosts import (
    canonical_host,
    percent_encoded,
    received_form,
    sent_form,
)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the requests of one path prefix are forwarded.

    Attributes:
        name: Name for logs and metrics; several routes may have the same one.
        host: Value of the request's ``Host`` header.
        path_prefix: Prefix of the request path; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_ms: Time limit for answering a request.
        objective_ms: Latency objective: time within which an answer has its full value.
        priority: Rank among the routes; 0 is the most urgent.
        max_attempts: Maximum number of upstreams that may run one request, for each
            shard.
        backends: Services among which the requests are divided; empty on a fan-out
            route.
        shards: Services that all get each request; empty on a single-service route.
        top_k: Number of records in the answer of a fan-out.
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
    def key(self) -> str:
        """Identifies the route in a configuration, and over configurations."""
        return f"{self.host} {self.path_prefix}"

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services of the route; none if the route is disabled."""
        return self.shards or tuple(backend.service for backend in self.backends)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """Limits that an operator declares for the upstreams of a service.

    Attributes:
        max_connections: Connections that one upstream accepts from all instances
            together.
        cold_start_s: Time for which an upstream stays cold after its start.
        cold_rate_per_s: Requests per second that a cold upstream can serve.
    """

    name: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 30_000


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """A configuration as the entry instances use it.

    Attributes:
        version: Greater than that of every earlier configuration.
        problems: What the configuration says and these fields do not, because this
            release cannot read or use it.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits = field(default_factory=CallerLimits)
    problems: tuple[str, ...] = ()
    _routes_by_host: dict[str, dict[str, Route]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        self._routes_by_host.update(_index_routes(self.routes))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of ``path``, or None.

        A route whose host is spelled as in the request goes before one whose host is
        the same in another spelling.
        """
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            prefixes = self._routes_by_host.get(canonical_host(sent_form(host)))
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


def _index_routes(routes: tuple[Route, ...]) -> dict[str, dict[str, Route]]:
    """Return the routes by host and prefix, for each spelling of these.

    The plain form of a host, which has an entry too, stands for all other spellings.
    Releases that told spellings apart have confirmed routes that share host and prefix;
    each spelling keeps its own route then. A prefix that is written as in the request
    goes before one that is the same once its special characters are encoded.
    """
    by_spelling: dict[str, dict[str, Route]] = {}
    by_plain_host: dict[str, dict[str, Route]] = {}
    plain_hosts: dict[str, str] = {}
    for spell_prefix in (received_form, percent_encoded):
        for route in routes:
            prefix = spell_prefix(route.path_prefix)
            spelling, plain_host = received_form(route.host), canonical_host(route.host)
            plain_hosts |= {spelling: plain_host, plain_host: plain_host}
            by_spelling.setdefault(spelling, {}).setdefault(prefix, route)
            by_plain_host.setdefault(plain_host, {}).setdefault(prefix, route)
    return {
        host: {**by_plain_host[plain_host], **by_spelling.get(host, {})}
        for host, plain_host in plain_hosts.items()
    }


def check_routing_table(table: RoutingTable) -> None:
    """Check that a new configuration is valid.

    A configuration that has been confirmed is not checked again, because the checks may
    have become stricter since; see :func:`disable_unusable_routes`.

    Raises:
        ConfigurationError: If a constraint is violated, with one problem for each.
    """
    problems = [*table.problems, *_service_problems(table)]
    prefix_counts = Counter(
        (canonical_host(route.host), route.path_prefix) for route in table.routes
    )
    problems += [
        f"two routes share host {host!r} and prefix {prefix!r}; remove one of them"
        for (host, prefix), count in prefix_counts.items()
        if count > 1
    ]
    for route in table.routes:
        problems += _route_problems(route, table.services)
    if problems:
        raise ConfigurationError(problems)


def disable_unusable_routes(table: RoutingTable) -> RoutingTable:
    """Return a confirmed configuration in which each route can be used or is disabled.

    A disabled route has no services. All others are in force, so that a release that
    cannot use one part of what another release has confirmed applies the rest.
    """
    problems = list(table.problems)
    routes = []
    for route in table.routes:
        route_problems = _route_problems(route, table.services)
        problems += route_problems
        routes.append(
            replace(route, backends=(), shards=()) if route_problems else route
        )
    return replace(table, routes=tuple(routes), problems=tuple(problems))


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
    if any(backend.weight < 0 for backend in route.backends):
        problems.append(f"route {route.name!r} has a negative weight; use 0 or more")
    if route.backends and sum(backend.weight for backend in route.backends) <= 0:
        problems.append(f"route {route.name!r}: the weights add up to 0; raise one")
    if route.timeout_ms <= 0:
        problems.append(f"route {route.name!r}: the timeout must be above 0 ms")
    if len(set(route.shards)) < len(route.shards):
        problems.append(f"route {route.name!r} names a shard twice; remove one")
    return problems
