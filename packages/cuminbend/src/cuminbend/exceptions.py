"""Exception hierarchy of the library.

Every message names a remedy. Errors that end a request carry a :class:`RunState`, so
that the caller knows whether to send the request again.
"""

from enum import StrEnum

__all__ = [
    "ApplyConflictError",
    "ChannelError",
    "ConfigurationError",
    "CorruptDataError",
    "CuminbendError",
    "DeadlineExceededError",
    "DiskError",
    "IdempotencyError",
    "InvalidRequestError",
    "LeaseExpiredError",
    "NoQuorumError",
    "NotLeaderError",
    "OverloadedError",
    "PeerUnreachableError",
    "QuarantinedError",
    "RequestFailedError",
    "RunState",
    "SuspectError",
    "UnavailableError",
    "UnsupportedDataError",
    "UpstreamError",
    "UpstreamErrorKind",
]


class RunState(StrEnum):
    """Whether an upstream ran a request that failed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class CuminbendError(Exception):
    """Base class of all errors raised by cuminbend."""


class ConfigurationError(CuminbendError):
    """An operator file or a settings file is not valid.

    Attributes:
        problems: One message per problem, each starting with its line number.
    """

    def __init__(self, problems: list[str]) -> None:
        self.problems = problems
        super().__init__("; ".join(problems))


class ApplyConflictError(CuminbendError):
    """An apply was based on a version that is no longer in force.

    Attributes:
        version_in_force: Version to review before applying the file again.
    """

    def __init__(self, *, base_version: int, version_in_force: int) -> None:
        self.version_in_force = version_in_force
        super().__init__(
            f"the file was based on version {base_version}, but version "
            f"{version_in_force} is in force; look at it with 'cuminbendctl status' "
            f"and apply again with --base-version {version_in_force}"
        )


class DiskError(CuminbendError):
    """The data folder cannot be read or written."""


class CorruptDataError(DiskError):
    """A file of the data folder is damaged or belongs to another instance."""


class UnsupportedDataError(CuminbendError):
    """A record or a snapshot of the control log is of a release unknown to this one.

    The data is not damaged: it must be kept, and another release can read it.
    """


class NotLeaderError(CuminbendError):
    """The voter that got a request is not the leader.

    Attributes:
        leader: Instance that is probably the leader, or None if unknown.
    """

    def __init__(self, leader: str | None = None) -> None:
        self.leader = leader
        super().__init__(f"not the leader; ask {leader or 'another voter'}")


class NoQuorumError(CuminbendError):
    """No majority of voters answered in time.

    The command may or may not be applied.
    """


class PeerUnreachableError(CuminbendError):
    """An instance did not answer.

    Attributes:
        instance: Instance that did not answer.
        sent: False only if no byte of the message can have left this process.
    """

    def __init__(self, instance: str, *, sent: bool) -> None:
        self.instance = instance
        self.sent = sent
        super().__init__(
            f"instance {instance} does not answer; check that it runs and that its "
            "peer address is reachable from here"
        )


class ChannelError(CuminbendError):
    """A connection to another instance ended, failed to open, or sent malformed data.

    It is unknown whether the other instance acted on the messages sent.
    """


class RequestFailedError(CuminbendError):
    """A caller's request or a shard request failed.

    Attributes:
        run_state: Whether an upstream ran the request.
        retry_after_ms: Time after which a new attempt makes sense, or None if a new
            attempt never does.
    """

    def __init__(
        self,
        message: str,
        *,
        run_state: RunState = RunState.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        self.run_state = run_state
        self.retry_after_ms = retry_after_ms
        super().__init__(message)


class InvalidRequestError(RequestFailedError):
    """The request is malformed or names something that does not exist."""


class IdempotencyError(RequestFailedError):
    """The idempotency key is missing, too old, or was used with another body."""


class LeaseExpiredError(RequestFailedError):
    """This instance has no valid lease and sends no requests to upstreams."""


class UnavailableError(RequestFailedError):
    """No upstream or instance can serve the request at the moment."""


class AbandonedError(CuminbendError):
    """The caller no longer waits for the answer, so the call has had no effect."""


class OverloadedError(RequestFailedError):
    """A queue or budget is full, or the deadline can no longer be met."""


class QuarantinedError(RequestFailedError):
    """The request crashed two upstreams, and all instances refuse it."""


class SuspectError(RequestFailedError):
    """The request crashed one upstream and may run only once more, alone on another.

    Attributes:
        fingerprint: Digest of target and body.
        first_upstream: Upstream that the request crashed.
    """

    def __init__(self, fingerprint: str, *, first_upstream: str) -> None:
        self.fingerprint = fingerprint
        self.first_upstream = first_upstream
        super().__init__(
            f"fingerprint {fingerprint} is suspected of breaking upstream "
            f"{first_upstream}; send it as a suspect to another upstream",
            run_state=RunState.NOT_RUN,
        )


class DeadlineExceededError(RequestFailedError):
    """The deadline passed before an answer was complete."""


class UpstreamErrorKind(StrEnum):
    """How an exchange with an upstream failed."""

    CONNECT = "connect"
    SHED = "shed"
    DRAINING = "draining"
    RESET = "reset"
    TIMEOUT = "timeout"
    MISMATCH = "mismatch"
    MALFORMED = "malformed"
    FAILED = "failed"


class UpstreamError(RequestFailedError):
    """An exchange with one upstream failed.

    Attributes:
        kind: How the exchange failed. CONNECT, SHED and DRAINING imply that the request
            did not run.
    """

    def __init__(
        self,
        message: str,
        *,
        kind: UpstreamErrorKind,
        run_state: RunState,
        retry_after_ms: int | None = None,
    ) -> None:
        self.kind = kind
        super().__init__(message, run_state=run_state, retry_after_ms=retry_after_ms)
