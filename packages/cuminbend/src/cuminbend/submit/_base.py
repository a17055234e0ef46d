"""Requests, answers, settings and the view that submits work with."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from cuminbend.config import Configuration
from cuminbend.messages import UpstreamRecord

__all__ = [
    "LeaseView",
    "SubmitAnswer",
    "SubmitRequest",
    "SubmitSettings",
    "ClusterView",
]


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """A submit of a caller.

    Attributes:
        key: Idempotency key, a UUIDv7 in canonical form.
        deadline_ms: Time until the deadline, or None for the member's default.
    """

    caller_request_id: str
    member: str
    service: str
    key: str
    body: bytes
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """The reply to a submit.

    Attributes:
        upstream: The upstream that ran it.
        replayed: Whether the reply is the record of an earlier run.
    """

    caller_request_id: str
    upstream: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class SubmitSettings:
    """Times and bounds of submits.

    Attributes:
        propose_timeout_ms: Wait for one proposal. An election takes under a second,
            so the next proposal is likely to find the new leader.
        retry_delay_ms: Mean delay between proposals.
        max_dispatches: Upstreams tried while each answers ``not_run``.
        dispatch_grace_ms: Wait beyond the deadline for a dispatcher that gives up at
            the deadline itself and then knows whether the submit ran.
        record_wait_ms: Wait for the record of the outcome before the answer.
        record_bound_ms: Time after which a record that fails is given up.
        max_records: Records waiting at the same time.
        retry_after_ms: Advice to callers whose submit is in progress or was not run.
    """

    propose_timeout_ms: float = 500.0
    retry_delay_ms: float = 50.0
    max_dispatches: int = 3
    dispatch_grace_ms: float = 20.0
    record_wait_ms: float = 500.0
    record_bound_ms: float = 60_000.0
    max_records: int = 1000
    retry_after_ms: int = 500


class LeaseView(Protocol):
    """The lease of this instance."""

    def is_valid(self, for_ms: float = 0) -> bool:
        """Return whether the lease lasts for at least ``for_ms``."""


class ClusterView(Protocol):
    """What this instance knows of the cluster."""

    @property
    def lease(self) -> LeaseView:
        """The lease of this instance."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None before the first."""

    @property
    def upstreams(self) -> Mapping[str, UpstreamRecord]:
        """Announced upstreams by name."""

    @property
    def local_data_centre(self) -> str:
        """Data centre of this instance."""
