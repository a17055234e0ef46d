"""Coordinator of submits: claims the key, dispatches once, records the outcome."""

import base64
import hashlib
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from itertools import count
from typing import Any

import anyio
import anyio.lowlevel

from cuminbend.accounts import MemberAccounts
from cuminbend.config import Configuration
from cuminbend.exceptions import (
    DeadlineExceededError,
    IdempotencyError,
    LeaseExpiredError,
    RequestFailedError,
    RunState,
    UnavailableError,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import ShardReply, ShardRequest, UpstreamRecord, WorkKind
from cuminbend.ports import (
    Clock,
    ControlPort,
    RandomSource,
    ShardDispatcher,
    milliseconds,
)
from cuminbend.replicated import (
    ClaimOutcome,
    ClaimResult,
    ClaimStatus,
    ClaimSubmit,
    RecordOutcome,
    RefusedResult,
    StateLimits,
)
from cuminbend.submit._base import (
    ClusterView,
    SubmitAnswer,
    SubmitRequest,
    SubmitSettings,
)
from cuminbend.submit._checks import (
    check_service,
    effective_deadline_ms,
    normalize_key,
    require_configuration,
)
from cuminbend.submit._choice import choose_upstream
from cuminbend.submit._recorder import OutcomeRecorder

__all__ = ["SubmitCoordinator"]

# The state machine drops longer bodies, so they are not written to the log either.
_MAX_RECORDED_BODY_CHARS = StateLimits().body_chars


@dataclass(slots=True)
class _Submit:
    """A submit in progress at this instance."""

    request: SubmitRequest
    claim: ClaimSubmit
    started_ms: float
    deadline_at_ms: float
    stage: str = "claim"


class SubmitCoordinator:
    """Runs submits at most once.

    The claim is committed before the submit is sent, so only the instance whose claim
    was granted sends the submit. A run state refers to the submit sent with this call:
    ``not_run`` means that this instance has not sent the submit to an upstream that ran
    it, and will not send it. Resending the same key is always safe.

    A submit is shielded from cancellation from its first proposal on. It continues
    until its deadline and records its outcome even if the caller has disconnected, so
    that a resend gets the reply instead of ``unknown``. The caller's cancellation takes
    effect when ``submit`` returns, which takes at most the time until the deadline plus
    the wait for the record.

    :meth:`run` must run as a task; it retries records in the background.
    """

    def __init__(
        self,
        *,
        settings: SubmitSettings,
        view: ClusterView,
        dispatcher: ShardDispatcher,
        control: ControlPort,
        clock: Clock,
        random: RandomSource,
        instance: str,
        boot_id: str,
        accounts: MemberAccounts,
    ) -> None:
        self._settings = settings
        self._view = view
        self._dispatcher = dispatcher
        self._clock = clock
        self._random = random
        self._instance = instance
        self._boot_id = boot_id
        self._accounts = accounts
        self._claim_numbers = count(1)
        self._in_flight: Counter[str] = Counter()
        self._submits: dict[str, _Submit] = {}
        self._recorder = OutcomeRecorder(
            settings=settings, control=control, clock=clock, random=random
        )

    async def run(self) -> None:
        """Retry records in the background until cancelled."""
        await self._recorder.run()

    async def submit(self, request: SubmitRequest) -> SubmitAnswer:
        """Run a submit at most once and return its reply.

        Raises:
            RequestFailedError: If the submit failed; carries the run state.
        """
        started_ms = self._clock.monotonic_ms()
        try:
            submit = self._prepare_submit(request, started_ms)
            await anyio.lowlevel.checkpoint_if_cancelled()
            with anyio.CancelScope(shield=True):
                answer = await self._run_tracked(submit)
        except RequestFailedError as error:
            self._accounts.count_failure(
                member=request.member, service=request.service, error=error
            )
            raise
        self._accounts.count_submit(
            member=request.member,
            service=request.service,
            latency_ms=self._clock.monotonic_ms() - started_ms,
            deadline_ms=submit.deadline_at_ms - started_ms,
            replayed=answer.replayed,
        )
        return answer

    def _prepare_submit(self, request: SubmitRequest, started_ms: float) -> _Submit:
        configuration = self._require_configuration()
        check_service(request, configuration)
        deadline_ms = effective_deadline_ms(request, configuration)
        key = normalize_key(request.key)
        self._check_lease()
        if self._choose_upstream(request.service) is None:
            raise self._no_upstream_error(request.service)
        claim_id = (
            f"{self._instance}/{self._boot_id}/{next(self._claim_numbers)}-"
            f"{self._random.getrandbits(32):08x}"
        )
        claim = ClaimSubmit(
            member=request.member,
            service=request.service,
            key=key,
            digest=hashlib.sha256(request.body).hexdigest(),
            claim_id=claim_id,
            instance=self._instance,
        )
        return _Submit(request, claim, started_ms, started_ms + deadline_ms)

    async def _run_tracked(self, submit: _Submit) -> SubmitAnswer:
        claim_id = submit.claim.claim_id
        self._submits[claim_id] = submit
        try:
            result = await self._propose_claim(submit)
            if isinstance(result, ClaimResult):
                if result.status is ClaimStatus.GRANTED:
                    submit.stage = "dispatch"
                    return await self._dispatch_claimed(submit)
                if result.status is ClaimStatus.ANSWERED:
                    return self._replayed_answer(submit.request, result)
            raise self._claim_error(result)
        finally:
            del self._submits[claim_id]

    async def _propose_claim(self, submit: _Submit) -> Any:
        """Propose the claim until the control log answers; return the result.

        If no answer arrives in time, the recorder frees the key. The submit is not
        dispatched then, so the run state ``not_run`` is correct.

        Raises:
            LeaseExpiredError: If the claim is unconfirmed and the lease has expired.
            UnavailableError: If the claim is unconfirmed at the deadline.
        """
        settings = self._settings
        while (remaining_ms := self._remaining_ms(submit)) > 0:
            timeout_ms = min(settings.propose_timeout_ms, remaining_ms)
            result = await self._recorder.propose(submit.claim, timeout_ms)
            if result is not None:
                return result
            if not self._view.lease.is_valid():
                break
            delay_ms = settings.retry_delay_ms * self._random.uniform(0.5, 1.5)
            await self._clock.sleep(
                milliseconds(min(delay_ms, self._remaining_ms(submit, 0)))
            )
        self._recorder.free_unconfirmed_claim(submit.claim)
        self._check_lease()
        raise UnavailableError(
            "the control log did not confirm the claim in time, so this instance did "
            "not send the submit and will not; send it again with the same key",
            retry_after_ms=settings.retry_after_ms,
        )

    async def _dispatch_claimed(self, submit: _Submit) -> SubmitAnswer:
        """Send a claimed submit to one upstream after another until one runs it.

        The process may have been paused since the claim was proposed, so the lease, the
        deadline and the configuration in force are checked before each attempt.
        """
        tried: list[str] = []
        error: RequestFailedError
        last_error: RequestFailedError | None = None
        while len(tried) < self._settings.max_dispatches:
            try:
                self._check_lease()
                self._check_deadline(submit)
                check_service(submit.request, self._require_configuration())
            except RequestFailedError as refusal:
                last_error = refusal
                break
            record = self._choose_upstream(submit.request.service, tried)
            if record is None:
                break
            upstream = record.announcement.upstream
            tried.append(upstream)
            try:
                reply = await self._send_to_upstream(submit, upstream, len(tried))
            except RequestFailedError as failure:
                error = failure
            else:
                await self._record_answer(submit, reply)
                return SubmitAnswer(
                    submit.request.caller_request_id, upstream, reply.body
                )
            if error.run_state is not RunState.NOT_RUN:
                ran = error.run_state is RunState.RAN
                await self._record_outcome(submit, ClaimOutcome.UNKNOWN, ran=ran)
                raise error
            last_error = error
        await self._record_outcome(submit, ClaimOutcome.NOT_RUN)
        raise last_error or self._no_upstream_error(submit.request.service)

    async def _send_to_upstream(
        self, submit: _Submit, upstream: str, attempt_number: int
    ) -> ShardReply:
        request = self._shard_request(submit, upstream, attempt_number)
        self._accounts.count_attempt(
            member=request.member,
            service=request.service,
            kind=WorkKind.SUBMIT if attempt_number == 1 else WorkKind.RETRY,
        )
        dispatch_timeout_ms = request.budget_ms + self._settings.dispatch_grace_ms
        reply: ShardReply | None = None
        self._in_flight[upstream] += 1
        try:
            with anyio.move_on_after(dispatch_timeout_ms / 1000):
                reply = await self._dispatcher.dispatch(request)
        except RequestFailedError:
            raise
        except Exception as error:
            raise UnavailableError(
                f"the submit failed unexpectedly ({type(error).__name__}) after it may "
                "have been sent; look into the log of this instance",
                run_state=RunState.UNKNOWN,
            ) from error
        finally:
            self._in_flight[upstream] -= 1
            if not self._in_flight[upstream]:
                del self._in_flight[upstream]
        if reply is None:
            raise DeadlineExceededError(
                "the deadline passed while the submit was running; resend it with the "
                "same key to learn its outcome",
                run_state=RunState.UNKNOWN,
            )
        _check_reply(request, reply)
        return reply

    def _shard_request(
        self, submit: _Submit, upstream: str, attempt_number: int
    ) -> ShardRequest:
        request = submit.request
        service_prefix = request.service.encode() + b"\0"
        return ShardRequest(
            request_id=f"{submit.claim.claim_id}/{attempt_number}",
            caller_request_id=request.caller_request_id,
            member=request.member,
            service=request.service,
            upstream=upstream,
            kind=WorkKind.SUBMIT,
            body=request.body,
            budget_ms=self._remaining_ms(submit),
            fingerprint=hashlib.sha256(service_prefix + request.body).hexdigest(),
            idempotency_key=submit.claim.key,
        )

    async def _record_answer(self, submit: _Submit, reply: ShardReply) -> None:
        body = base64.b64encode(reply.body).decode()
        dropped = len(body) > _MAX_RECORDED_BODY_CHARS
        await self._record_outcome(
            submit,
            ClaimOutcome.ANSWERED,
            body="" if dropped else body,
            body_dropped=dropped,
            upstream=reply.upstream,
            ran=True,
        )

    async def _record_outcome(
        self, submit: _Submit, outcome: ClaimOutcome, **fields: Any
    ) -> None:
        submit.stage = "record"
        claim = submit.claim
        record = RecordOutcome(
            member=claim.member,
            service=claim.service,
            key=claim.key,
            claim_id=claim.claim_id,
            outcome=outcome,
            **fields,
        )
        await self._recorder.record(record, self._remaining_ms(submit))

    def _replayed_answer(
        self, request: SubmitRequest, result: ClaimResult
    ) -> SubmitAnswer:
        if result.body_dropped:
            raise UnavailableError(
                f"the submit ran on upstream {result.upstream}, but its reply was too "
                "large to be kept; look up its effect at the service",
                run_state=RunState.RAN,
            )
        return SubmitAnswer(
            caller_request_id=request.caller_request_id,
            upstream=result.upstream,
            body=base64.b64decode(result.body),
            replayed=True,
        )

    def _claim_error(self, result: Any) -> RequestFailedError:
        if isinstance(result, RefusedResult):
            return UnavailableError(
                f"the claim was refused: {result.reason}",
                retry_after_ms=self._settings.retry_after_ms,
            )
        match result.status:
            case ClaimStatus.IN_PROGRESS:
                return UnavailableError(
                    "a submit with this key is in progress; send it again later with "
                    "the same key to get its reply",
                    run_state=RunState.UNKNOWN,
                    retry_after_ms=self._settings.retry_after_ms,
                )
            case ClaimStatus.OTHER_BODY:
                return IdempotencyError(
                    "the key was used with another body; this body was not run; send "
                    "it with a new key"
                )
            case ClaimStatus.TOO_OLD:
                return IdempotencyError(
                    "the key is older than the retention of claims, so whether an "
                    "earlier submit with it ran is no longer known; this one was not "
                    "run"
                )
            case ClaimStatus.FROM_FUTURE:
                return IdempotencyError(
                    "the time in the key is ahead of the cluster; set the caller's "
                    "clock and send it with a new key"
                )
        ran = result.ran
        return UnavailableError(
            "a submit with this key ran, but its reply is lost; look up its effect at "
            "the service"
            if ran
            else "whether a submit with this key ran is not known and it is not sent "
            "again; look up its effect at the service",
            run_state=RunState.RAN if ran else RunState.UNKNOWN,
        )

    def _require_configuration(self) -> Configuration:
        return require_configuration(
            self._view.configuration, retry_after_ms=self._settings.retry_after_ms
        )

    def _choose_upstream(
        self, service: str, tried: Collection[str] = ()
    ) -> UpstreamRecord | None:
        return choose_upstream(
            self._view, service, in_flight=self._in_flight, tried=tried
        )

    def _no_upstream_error(self, service: str) -> UnavailableError:
        return UnavailableError(
            f"no upstream of service {service} is ready, owned and in a data centre in "
            "service; try again later",
            retry_after_ms=self._settings.retry_after_ms,
        )

    def _check_lease(self) -> None:
        if not self._view.lease.is_valid():
            raise LeaseExpiredError(
                f"instance {self._instance} has no valid lease and sends no work; send "
                "the submit to another instance with the same key",
                retry_after_ms=self._settings.retry_after_ms,
            )

    def _check_deadline(self, submit: _Submit) -> None:
        if self._remaining_ms(submit) <= 0:
            raise DeadlineExceededError(
                "the deadline passed before the submit was sent; send it again with "
                "the same key and more time",
                retry_after_ms=self._settings.retry_after_ms,
            )

    def _remaining_ms(self, submit: _Submit, min_ms: float = float("-inf")) -> float:
        remaining_ms = submit.deadline_at_ms - self._clock.monotonic_ms()
        return max(remaining_ms, min_ms)

    def dump(self) -> dict[str, Any]:
        """Return the submits and records in progress for a state dump."""
        now_ms = self._clock.monotonic_ms()
        return {
            "submits": [
                {
                    "claim_id": claim_id,
                    "member": submit.request.member,
                    "service": submit.request.service,
                    "stage": submit.stage,
                    "age_ms": now_ms - submit.started_ms,
                }
                for claim_id, submit in self._submits.items()
            ],
            "in_flight": dict(self._in_flight),
            "records": self._recorder.dump(),
        }


def _check_reply(request: ShardRequest, reply: ShardReply) -> None:
    """Check that a reply is complete and belongs to this request.

    Raises:
        UpstreamError: If it does not.
    """
    if (reply.request_id, reply.upstream) != (request.request_id, request.upstream):
        raise UpstreamError(
            "the reply belongs to another request and was discarded; whether the "
            "submit ran is not known",
            kind=UpstreamErrorKind.MISMATCH,
            run_state=RunState.UNKNOWN,
        )
    if not reply.complete:
        raise UpstreamError(
            f"upstream {reply.upstream} answered the submit only in part; look up its "
            "effect at the service",
            kind=UpstreamErrorKind.MALFORMED,
            run_state=RunState.RAN,
        )
