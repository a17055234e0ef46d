"""Searches from check to answer."""

import logging

import anyio

from cuminbend.config import Configuration
from cuminbend.exceptions import (
    DeadlineExceededError,
    OverloadedError,
    QuarantinedError,
    RequestFailedError,
    RunState,
    UnavailableError,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import Snapshot
from cuminbend.ports import Clock, RandomSource, ShardDispatcher
from cuminbend.query._admission import SearchAdmission
from cuminbend.query._attempts import AttemptSender, SearchContext
from cuminbend.query._base import (
    ClusterView,
    QueryObserver,
    SearchAnswer,
    SearchRequest,
)
from cuminbend.query._fanout import QueryRun
from cuminbend.query._fingerprints import FingerprintBook, compute_fingerprint
from cuminbend.query._replicas import ReplicaBoard
from cuminbend.query._run_parts import RunParts
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import SnapshotSelector
from cuminbend.query._validation import (
    check_configuration,
    check_lease,
    check_quarantine,
    check_search_request,
)

_log = logging.getLogger(__name__)

# Share of the deadline that the answer margin takes at most.
_MARGIN_SHARE = 0.1
# Run states from the weakest to the strongest statement about a whole search.
_RUN_STATES = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)


class QueryCoordinator:
    """Answers searches of the callers connected to this instance.

    Args:
        settings: See :class:`QuerySettings`.
        view: What this instance knows of the cluster.
        dispatcher: Brings shard requests to the owners of upstreams.
        clock: Source of time.
        random: Source of request ids and of choices among replicas.
        observer: Receives counts and times.
    """

    def __init__(
        self,
        *,
        settings: QuerySettings,
        view: ClusterView,
        dispatcher: ShardDispatcher,
        clock: Clock,
        random: RandomSource,
        observer: QueryObserver,
    ) -> None:
        self._settings = settings
        self._view = view
        self._clock = clock
        self._observer = observer
        self._book = FingerprintBook(settings=settings, clock=clock)
        self._selector = SnapshotSelector(settings=settings, view=view, clock=clock)
        self._board = ReplicaBoard(
            settings=settings,
            clock=clock,
            random=random,
            local_data_centre=view.local_data_centre,
        )
        self._sender = AttemptSender(
            settings=settings,
            view=view,
            dispatcher=dispatcher,
            clock=clock,
            random=random,
            observer=observer,
            selector=self._selector,
            board=self._board,
        )
        self._in_progress = 0
        self._admission = SearchAdmission(
            settings=settings, clock=clock, share=self._member_share
        )

    async def search(self, request: SearchRequest) -> SearchAnswer:
        """Return the answer to a search before its deadline.

        The answer comes from one snapshot and may lack shards, which it lists.

        Raises:
            InvalidRequestError: If the request cannot be answered as it is.
            LeaseExpiredError: If this instance may not send work.
            UnavailableError: If no shard can answer.
            DeadlineExceededError: If no shard answered in time.
            QuarantinedError: If the request broke two upstreams.
        """
        started_at_ms = self._clock.monotonic_ms()
        self._in_progress += 1
        outcome, total, answered = "cancelled", 0, 0
        failure: RequestFailedError | None = None
        try:
            answer = await self._search(request, started_at_ms)
            total, answered = answer.shards_total, answer.shards_answered
            outcome = "ok" if answered == total else "partial"
            return answer
        except RequestFailedError as error:
            outcome, failure = type(error).__name__, error
            raise
        finally:
            self._in_progress -= 1
            self._observer.search_finished(
                member=request.member,
                service=request.target,
                outcome=outcome,
                latency_ms=self._clock.monotonic_ms() - started_at_ms,
                deadline_ms=self._deadline_ms(request),
                shards_total=total,
                shards_answered=answered,
                error=failure,
            )

    async def _search(
        self, request: SearchRequest, started_at_ms: float
    ) -> SearchAnswer:
        context = self._check(request, started_at_ms)
        target = request.target
        self._admission.enter(request.member, target)
        latency_ms = None
        try:
            answer = await self._run(context)
            if answer.shards_answered == answer.shards_total:
                latency_ms = answer.elapsed_ms
            return answer
        finally:
            self._admission.leave(
                request.member,
                target,
                latency_ms=latency_ms,
                congested=_met_overload(context),
            )

    async def _run(self, context: SearchContext) -> SearchAnswer:
        self._board.forget_absent(self._view.upstreams)
        runs: list[QueryRun] = []
        remaining_ms = context.deadline_at_ms - self._clock.monotonic_ms()
        failure: RequestFailedError | None = None
        with anyio.move_on_after(remaining_ms / 1000) as deadline:
            try:
                await self._run_until_covered(context, runs)
            except QuarantinedError:
                raise
            except RequestFailedError as error:
                # The replies of an earlier run, or of shards asked before the search
                # became a suspect, are still a valid answer.
                failure = error
        best = max(runs, key=_merit, default=None)
        if best is None or not best.replied:
            timed_out = deadline.cancelled_caught
            raise failure or _make_failure(context, best, timed_out=timed_out)
        return self._make_answer(context, best)

    def _deadline_ms(self, request: SearchRequest) -> float:
        if request.deadline_ms is not None:
            return request.deadline_ms
        configuration = self._view.configuration
        members = configuration.members_by_name if configuration else {}
        member = members.get(request.member)
        return member.default_deadline_ms if member else 0.0

    def _member_share(self, member: str) -> float:
        configuration = self._view.configuration
        members = configuration.members_by_name if configuration else {}
        return members[member].share if member in members else 1.0

    def _check(self, request: SearchRequest, started_at_ms: float) -> SearchContext:
        configuration: Configuration = check_configuration(self._view)
        checked = check_search_request(request, configuration)
        check_lease(self._view, configuration)
        fingerprint = compute_fingerprint(request.target, request.body)
        check_quarantine(self._view, fingerprint)
        margin_ms = min(
            self._settings.answer_margin_ms, _MARGIN_SHARE * checked.deadline_ms
        )
        return SearchContext(
            search=checked,
            configuration=configuration,
            fingerprint=fingerprint,
            started_at_ms=started_at_ms,
            deadline_at_ms=started_at_ms + checked.deadline_ms - margin_ms,
        )

    async def _run_until_covered(
        self, context: SearchContext, runs: list[QueryRun]
    ) -> None:
        """Run the search, again under another snapshot whenever one is lost."""
        snapshot = context.search.request.snapshot or self._choose_first(context)
        while snapshot is not None:
            run = self._make_run(context, snapshot)
            runs.append(run)
            context.snapshots.append(snapshot)
            await run.run()
            if not run.lost:
                break
            snapshot = self._selector.choose(
                context.search.services,
                exclude=context.snapshots,
                only_full=True,
                without=context.dead_upstreams(self._settings.latency_rounds),
            )
        if len(runs) > 1 and not runs[-1].is_full:
            # A restart that did not help must not cost the coverage that an earlier
            # run would have reached.
            best = max(runs, key=lambda run: (run.reachable, _merit(run)))
            await best.resume()

    def _choose_first(self, context: SearchContext) -> Snapshot | None:
        services = context.search.services
        reachable = self._selector.choose(
            services, only_full=True, without=self._board.unreachable()
        )
        return reachable or self._selector.choose(services)

    def _make_run(self, context: SearchContext, snapshot: Snapshot) -> QueryRun:
        restarts = len(context.snapshots)
        may_restart = (
            context.search.request.snapshot is None
            and restarts < self._settings.max_restarts
        )
        parts = RunParts(
            settings=self._settings,
            view=self._view,
            clock=self._clock,
            sender=self._sender,
            selector=self._selector,
            board=self._board,
            book=self._book,
            context=context,
            snapshot=snapshot,
        )
        return QueryRun(parts=parts, may_restart=may_restart, may_wait=not restarts)

    def _make_answer(self, context: SearchContext, run: QueryRun) -> SearchAnswer:
        self._book.extend_proof(context.fingerprint)
        shards = run.shards.values()
        return SearchAnswer(
            caller_request_id=context.search.request.caller_request_id,
            snapshot=run.snapshot,
            shards_total=len(run.shards),
            shards_answered=run.answered,
            missing=tuple(shard.key for shard in shards if shard.answer is None),
            partial=tuple(
                shard.key
                for shard in shards
                if shard.answer is not None and not shard.complete
            ),
            replies=tuple(shard.answer for shard in shards if shard.answer is not None),
            elapsed_ms=self._clock.monotonic_ms() - context.started_at_ms,
            attempts=context.attempts,
            hedges=context.hedges,
        )

    def dump(self) -> dict[str, object]:
        """Return the state of searches for a state dump."""
        return {
            "in_progress": self._in_progress,
            "admission": self._admission.dump(),
            "fingerprints": self._book.dump(),
            "doubts": self._selector.dump(),
            "budgets": self._sender.dump(),
            "upstreams": self._board.dump(),
        }


def _met_overload(context: SearchContext) -> bool:
    return any(
        isinstance(error, OverloadedError)
        or (isinstance(error, UpstreamError) and error.kind is UpstreamErrorKind.SHED)
        for error in context.failures
    )


def _merit(run: QueryRun) -> tuple[int, int, Snapshot]:
    total = len(run.shards)
    # Shares are compared in parts per million, because two partitionings have
    # different numbers of shards.
    return (
        run.answered * 1_000_000 // total,
        run.replied * 1_000_000 // total,
        run.snapshot,
    )


def _make_failure(
    context: SearchContext, run: QueryRun | None, *, timed_out: bool
) -> RequestFailedError:
    """Return the error of a search that no shard answered."""
    states = [error.run_state for error in context.failures]
    if context.cancelled:
        # Attempts in flight at the deadline, or under a lost snapshot, may have run.
        states.append(RunState.UNKNOWN)
    run_state = max(states, key=_RUN_STATES.index, default=RunState.NOT_RUN)
    waits = [e.retry_after_ms for e in context.failures if e.retry_after_ms is not None]
    retry_after_ms = min(waits, default=None)
    last = f"; last failure: {context.failures[-1]}" if context.failures else ""
    target = context.search.request.target
    if timed_out:
        return DeadlineExceededError(
            f"no shard of {target!r} answered within {context.search.deadline_ms} ms; "
            f"raise deadline_ms or look at the upstreams{last}",
            run_state=run_state,
            retry_after_ms=retry_after_ms,
        )
    held = "" if run is not None else " that any ready upstream holds"
    return UnavailableError(
        f"no shard of {target!r}{held} can answer; check with 'cuminbendctl status' "
        f"that its upstreams are announced and ready{last}",
        run_state=run_state,
        retry_after_ms=retry_after_ms,
    )
