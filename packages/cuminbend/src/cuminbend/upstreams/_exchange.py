"""Run states of failed exchanges, and validation of replies."""

from cuminbend.exceptions import RunState, UpstreamError, UpstreamErrorKind
from cuminbend.messages import ShardReply, ShardRequest, WorkKind

# Failures after which the upstream certainly did not run the request.
NOT_RUN_KINDS = frozenset(
    {UpstreamErrorKind.CONNECT, UpstreamErrorKind.SHED, UpstreamErrorKind.DRAINING}
)
# Failures of a cold, overloaded or crashed upstream; each restarts the slow start.
SLOW_START_KINDS = frozenset(
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


def timeout_error(upstream: str, limit_ms: float) -> UpstreamError:
    """Return the error for an exchange that exceeded its time limit."""
    return UpstreamError(
        f"upstream {upstream} did not answer within {limit_ms:.0f} ms; ask another "
        "replica",
        kind=UpstreamErrorKind.TIMEOUT,
        run_state=RunState.UNKNOWN,
    )


def to_upstream_error(error: Exception, request: ShardRequest) -> UpstreamError:
    """Return the error of a failed exchange as an upstream error with its run state.

    Errors of other classes get the run state unknown, and so do failures of submits
    after which the upstream may have run the request.
    """
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
    """Check that a reply belongs to the request.

    Args:
        request: The request that was sent.
        reply: The reply to check.
        incarnations: Incarnations of the upstream known while the request was in
            flight.

    Raises:
        UpstreamError: If the reply belongs to another request, upstream, incarnation or
            snapshot, with the kind MISMATCH. The run state is RAN if a search got a
            complete reply from another snapshot, else UNKNOWN.
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
