"""Requests, answers, settings and protocols of the submit coordinator."""

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
    """A submit sent by a caller.

    Attributes:
        key: Idempotency key, a UUIDv7 in canonical form.
        deadline_ms: Time from arrival to the deadline, or None for the default of the
            member.
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
        upstream: Upstream that ran the submit.
        replayed: Whether the reply was recorded by an earlier submit with this key.
    """

    caller_request_id: str
    upstream: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class SubmitSettings:
    """Timeouts and limits of the submit coordinator.

    Attributes:
        propose_timeout_ms: Timeout of one proposal. An election takes less than a
            second, so the next proposal probably reaches the new leader.
        retry_delay_ms: Mean delay between proposals.
        max_dispatches: Maximum number of upstreams tried, as long as each attempt fails
            with run state ``not_run``.
        dispatch_grace_ms: Additional wait after the deadline for the dispatcher, which
            fails at the deadline itself and then knows whether the submit ran.
        record_wait_ms: Longest time for which the reply waits until its outcome is
            committed.
        record_timeout_ms: Time after which an uncommitted record is dropped.
        max_pending_records: Maximum number of records that wait to be committed.
        retry_after_ms: Retry delay sent to callers whose submit is in progress or was
            not run.
    """

    propose_timeout_ms: float = 500.0
    retry_delay_ms: float = 50.0
    max_dispatches: int = 3
    dispatch_grace_ms: float = 20.0
    record_wait_ms: float = 500.0
    record_timeout_ms: float = 60_000.0
    max_pending_records: int = 1000
    retry_after_ms: int = 500


class LeaseView(Protocol):
    """The lease of this instance."""

    def is_valid(self, for_ms: float = 0) -> bool:
        """Return whether the lease remains valid for at least ``for_ms``."""


class ClusterView(Protocol):
    """This instance's view of the cluster."""

    @property
    def lease(self) -> LeaseView:
        """The lease of this instance."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None if none was received yet."""

    @property
    def upstreams(self) -> Mapping[str, UpstreamRecord]:
        """Announced upstreams by name."""

    @property
    def local_data_centre(self) -> str:
        """Data centre of this instance."""
