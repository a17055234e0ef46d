"""Errors for requests that a gate refuses without running them."""

from cuminbend.exceptions import (
    LeaseExpiredError,
    OverloadedError,
    QuarantinedError,
    RunState,
    UnavailableError,
)


def stopped_error(
    upstream: str, reason: str, retry_after_ms: float
) -> UnavailableError:
    """Return the error for a gate that no longer admits requests."""
    return UnavailableError(
        f"upstream {upstream} gets no work from this instance: {reason}; ask its new "
        "owner",
        retry_after_ms=round(retry_after_ms),
    )


def leaving_error(upstream: str) -> UnavailableError:
    """Return the error for an upstream that is leaving."""
    return UnavailableError(f"upstream {upstream} is leaving; ask another replica")


def out_of_service_error(data_centre: str) -> UnavailableError:
    """Return the error for a data centre that operators took out of service."""
    return UnavailableError(
        f"data centre {data_centre} is out of service; ask a replica in another one"
    )


def lease_too_short_error(retry_after_ms: float) -> LeaseExpiredError:
    """Return the error for a lease that does not cover the deadline."""
    return LeaseExpiredError(
        "the lease of this instance ends before the deadline of the request; ask "
        "again when it reaches the control quorum",
        retry_after_ms=round(retry_after_ms),
    )


def no_connection_error(upstream: str, retry_after_ms: float) -> UnavailableError:
    """Return the error for an upstream whose connections are all lingering."""
    return UnavailableError(
        f"all connections allowed to upstream {upstream} were abandoned and may still "
        "be open there; ask another replica",
        retry_after_ms=round(retry_after_ms),
    )


def too_late_error(upstream: str, retry_after_ms: float) -> OverloadedError:
    """Return the error for a request that cannot start in time."""
    return OverloadedError(
        f"upstream {upstream} cannot start the request in time; ask another replica "
        "or allow more time",
        retry_after_ms=round(retry_after_ms),
    )


def queue_full_error(
    upstream: str, member: str, length: int, retry_after_ms: float
) -> OverloadedError:
    """Return the error for a member whose queue is full."""
    return OverloadedError(
        f"member {member} already has {length} requests waiting for upstream "
        f"{upstream}; send fewer at a time",
        retry_after_ms=round(retry_after_ms),
    )


def suspect_busy_error(fingerprint: str, retry_after_ms: float) -> UnavailableError:
    """Return the error for a suspect whose single run was granted to another claim."""
    return UnavailableError(
        f"suspect {fingerprint} is already being tried on another upstream; wait for "
        "its verdict",
        retry_after_ms=round(retry_after_ms),
    )


def quarantined_error(fingerprint: str) -> QuarantinedError:
    """Return the error for a fingerprint that all upstreams refuse."""
    return QuarantinedError(
        f"fingerprint {fingerprint} broke two upstreams and is refused everywhere; an "
        "operator can look at it with 'cuminbendctl status'",
        run_state=RunState.RAN,
    )
