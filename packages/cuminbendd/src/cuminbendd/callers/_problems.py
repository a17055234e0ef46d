"""Converts errors to problem documents (RFC 9457) with a run state."""

from functools import singledispatch
from typing import Any

import orjson
from cuminbend.exceptions import (
    ApplyConflictError,
    ConfigurationError,
    CuminbendError,
    DeadlineExceededError,
    IdempotencyError,
    InvalidRequestError,
    LeaseExpiredError,
    NoQuorumError,
    OverloadedError,
    QuarantinedError,
    RequestFailedError,
    UnavailableError,
)
from starlette.responses import Response

_TITLES_BY_STATUS = {
    400: "bad request",
    409: "conflict",
    422: "not accepted",
    429: "overloaded",
    502: "upstream failed",
    503: "unavailable",
    504: "deadline exceeded",
}


@singledispatch
def status_of(error: Exception) -> int:
    """Return the HTTP status for an error; 500 for one without a status of its own."""
    return 500


@status_of.register(ConfigurationError)
def _(error: Exception) -> int:
    return 422


@status_of.register(ApplyConflictError)
def _(error: Exception) -> int:
    return 409


@status_of.register(IdempotencyError)
@status_of.register(QuarantinedError)
def _(error: Exception) -> int:
    return 422


@status_of.register(InvalidRequestError)
def _(error: Exception) -> int:
    return 400


@status_of.register(OverloadedError)
def _(error: Exception) -> int:
    return 429


@status_of.register(UnavailableError)
@status_of.register(LeaseExpiredError)
@status_of.register(NoQuorumError)
def _(error: Exception) -> int:
    return 503


@status_of.register(DeadlineExceededError)
def _(error: Exception) -> int:
    return 504


@status_of.register(RequestFailedError)
def _(error: Exception) -> int:
    return 502


def problem_response(error: CuminbendError, request_id: str = "") -> Response:
    """Return the problem document for an error."""
    status = status_of(error)
    document: dict[str, Any] = {
        "type": f"urn:cuminbend:error:{type(error).__name__}",
        "title": _TITLES_BY_STATUS.get(status, "error"),
        "status": status,
        "detail": str(error),
    }
    headers = {}
    if request_id:
        document["request_id"] = request_id
        headers["x-request-id"] = request_id
    if isinstance(error, RequestFailedError):
        document["run_state"] = error.run_state.value
        document["retry_after_ms"] = error.retry_after_ms
        if error.retry_after_ms is not None:
            headers["retry-after"] = str(-(-error.retry_after_ms // 1000))
    if isinstance(error, ConfigurationError):
        document["problems"] = error.problems
    if isinstance(error, ApplyConflictError):
        document["version_in_force"] = error.version_in_force
    return Response(
        orjson.dumps(document),
        status_code=status,
        media_type="application/problem+json",
        headers=headers,
    )
