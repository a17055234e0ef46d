"""Validation of a search before any shard request is sent."""

from dataclasses import dataclass

from cuminbend.config import (
    Configuration,
    MemberConfig,
    ServiceConfig,
    ServiceMode,
    WithoutQuorum,
)
from cuminbend.exceptions import (
    InvalidRequestError,
    LeaseExpiredError,
    QuarantinedError,
    RunState,
    UnavailableError,
)
from cuminbend.query._base import ClusterView, SearchRequest

_RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class CheckedSearch:
    """A valid search with its member and services as configured."""

    request: SearchRequest
    member: MemberConfig
    services: tuple[ServiceConfig, ...]
    deadline_ms: float


def check_search_request(
    request: SearchRequest, configuration: Configuration
) -> CheckedSearch:
    """Check a search against a configuration.

    Raises:
        InvalidRequestError: If the search is not valid. The message names what the
            caller has to change.
    """
    member = configuration.members_by_name.get(request.member)
    if member is None:
        raise InvalidRequestError(
            f"member {request.member!r} is not declared; use a declared name or add a "
            "[[members]] table to the operator file"
        )
    services = configuration.resolve_target(request.target)
    if not services:
        raise InvalidRequestError(
            f"target {request.target!r} is no service or group; use a declared name "
            "or add a [[services]] table to the operator file"
        )
    for service in services:
        _check_service(request, service)
    return CheckedSearch(request, member, services, check_deadline(request, member))


def _check_service(request: SearchRequest, service: ServiceConfig) -> None:
    if service.mode is not ServiceMode.SEARCH:
        raise InvalidRequestError(
            f"service {service.name!r} takes submits; send it as a submit with an "
            "idempotency key"
        )
    if service.members and request.member not in service.members:
        raise InvalidRequestError(
            f"member {request.member!r} may not ask service {service.name!r}; add it "
            "to the members of the service in the operator file"
        )
    if len(request.body) > service.max_body_bytes:
        raise InvalidRequestError(
            f"the body has {len(request.body)} bytes, but service {service.name!r} "
            f"takes {service.max_body_bytes}; shorten the body or raise max_body_bytes"
        )
    if request.snapshot and request.snapshot.partitioning not in service.shards:
        raise InvalidRequestError(
            f"partitioning {request.snapshot.partitioning!r} is not declared for "
            f"service {service.name!r}; use one of {', '.join(sorted(service.shards))} "
            "or leave the snapshot out"
        )


def check_deadline(request: SearchRequest, member: MemberConfig) -> float:
    """Return the deadline of a request in milliseconds from its arrival.

    Raises:
        InvalidRequestError: If the deadline is not above 0 or exceeds the maximum of
            the member.
    """
    if request.deadline_ms is None:
        return member.default_deadline_ms
    # This form of the comparison also rejects NaN.
    if not 0 < request.deadline_ms <= member.max_deadline_ms:
        raise InvalidRequestError(
            f"deadline_ms is {request.deadline_ms}, but has to be above 0 and at most "
            f"{member.max_deadline_ms}; correct it or leave it out for "
            f"{member.default_deadline_ms}"
        )
    return request.deadline_ms


def check_quarantine(view: ClusterView, fingerprint: str) -> None:
    """Check that a fingerprint is not quarantined.

    Raises:
        QuarantinedError: If the fingerprint is quarantined.
    """
    if fingerprint in view.quarantined:
        raise make_quarantined_error(fingerprint)


def make_quarantined_error(fingerprint: str) -> QuarantinedError:
    """Return the error for a fingerprint that crashed two upstreams."""
    return QuarantinedError(
        f"request {fingerprint} broke two upstreams and is refused; change the "
        "request, and look at the upstreams that 'cuminbendctl dump' names",
        run_state=RunState.RAN,
    )


def check_configuration(view: ClusterView) -> Configuration:
    """Return the configuration in force.

    Raises:
        UnavailableError: If this instance has not received a configuration yet.
    """
    if view.configuration is None:
        raise UnavailableError(
            "this instance has no configuration yet; try another instance, or apply "
            "an operator file with 'cuminbendctl apply'",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    return view.configuration


def may_send_searches(view: ClusterView, configuration: Configuration) -> bool:
    """Return whether this instance may send searches at present."""
    if configuration.without_quorum is WithoutQuorum.SEARCH:
        return True
    return view.lease.is_valid()


def check_lease(view: ClusterView, configuration: Configuration) -> None:
    """Check that this instance may send searches.

    Raises:
        LeaseExpiredError: If the lease has expired and searches need it.
    """
    if not may_send_searches(view, configuration):
        raise LeaseExpiredError(
            "this instance has no valid lease; try another instance, and check that "
            "a majority of the voters can be reached",
            retry_after_ms=_RETRY_AFTER_MS,
        )
