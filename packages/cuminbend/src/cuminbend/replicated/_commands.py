"""Commands of the control log and their results.

Commands and results are written to disk and sent between instances as JSON with a
``kind`` tag, so that a newer version can add kinds and optional fields.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter


@dataclass(frozen=True, slots=True)
class ConfigurationVerdict:
    """Judgement of the proposer on an operator file.

    Voters of several releases may execute the same command, and later ones replay it.
    They would differ for good if each judged the file by its own rules.

    Attributes:
        problems: Why the file is refused; empty if it is valid.
        claim_retention_s: Time for which a valid file keeps claims; 0 for others.
    """

    problems: tuple[str, ...]
    claim_retention_s: int


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Put a new configuration in force if ``base_version`` is still in force.

    Attributes:
        apply_id: Chosen by the operator's command; a resend carries the same id.
        text: Whole text of the operator file.
        operator: Name of the operator for the history, or empty.
        verdict: Judgement of the proposer; None from a release without it, whose
            commands each voter judges itself.
    """

    apply_id: str
    base_version: int
    text: str
    operator: str = ""
    verdict: ConfigurationVerdict | None = None
    kind: Literal["apply_configuration"] = "apply_configuration"


@dataclass(frozen=True, slots=True)
class ClaimSubmit:
    """Claim the right to dispatch a submit once.

    Attributes:
        key: Idempotency key, a UUIDv7; its time decides when the claim expires.
        digest: Digest of the body.
        claim_id: Unique per attempt; the same claim sent again gets the same result.
        instance: Entry instance that makes the claim.
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

    ``NOT_RUN`` frees the key, because the submit cannot have run.

    Attributes:
        body: The reply, in a text encoding chosen by the proposer.
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
    """Record that an upstream crashed while it ran a request.

    Attributes:
        fingerprint: Digest of target and body of the request.
        upstream: The upstream that crashed.
        incarnation: Incarnation of the upstream when it crashed.
        alone: Whether no other unproven request was in flight at the upstream. A
            request is unproven while no upstream is known to have answered its
            fingerprint.
    """

    fingerprint: str
    upstream: str
    incarnation: int
    alone: bool
    kind: Literal["record_crash"] = "record_crash"


@dataclass(frozen=True, slots=True)
class ClaimSuspectRun:
    """Claim the single permitted run of a suspect, alone on a second upstream.

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
        claim_id: Claim id of the run, or empty for the unresolved run, if any.
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
    """One entry of the configuration history.

    Attributes:
        at: State machine time of the apply, in ISO 8601 and UTC.
        size_bytes: Size of the file.
    """

    version: int
    apply_id: str
    operator: str
    at: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of an apply.

    Attributes:
        accepted: Whether the file was put in force as ``version``.
        version: Version of the accepted file, or 0 if it was refused.
        version_in_force: Version in force when the apply was first executed.
        problems: Why the apply was refused. Empty if it was accepted, or if only
            ``base_version`` was no longer in force.
    """

    accepted: bool
    version: int
    version_in_force: int
    problems: tuple[str, ...] = ()
    kind: Literal["apply_result"] = "apply_result"


class ClaimStatus(StrEnum):
    """Result of a claim on an idempotency key."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    OTHER_BODY = "other_body"
    TOO_OLD = "too_old"
    FROM_FUTURE = "from_future"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Answer to a claim on an idempotency key.

    Attributes:
        claim_id: Id of the claim that holds the key, or empty if none is reported.
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
    """State of a fingerprint after a command about it.

    Attributes:
        crashes: Number of crashes counted for the fingerprint.
        quarantined: Whether the fingerprint is refused everywhere.
        granted: Whether the claimed run, alone on an upstream, may start.
    """

    crashes: int
    quarantined: bool
    granted: bool = False
    kind: Literal["crash_result"] = "crash_result"


@dataclass(frozen=True, slots=True)
class RecordResult:
    """Answer to :class:`RecordOutcome`.

    Attributes:
        recorded: False if the claim does not hold the key or had an outcome already.
    """

    recorded: bool
    kind: Literal["record_result"] = "record_result"


@dataclass(frozen=True, slots=True)
class RefusedResult:
    """Answer to a command that every voter refuses without any change of state.

    Attributes:
        reason: Why the command is refused, and the remedy. Never contains text of a
            library, which could differ between voters.
    """

    reason: str
    kind: Literal["refused_result"] = "refused_result"


CommandResult = ApplyResult | ClaimResult | CrashResult | RecordResult | RefusedResult

_COMMAND_ADAPTER: TypeAdapter[Command] = TypeAdapter(
    Annotated[Command, Field(discriminator="kind")]
)
_RESULT_ADAPTER: TypeAdapter[CommandResult] = TypeAdapter(
    Annotated[CommandResult, Field(discriminator="kind")]
)


def encode_command(command: Command) -> bytes:
    """Return a command as JSON."""
    return _COMMAND_ADAPTER.dump_json(command)


def decode_command(data: bytes) -> Command:
    """Return the command that :func:`encode_command` encoded.

    Raises:
        pydantic.ValidationError: If the data is malformed or of an unknown kind.
    """
    return _COMMAND_ADAPTER.validate_json(data)


def encode_result(result: CommandResult) -> bytes:
    """Return a result as JSON."""
    return _RESULT_ADAPTER.dump_json(result)


def decode_result(data: bytes) -> CommandResult:
    """Return the result that :func:`encode_result` encoded.

    Raises:
        pydantic.ValidationError: If the data is malformed or of an unknown kind.
    """
    return _RESULT_ADAPTER.validate_json(data)
