"""Validation of a submit before its key is claimed."""

from cuminbend.config import Configuration, ServiceConfig, ServiceMode
from cuminbend.exceptions import (
    IdempotencyError,
    InvalidRequestError,
    UnavailableError,
)
from cuminbend.replicated import key_creation_ms
from cuminbend.submit._base import SubmitRequest

__all__ = [
    "check_service",
    "effective_deadline_ms",
    "normalize_key",
    "require_configuration",
]


def require_configuration(
    configuration: Configuration | None, *, retry_after_ms: int
) -> Configuration:
    """Return the configuration if there is one.

    Raises:
        UnavailableError: If ``configuration`` is None.
    """
    if configuration is None:
        raise UnavailableError(
            "no configuration is in force yet; apply a file with 'cuminbendctl apply' "
            "or try again later",
            retry_after_ms=retry_after_ms,
        )
    return configuration


def check_service(
    request: SubmitRequest, configuration: Configuration
) -> ServiceConfig:
    """Return the service of a request after checking that the member may use it.

    Raises:
        InvalidRequestError: If the member or the service is not declared, if the
            service does not accept submits or excludes the member, or if the body is
            too large.
    """
    service = configuration.services_by_name.get(request.service)
    if request.member not in configuration.members_by_name:
        raise InvalidRequestError(
            f"member {request.member!r} is not declared; check the name"
        )
    if service is None:
        raise InvalidRequestError(
            f"service {request.service!r} is not declared; check the name"
        )
    if service.mode is not ServiceMode.SUBMIT:
        raise InvalidRequestError(
            f"service {service.name} takes searches only; send a search"
        )
    if service.members and request.member not in service.members:
        raise InvalidRequestError(
            f"member {request.member} may not use service {service.name}; ask an "
            "operator to add it to the service"
        )
    if len(request.body) > service.max_body_bytes:
        raise InvalidRequestError(
            f"the body has {len(request.body)} bytes and service {service.name} takes "
            f"at most {service.max_body_bytes}; send less"
        )
    return service


def effective_deadline_ms(request: SubmitRequest, configuration: Configuration) -> int:
    """Return the time until the deadline; the member's default if none was sent.

    The member must be declared.

    Raises:
        InvalidRequestError: If the time is not positive or exceeds the member's
            maximum.
    """
    member = configuration.members_by_name[request.member]
    if request.deadline_ms is None:
        return member.default_deadline_ms
    if not 0 < request.deadline_ms <= member.max_deadline_ms:
        raise InvalidRequestError(
            f"the deadline of {request.deadline_ms} ms is not between 1 and "
            f"{member.max_deadline_ms} ms, the maximum of member {member.name}"
        )
    return request.deadline_ms


def normalize_key(key: str) -> str:
    """Return an idempotency key in lower case.

    Raises:
        IdempotencyError: If the key is empty or not a UUIDv7.
    """
    if not key:
        raise IdempotencyError(
            "the idempotency key is missing; send a new UUIDv7 with each submit and "
            "the same one with each resend"
        )
    lower = key.lower()
    if key_creation_ms(lower) is None:
        raise IdempotencyError(
            "the idempotency key is not a UUIDv7 (RFC 9562); other versions do not "
            "contain the time that is needed to forget the key"
        )
    return lower
