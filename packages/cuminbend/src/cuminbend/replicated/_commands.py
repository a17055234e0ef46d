"""Commands of the control log and their results.

They are written to disk and sent between instances as JSON with a ``kind`` tag, so
that a newer version can add kinds and optional fields.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Put a new configuration in force if ``base_version`` still is.

    Attributes:
        apply_id: Chosen by the operator's command; a resend carries the same one.
    """

    apply_id: str
    base_version: int
    text: str
    operator: str = ""
    kind: Literal["apply_configuration"] = "apply_configuration"


@dataclass(frozen=True, slots=True)
class ClaimSubmit:
    """Claim the right to dispatch a submit once.

    Attributes:
        key: Idempotency key, a UUIDv7; its time decides when the claim expires.
        digest: Digest of the body.
        claim_id: Unique per attempt; the same claim sent again gets the same result.
    """

    member: str
    service: str
    key: str
    digest: str
    claim_id: str
    instance: str
    kind: Literal["claim_submit"] = "claim_submit"


class ClaimOutcome(StrEnum):
    """How a claimed submit ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Record how a claimed submit ended.

    ``NOT_RUN`` frees the key, because nothing can have run.

    Attributes:
        body: The reply, in a text encoding of the submitter's choice.
        body_dropped: Whether the reply is left out because it is too large to keep.
        upstream: The upstream that answered, or empty.
        ran: Whether a submit without a usable reply is known to have run.
    """

    member: str
    service: str
    key: str
    claim_id: str
    outcome: ClaimOutcome
    body: str = ""
    upstream: str = ""
    body_dropped: bool = False
    ran: bool = False
    kind: Literal["record_outcome"] = "record_outcome"


@dataclass(frozen=True, slots=True)
class RecordCrash:
    """Record that an upstream broke while it ran a request.

    Attributes:
        alone: Whether the request was the only unproven one in flight there.
    """

    fingerprint: str
    upstream: str
    incarnation: int
    alone: bool
    kind: Literal["record_crash"] = "record_crash"


@dataclass(frozen=True, slots=True)
class ClaimSuspectRun:
    """Claim the single run of a suspect alone on a second upstream.

    Attributes:
        claim_id: Unique per attempt; the same claim sent again gets the same result.
    """

    fingerprint: str
    upstream: str
    claim_id: str
    kind: Literal["claim_suspect_run"] = "claim_suspect_run"


@dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Record that a suspect was answered while it ran alone.

    Attributes:
        claim_id: Of the claimed run, or empty for whichever run is unresolved.
    """

    fingerprint: str
    claim_id: str = ""
    kind: Literal["clear_suspect"] = "clear_suspect"


Command = (
    ApplyConfiguration
    | ClaimSubmit
    | RecordOutcome
    | RecordCrash
    | ClaimSuspectRun
    | ClearSuspect
)


@dataclass(frozen=True, slots=True)
class ConfigurationSummary:
    """One entry of the configuration history."""

    version: int
    apply_id: str
    operator: str
    at: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Verdict on an apply.

    Attributes:
        accepted: Whether this apply became ``version``.
        version_in_force: The version in force when the verdict was first given.
        problems: Why the file is not valid; empty if it is.
    """

    accepted: bool
    version: int
    version_in_force: int
    problems: tuple[str, ...] = ()
    kind: Literal["apply_result"] = "apply_result"


class ClaimStatus(StrEnum):
    """What a claim got."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    OTHER_BODY = "other_body"
    TOO_OLD = "too_old"
    FROM_FUTURE = "from_future"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Answer to a claim.

    Attributes:
        claim_id: Of the claim that holds the key.
        body: Recorded reply, only with ``ANSWERED``.
        upstream: The upstream that answered, only with ``ANSWERED``.
        body_dropped: Whether the reply was too large to be kept.
        ran: With ``UNKNOWN``, whether the submit is known to have run.
    """

    status: ClaimStatus
    claim_id: str = ""
    body: str = ""
    upstream: str = ""
    body_dropped: bool = False
    ran: bool = False
    kind: Literal["claim_result"] = "claim_result"


@dataclass(frozen=True, slots=True)
class CrashResult:
    """Standing of a fingerprint: number of upstreams it broke, and the verdict.

    Attributes:
        granted: Whether a claimed run alone may start.
    """

    crashes: int
    quarantined: bool
    granted: bool = False
    kind: Literal["crash_result"] = "crash_result"


@dataclass(frozen=True, slots=True)
class RecordResult:
    """Answer to a record of an outcome.

    Attributes:
        recorded: False if the claim does not hold the key or had an outcome already.
    """

    recorded: bool
    kind: Literal["record_result"] = "record_result"


@dataclass(frozen=True, slots=True)
class RefusedResult:
    """Answer to a command that every voter refuses without any change of state.

    Attributes:
        reason: Why, and what to do about it. Never contains text of a library, which
            could differ between voters.
    """

    reason: str
    kind: Literal["refused_result"] = "refused_result"


CommandResult = ApplyResult | ClaimResult | CrashResult | RecordResult | RefusedResult

_COMMANDS: TypeAdapter[Command] = TypeAdapter(
    Annotated[Command, Field(discriminator="kind")]
)
_RESULTS: TypeAdapter[CommandResult] = TypeAdapter(
    Annotated[CommandResult, Field(discriminator="kind")]
)


def encode_command(command: Command) -> bytes:
    """Return a command as JSON."""
    return _COMMANDS.dump_json(command)


def decode_command(data: bytes) -> Command:
    """Return the command that :func:`encode_command` encoded."""
    return _COMMANDS.validate_json(data)


def encode_result(result: CommandResult) -> bytes:
    """Return a result as JSON."""
    return _RESULTS.dump_json(result)


def decode_result(data: bytes) -> CommandResult:
    """Return the result that :func:`encode_result` encoded."""
    return _RESULTS.validate_json(data)
