"""Coordination of a search from its validation to its answer."""

import logging

import anyio

from cuminbend.config import Configuration
from cuminbend.crashes import compute_fingerprint
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
from cuminbend.query._fingerprints import FingerprintTable
from cuminbend.query._replicas import ReplicaStats
from cuminbend.query._run_context import RunContext
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import SnapshotSelector
from cuminbend.query._validation import (
    check_configuration,
    check_lease,
    check_quarantine,
    check_search_request,
)

_log = logging.getLogger(__name__)

# Largest share of the deadline that the answer margin may take.
_MAX_MARGIN_SHARE = 0.1
# Run states by increasing likelihood that an upstream ran the request. A failed search
# gets the highest run state of its attempts.
_RUN_STATES = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)


class QueryCoordinator:
    """Answers searches of the callers connected to this instance.

    Args:
        settings: See :class:`QuerySettings`.
        view: State of the cluster as this instance knows it.
        dispatcher: Sends shard requests to the instances that own the upstreams.
        clock: Source of time.
        random: Source of request ids and of choices among replicas.
        observer: Receives the outcomes and times of searches and attempts.
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
        self._fingerprint_table = FingerprintTable(settings=settings, clock=clock)
        self._snapshot_selector = SnapshotSelector(
            settings=settings, view=view, clock=clock
        )
        self._replica_stats = ReplicaStats(
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
            snapshot_selector=self._snapshot_selector,
            replica_stats=self._replica_stats,
        )
        self._in_progress = 0
        self._admission = SearchAdmission(
            settings=settings, clock=clock, member_weight=self._member_weight
        )

    async def search(self, request: SearchRequest) -> SearchAnswer:
        """Run a search and return its answer before the deadline.

        The answer comes from one snapshot. Its ``missing`` lists the shards without a
        reply.

        Raises:
            InvalidRequestError: If the request is not valid.
            LeaseExpiredError: If this instance may not send work.
            OverloadedError: If the search is not admitted, or its attempts were refused
                because of overload.
            UnavailableError: If no shard can answer.
            DeadlineExceededError: If no shard answered in time.
            QuarantinedError: If the request crashed two upstreams.
        """
        started_at_ms = self._clock.monotonic_ms()
        self._in_progress += 1
        outcome, total, answered = "cancelled", 0, 0
        failure: RequestFailedError | None = None
        try:
            answer = await self._admit_and_run(request, started_at_ms)
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

    async def _admit_and_run(
        self, request: SearchRequest, started_at_ms: float
    ) -> SearchAnswer:
        context = self._make_context(request, started_at_ms)
        target = request.target
        self._admission.admit_search(request.member, target)
        latency_ms = None
        try:
            answer = await self._run_until_deadline(context)
            if answer.shards_answered == answer.shards_total:
                latency_ms = answer.elapsed_ms
            return answer
        finally:
            self._admission.finish_search(
                request.member,
                target,
                latency_ms=latency_ms,
                met_congestion=_was_refused_for_overload(context),
            )

    async def _run_until_deadline(self, context: SearchContext) -> SearchAnswer:
        self._replica_stats.forget_absent(self._view.upstreams)
        runs: list[QueryRun] = []
        remaining_ms = context.deadline_at_ms - self._clock.monotonic_ms()
        failure: RequestFailedError | None = None
        with anyio.move_on_after(remaining_ms / 1000) as deadline:
            try:
                await self._run_until_covered(context, runs)
            except QuarantinedError:
                raise
            except RequestFailedError as error:
                # Replies of an earlier run, or of shards that replied before the
                # request became a suspect, still make a valid answer.
                failure = error
        best = max(runs, key=_coverage_rank, default=None)
        if best is None or not best.replied_count:
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

    def _member_weight(self, member: str) -> float:
        configuration = self._view.configuration
        members = configuration.members_by_name if configuration else {}
        return members[member].share if member in members else 1.0

    def _make_context(
        self, request: SearchRequest, started_at_ms: float
    ) -> SearchContext:
        configuration: Configuration = check_configuration(self._view)
        checked = check_search_request(request, configuration)
        check_lease(self._view, configuration)
        fingerprint = compute_fingerprint(request.target, request.body)
        check_quarantine(self._view, fingerprint)
        margin_ms = min(
            self._settings.answer_margin_ms, _MAX_MARGIN_SHARE * checked.deadline_ms
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
        """Run the search, and run it under another snapshot if a run loses its own."""
        snapshot = context.search.request.snapshot or self._choose_first_snapshot(
            context
        )
        while snapshot is not None:
            run = self._make_run(context, snapshot)
            runs.append(run)
            context.snapshots.append(snapshot)
            await run.run()
            if not run.snapshot_lost:
                break
            snapshot = self._snapshot_selector.choose_snapshot(
                context.search.services,
                excluded_snapshots=context.snapshots,
                only_full=True,
                excluded_upstreams=context.unreachable_upstreams(
                    self._settings.min_unreachable_attempts
                ),
            )
        if len(runs) > 1 and not runs[-1].is_full:
            # A restart without full coverage must not reduce the coverage that an
            # earlier run can still reach.
            best = max(runs, key=lambda run: (run.reachable_count, _coverage_rank(run)))
            await best.resume()

    def _choose_first_snapshot(self, context: SearchContext) -> Snapshot | None:
        services = context.search.services
        reachable = self._snapshot_selector.choose_snapshot(
            services,
            only_full=True,
            excluded_upstreams=self._replica_stats.unreachable_upstreams(),
        )
        return reachable or self._snapshot_selector.choose_snapshot(services)

    def _make_run(self, context: SearchContext, snapshot: Snapshot) -> QueryRun:
        restarts = len(context.snapshots)
        may_restart = (
            context.search.request.snapshot is None
            and restarts < self._settings.max_restarts
        )
        run_context = RunContext(
            settings=self._settings,
            view=self._view,
            clock=self._clock,
            sender=self._sender,
            snapshot_selector=self._snapshot_selector,
            replica_stats=self._replica_stats,
            fingerprint_table=self._fingerprint_table,
            search_context=context,
            snapshot=snapshot,
        )
        return QueryRun(
            run_context=run_context, may_restart=may_restart, may_wait=not restarts
        )

    def _make_answer(self, context: SearchContext, run: QueryRun) -> SearchAnswer:
        self._fingerprint_table.extend_canary_pass(context.fingerprint)
        shards = run.shards.values()
        return SearchAnswer(
            caller_request_id=context.search.request.caller_request_id,
            snapshot=run.snapshot,
            shards_total=len(run.shards),
            shards_answered=run.answered_count,
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
            "fingerprints": self._fingerprint_table.dump(),
            "doubts": self._snapshot_selector.dump(),
            "budgets": self._sender.dump(),
            "upstreams": self._replica_stats.dump(),
        }


def _was_refused_for_overload(context: SearchContext) -> bool:
    return any(
        isinstance(error, OverloadedError)
        or (isinstance(error, UpstreamError) and error.kind is UpstreamErrorKind.SHED)
        for error in context.failures
    )


def _coverage_rank(run: QueryRun) -> tuple[int, int, Snapshot]:
    total = len(run.shards)
    # Shares are compared in parts per million, because two partitionings have
    # different numbers of shards.
    return (
        run.answered_count * 1_000_000 // total,
        run.replied_count * 1_000_000 // total,
        run.snapshot,
    )


def _make_failure(
    context: SearchContext, run: QueryRun | None, *, timed_out: bool
) -> RequestFailedError:
    """Return the error of a search without any reply."""
    states = [error.run_state for error in context.failures]
    if context.cancelled:
        # Attempts in flight at the deadline, or under a lost snapshot, may have run.
        states.append(RunState.UNKNOWN)
    run_state = max(states, key=_RUN_STATES.index, default=RunState.NOT_RUN)
    retry_delays_ms = [
        e.retry_after_ms for e in context.failures if e.retry_after_ms is not None
    ]
    retry_after_ms = min(retry_delays_ms, default=None)
    last_failure = f"; last failure: {context.failures[-1]}" if context.failures else ""
    target = context.search.request.target
    if timed_out:
        return DeadlineExceededError(
            f"no shard of {target!r} answered within {context.search.deadline_ms} ms; "
            f"raise deadline_ms or look at the upstreams{last_failure}",
            run_state=run_state,
            retry_after_ms=retry_after_ms,
        )
    held = "" if run is not None else " that any ready upstream holds"
    return UnavailableError(
        f"no shard of {target!r}{held} can answer; check with 'cuminbendctl status' "
        f"that its upstreams are announced and ready{last_failure}",
        run_state=run_state,
        retry_after_ms=retry_after_ms,
    )
