"""Run state of failed exchanges, and checks of replies."""

from cuminbend.exceptions import RunState, UpstreamError, UpstreamErrorKind
from cuminbend.messages import ShardReply, ShardRequest, WorkKind

# Failures after which the upstream cannot have run anything.
NOT_RUN_KINDS = frozenset(
    {UpstreamErrorKind.CONNECT, UpstreamErrorKind.SHED, UpstreamErrorKind.DRAINING}
)
# Failures that show that the upstream is cold, overloaded or broken.
COLD_KINDS = frozenset(
    {UpstreamErrorKind.CONNECT, UpstreamErrorKind.SHED, UpstreamErrorKind.RESET}
)
# Failures after which the upstream may still be running the request.
UNFINISHED_KINDS = frozenset(
    {
        UpstreamErrorKind.TIMEOUT,
        UpstreamErrorKind.MISMATCH,
        UpstreamErrorKind.MALFORMED,
    }
)


def timed_out(upstream: str, limit_ms: float) -> UpstreamError:
    """Return the error for an exchange that was given up."""
    return UpstreamError(
        f"upstream {upstream} did not answer within {limit_ms:.0f} ms; ask another "
        "replica",
        kind=UpstreamErrorKind.TIMEOUT,
        run_state=RunState.UNKNOWN,
    )


def as_failure(error: Exception, request: ShardRequest) -> UpstreamError:
    """Return the failure of an exchange that began, with its true run state."""
    if not isinstance(error, UpstreamError):
        return UpstreamError(
            f"the exchange with upstream {request.upstream} failed: {error!r}; look "
            "at the log of this instance",
            kind=UpstreamErrorKind.FAILED,
            run_state=RunState.UNKNOWN,
        )
    if request.kind is WorkKind.SUBMIT and error.kind not in NOT_RUN_KINDS:
        error.run_state = RunState.UNKNOWN
    return error


def check_reply(
    request: ShardRequest, reply: ShardReply, incarnations: frozenset[int]
) -> None:
    """Refuse a reply that does not belong to the request.

    ``incarnations`` are those known of the upstream while the request was in flight.

    Raises:
        UpstreamError: MISMATCH. It states that a search ran if its complete reply
            comes from another snapshot, else that the run state is unknown.
    """
    run_state = RunState.UNKNOWN
    if reply.request_id != request.request_id:
        difference = f"request {reply.request_id}"
    elif reply.upstream != request.upstream:
        difference = f"upstream {reply.upstream}"
    elif reply.incarnation not in incarnations:
        difference = f"incarnation {reply.incarnation}"
    elif request.snapshot is not None and reply.snapshot != request.snapshot:
        difference = f"snapshot {reply.snapshot}"
        if reply.complete and request.kind is not WorkKind.SUBMIT:
            run_state = RunState.RAN
    else:
        return
    raise UpstreamError(
        f"upstream {request.upstream} answered for {difference} instead; ask again",
        kind=UpstreamErrorKind.MISMATCH,
        run_state=run_state,
    )
