"""Context and helpers that single and fanned-out requests share."""

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from cuminbend.crashes import (
    CrashSuspects,
    Verdict,
    allows_another_attempt,
    compute_fingerprint,
)
from cuminbend.forwarding import (
    HedgeDelay,
    RetryBudgets,
    Route,
    RoutingTable,
    WeightedRoundRobin,
    canonical_host,
    retry_after_ms,
)

from cuminbendd.entry._attempts import Attempt
from cuminbendd.entry._delegation import Peers
from cuminbendd.entry._header_names import HeaderNames
from cuminbendd.entry._settings import EntrySettings
from cuminbendd.entry._upstreams import UpstreamDirectory
from cuminbendd.http1 import HttpRequest, HttpResponse
from cuminbendd.metrics import Metrics

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Headers that tell where a message goes, how its body is read or when to send it again.
_MESSAGE_HEADERS = frozenset(
    {b"host", b"content-type", b"content-encoding", b"content-range", b"retry-after"}
)

# As in label values of the Prometheus text format, which the library writes unchanged.
_LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n", "\r": r"\r"})

# Time before a planned stop by which its last requests are answered.
_STOP_MARGIN_MS = 50.0

_rng = random.Random()


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]],
    *,
    dropped: Iterable[bytes] = (),
    kept: Iterable[bytes] = (),
) -> list[tuple[bytes, bytes]]:
    """Return the headers that are meant for the other end of the path.

    A ``Connection`` header names the headers that concern one connection. A sender must
    not name others there (RFC 9110, section 7.6.1), so those that the other end needs
    stay.

    Args:
        headers: Names in lower case, with values.
        dropped: Names that are removed.
        kept: Names that a ``Connection`` header does not remove.
    """
    headers = list(headers)
    removed = {*_CONNECTION_HEADERS, *dropped}
    for name, value in headers:
        if name == b"connection":
            named = {item.strip().lower() for item in value.split(b",")}
            removed |= named.difference(_MESSAGE_HEADERS, kept)
    return [item for item in headers if item[0] not in removed]


@dataclass(slots=True)
class RouteState:
    """State of a route in this instance.

    Attributes:
        label: Names the route in logs and metrics: its name, with host and prefix if
            another route of the configuration has the same name. Quotes and line breaks
            are escaped.
        hedging: Hedge delay, computed from recent latencies.
        weights: Choice among the services of the route; None for a route with shards.
    """

    label: str
    hedging: HedgeDelay
    weights: WeightedRoundRobin | None


def _new_route_state(
    route: Route, known: RouteState | None, *, has_unique_name: bool
) -> RouteState:
    """Return the state of a route, with what still holds of the former one."""
    weights = known.weights if known else None
    if weights is None or weights.backends != route.backends:
        weights = None
        if route.backends:
            weights = WeightedRoundRobin(route.backends, offset=_rng.random())
    hedging = known.hedging if known else HedgeDelay(objective_ms=route.objective_ms)
    hedging.set_objective(route.objective_ms)
    label = (
        route.name
        if has_unique_name
        else f"{route.name}:{route.host}{route.path_prefix}"
    )
    return RouteState(
        label=label.translate(_LABEL_ESCAPES), hedging=hedging, weights=weights
    )


class ForwardingContext:
    """Objects that all requests of an instance share.

    Attributes:
        table: Configuration in force, or None before the first one.
        stop_at_ms: Monotonic time at which this instance stops, infinity while no stop
            is planned.
        peers: Instances that can query shards for this one, or None if this instance
            does not delegate.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        header_names: HeaderNames,
        upstreams: UpstreamDirectory,
        retry_budgets: RetryBudgets,
        peers: Peers | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.metrics = metrics or Metrics()
        self.peers = peers
        self.settings = settings
        self.header_names = header_names
        self.upstreams = upstreams
        self.retry_budgets = retry_budgets
        self.clock = upstreams.clock
        self.table: RoutingTable | None = None
        self.stop_at_ms = math.inf
        self._route_states: dict[str, RouteState] = {}

    def set_table(self, table: RoutingTable) -> None:
        """Put a configuration in force.

        Known routes keep their hedge delay, and their position among the services if
        these have the same weights as before.
        """
        name_counts = Counter(route.name for route in table.routes)
        self._route_states = {
            route.key: _new_route_state(
                route,
                self._route_states.get(route.key),
                has_unique_name=name_counts[route.name] == 1,
            )
            for route in table.routes
        }
        self.table = table

    def can_end_before_stop(self, route: Route) -> bool:
        """Return whether a request that starts now is likely to end before a stop."""
        return self.clock.monotonic_ms() + route.objective_ms < self.stop_at_ms

    def hedge_delay_of(self, route_key: str) -> HedgeDelay | None:
        """Return the hedge delay of a route, or None if the route is not configured."""
        state = self._route_states.get(route_key)
        return state.hedging if state else None

    def prepare_request(self, request: HttpRequest, route: Route) -> "PreparedRequest":
        """Return the request of a caller in the form that upstreams get."""
        deadline_ms = request_deadline_ms(
            request, header_names=self.header_names, route=route
        )
        deadline_ms = min(deadline_ms, self.stop_at_ms - _STOP_MARGIN_MS)
        return PreparedRequest.from_request(
            request, header_names=self.header_names, deadline_ms=deadline_ms
        )

    def route_state(self, route: Route) -> RouteState:
        """Return the state of a route of the configuration in force."""
        return self._route_states[route.key]

    # Requests that crash upstreams

    @property
    def _suspects(self) -> CrashSuspects:
        return self.upstreams.crash_watch.suspects

    def admit_suspect(self, prepared: "PreparedRequest") -> Verdict:
        """Return how to treat a request that is about to start.

        A quarantined request becomes a suspect if it may run as a trial.
        """
        fingerprint = prepared.fingerprint
        verdict = self._suspects.verdict(fingerprint)
        if (
            verdict is Verdict.QUARANTINED
            and self.upstreams.is_designated_for(fingerprint)
            and self._suspects.begin_trial(fingerprint)
        ):
            prepared.is_trial = True
            return Verdict.SUSPECT
        return verdict

    def is_quarantined(self, prepared: "PreparedRequest") -> bool:
        """Return whether a request may be sent to no upstream any more."""
        verdict = self._suspects.verdict(prepared.fingerprint)
        return not prepared.is_trial and verdict is Verdict.QUARANTINED

    def quarantine_left_ms(self, prepared: "PreparedRequest") -> float:
        """Return the time until a quarantined request may be tried again."""
        return self._suspects.quarantine_left_ms(prepared.fingerprint)

    def allows_another_attempt(
        self, prepared: "PreparedRequest", *, has_open_attempts: bool
    ) -> bool:
        """Return whether the crashes of a request allow an attempt after the first."""
        return allows_another_attempt(
            self._suspects.verdict(prepared.fingerprint),
            was_answered=prepared.was_answered,
            broken_count=prepared.broken_count,
            has_open_attempts=has_open_attempts,
        )


class PreparedRequest:
    """The part of a forwarded request that is the same for every attempt.

    Attributes:
        fingerprint: The same for all requests with this host, target and body.
        was_answered: Whether an upstream has answered it to this instance.
        broken_count: Number of attempts whose connection broke.
        is_trial: Whether it runs once to find out if the quarantine of its fingerprint
            can end.
    """

    def __init__(
        self,
        *,
        head: bytes,
        body: bytes,
        request_id: bytes,
        fingerprint: str,
        header_names: HeaderNames,
        deadline_ms: float,
    ) -> None:
        self._header_names = header_names
        self.deadline_ms = deadline_ms
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.was_answered = False
        self.broken_count = 0
        self.is_trial = False
        self.head = head
        self.body = body

    @classmethod
    def from_request(
        cls, request: HttpRequest, *, header_names: HeaderNames, deadline_ms: float
    ) -> "PreparedRequest":
        """Build a prepared request from the request of a caller."""
        dropped = (header_names.deadline, header_names.expected_upstream)
        head = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
        head += [
            b"%s: %s\r\n" % item
            for item in end_to_end_headers(
                request.headers, dropped=dropped, kept=(header_names.request_id,)
            )
        ]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            head.append(b"content-length: %d\r\n" % len(request.body))
        return cls(
            head=b"".join(head),
            body=request.body,
            request_id=request.header(header_names.request_id) or b"",
            fingerprint=compute_fingerprint(
                canonical_host(request.host) + request.target.decode("latin-1"),
                request.body,
            ),
            header_names=header_names,
            deadline_ms=deadline_ms,
        )

    def encode(self, attempt: Attempt, now_ms: float) -> bytes | None:
        """Return the bytes for one upstream, or None if no time is left."""
        left_ms = int(self.deadline_ms - now_ms)
        if left_ms < 1:
            return None
        return b"%s%s: %s\r\n%s: %d\r\n\r\n%s" % (
            self.head,
            self._header_names.expected_upstream,
            attempt.replica.upstream.encode(),
            self._header_names.deadline,
            left_ms,
            self.body,
        )


def rejection_response(*, capacity_wait_ms: float, priority: int = 0) -> HttpResponse:
    """Return a 503 response with the time after which to try again.

    It is the answer to a request that did not run and will not run.

    Args:
        capacity_wait_ms: Expected time until there is capacity for the request.
        priority: Priority of its route.
    """
    after_ms = retry_after_ms(capacity_wait_ms, priority=priority, rng=_rng)
    headers = [(b"Retry-After", b"%.3f" % (after_ms / 1000))]
    return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, headers)


def request_deadline_ms(
    request: HttpRequest, *, header_names: HeaderNames, route: Route
) -> float:
    """Return the monotonic time in ms by which a request needs its final answer."""
    limit_ms = route.timeout_ms
    value = request.header(header_names.deadline)
    if value is not None and value.isdigit():
        limit_ms = min(limit_ms, float(value))
    return request.received_ms + limit_ms
