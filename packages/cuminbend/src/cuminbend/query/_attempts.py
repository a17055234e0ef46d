"""One shard request to one upstream."""

import itertools
import logging
from collections import Counter
from dataclasses import dataclass, field

from cuminbend.budgets import LatencyQuantiles, TokenBudget
from cuminbend.config import Configuration
from cuminbend.exceptions import (
    RequestFailedError,
    RunState,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import (
    ShardReply,
    ShardRequest,
    Snapshot,
    UpstreamRecord,
    WorkKind,
)
from cuminbend.ports import Clock, RandomSource, ShardDispatcher
from cuminbend.query._base import ClusterView, QueryObserver
from cuminbend.query._replicas import ReplicaBoard
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import ShardKey, SnapshotSelector
from cuminbend.query._validation import (
    CheckedSearch,
    check_lease,
    check_quarantine,
)

_log = logging.getLogger(__name__)

# Factors by which one hedge changes the delay of the next ones. One slow upstream
# refuses many hedges at a time; a rise as fast as the fall overshot to 1.7 times.
_PRESSURE_RISE = 1.005
_PRESSURE_FALL = 1.02
_MAX_PRESSURE = 4.0
# A hedge past this quantile of its service is worth another one. It is below the 95th
# percentile of the first hedge, because the shard holds up the whole answer already.
_NEXT_HEDGE_QUANTILE = 0.9
# Failures after which an upstream may be gone.
_UNREACHABLE = frozenset(
    {UpstreamErrorKind.CONNECT, UpstreamErrorKind.RESET, UpstreamErrorKind.TIMEOUT}
)
# Failures that say something about the upstream rather than about the request or
# about this instance.
_UPSTREAM_FAULTS = frozenset(UpstreamErrorKind) - {UpstreamErrorKind.MISMATCH}


class HedgeBudget:
    """Budget for hedges, which also says how eagerly to hedge.

    About 5% of the attempts outlast the 95th percentile, but only 4% may be hedged.
    Without a counterweight the attempts just above the percentile use up the tokens
    and the stragglers find none.

    Attributes:
        pressure: Factor on all hedge delays, at least 1.
    """

    def __init__(self, *, settings: QuerySettings) -> None:
        self._half = settings.hedge_burst / 2
        self._budget = TokenBudget(
            ratio=settings.hedge_ratio, burst=settings.hedge_burst, initial=1
        )
        self.pressure = 1.0

    @property
    def tokens(self) -> float:
        """Hedges that may be sent."""
        return self._budget.tokens

    def earn(self) -> None:
        """Record a shard request."""
        self._budget.earn()

    def try_spend(self, *, is_first_try: bool) -> bool:
        """Return whether a hedge may be sent.

        Args:
            is_first_try: Whether this hedge was not refused before.
        """
        if self._budget.tokens >= self._half:
            self.pressure = max(1.0, self.pressure / _PRESSURE_FALL)
        elif is_first_try:
            self.pressure = min(_MAX_PRESSURE, self.pressure * _PRESSURE_RISE)
        return self._budget.try_spend()


class ServiceBudget:
    """Latency and retry budget of one service."""

    def __init__(
        self, *, settings: QuerySettings, hedges: HedgeBudget, pooled: LatencyQuantiles
    ) -> None:
        self._settings = settings
        self._hedges = hedges
        self._pooled = pooled
        self.latency = LatencyQuantiles(window=settings.latency_window)
        self.retries = TokenBudget(
            ratio=settings.retry_ratio, burst=settings.retry_burst
        )

    @property
    def hedge_delay_ms(self) -> float:
        """Time after which an unanswered attempt is worth a hedge."""
        # Until a service has samples of its own here, those of all services stand in:
        # with 8 instances a service gets few requests a second from each.
        enough = len(self.latency) >= self._settings.min_samples
        estimate = self.latency if enough else self._pooled
        p95_ms = estimate.p95_ms
        if p95_ms is None or len(estimate) < self._settings.min_samples:
            return self._settings.hedge_initial_ms
        return max(p95_ms, self._settings.hedge_floor_ms) * self._hedges.pressure

    @property
    def next_hedge_delay_ms(self) -> float:
        """Time after which an unanswered hedge is worth another one."""
        quantile_ms = self.latency.quantile_ms(_NEXT_HEDGE_QUANTILE)
        return min(quantile_ms or self.hedge_delay_ms, self.hedge_delay_ms)

    @property
    def overdue_ms(self) -> float:
        """Time after which an unanswered attempt is taken for lost."""
        return max(
            self._settings.overdue_factor * self.hedge_delay_ms,
            self._settings.overdue_floor_ms,
        )

    @property
    def typical_ms(self) -> float:
        """Expected latency of an upstream that was not observed yet."""
        return self.latency.p50_ms or self._settings.hedge_initial_ms


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended: with a verified reply or with an error."""

    upstream: str
    reply: ShardReply | None = None
    error: RequestFailedError | None = None

    @property
    def kind(self) -> UpstreamErrorKind | None:
        """Kind of the error, if an upstream caused it."""
        return self.error.kind if isinstance(self.error, UpstreamError) else None


@dataclass(slots=True, kw_only=True)
class SearchContext:
    """A search in progress.

    Attributes:
        deadline_at_ms: Monotonic time at which the answer is given.
        attempts: Shard requests sent so far.
        hedges: Those of them sent as hedges.
        cancelled: Those of them that were cancelled.
        failures: Errors of attempts.
        unreachable: Attempts that did not reach a working upstream, by upstream.
        snapshots: Snapshots that the search ran under.
    """

    search: CheckedSearch
    configuration: Configuration
    fingerprint: str
    started_at_ms: float
    deadline_at_ms: float
    attempts: int = 0
    hedges: int = 0
    cancelled: int = 0
    failures: list[RequestFailedError] = field(default_factory=list)
    unreachable: Counter[str] = field(default_factory=Counter)
    snapshots: list[Snapshot] = field(default_factory=list)

    def dead_upstreams(self, rounds: int) -> set[str]:
        """Return the upstreams that ``rounds`` attempts did not reach."""
        return {
            upstream for upstream, count in self.unreachable.items() if count >= rounds
        }


class AttemptSender:
    """Sends attempts, checks their replies and records what they show."""

    def __init__(
        self,
        *,
        settings: QuerySettings,
        view: ClusterView,
        dispatcher: ShardDispatcher,
        clock: Clock,
        random: RandomSource,
        observer: QueryObserver,
        selector: SnapshotSelector,
        board: ReplicaBoard,
    ) -> None:
        self._settings = settings
        self._view = view
        self._dispatcher = dispatcher
        self._clock = clock
        self._observer = observer
        self._selector = selector
        self._board = board
        # Random per process start, so that ids are not used again after a restart.
        self._boot_id = f"{random.getrandbits(128):032x}"
        self._numbers = itertools.count(1)
        self._services: dict[str, ServiceBudget] = {}
        self.hedges = HedgeBudget(settings=settings)
        self._pooled = LatencyQuantiles(window=settings.pooled_window)

    def service(self, name: str) -> ServiceBudget:
        """Return the budget of a service."""
        if name not in self._services:
            self._services[name] = ServiceBudget(
                settings=self._settings, hedges=self.hedges, pooled=self._pooled
            )
        return self._services[name]

    async def send(
        self,
        context: SearchContext,
        key: ShardKey,
        snapshot: Snapshot,
        record: UpstreamRecord,
        kind: WorkKind,
        *,
        is_hedge: bool = False,
    ) -> Outcome:
        """Send one attempt and return how it ended."""
        upstream = record.announcement.upstream
        started_at_ms = self._clock.monotonic_ms()
        request = self._request(context, key, snapshot, upstream, kind)
        outcome = Outcome(upstream)
        try:
            check_lease(self._view, context.configuration)
            check_quarantine(self._view, context.fingerprint)
            self._count(context, kind, is_hedge=is_hedge)
            self._board.started(upstream)
            try:
                reply = await self._dispatcher.dispatch(request)
            finally:
                self._board.ended(upstream)
            self._check_reply(request, reply)
            self._selector.trust(upstream, snapshot)
            outcome = Outcome(upstream, reply=reply)
        except RequestFailedError as error:
            outcome = Outcome(upstream, error=error)
            if outcome.kind is UpstreamErrorKind.MISMATCH:
                self._selector.doubt(upstream, snapshot)
        finally:
            # Also reached by cancellation, with neither reply nor error.
            self._record(context, key[0], kind, outcome, started_at_ms)
        return outcome

    def _request(
        self,
        context: SearchContext,
        key: ShardKey,
        snapshot: Snapshot,
        upstream: str,
        kind: WorkKind,
    ) -> ShardRequest:
        request = context.search.request
        return ShardRequest(
            request_id=f"{self._boot_id}-{next(self._numbers)}",
            caller_request_id=request.caller_request_id,
            member=request.member,
            service=key[0],
            upstream=upstream,
            kind=kind,
            body=request.body,
            budget_ms=max(context.deadline_at_ms - self._clock.monotonic_ms(), 0.0),
            fingerprint=context.fingerprint,
            shard=key[1],
            snapshot=snapshot,
        )

    def _count(self, context: SearchContext, kind: WorkKind, *, is_hedge: bool) -> None:
        context.attempts += 1
        if is_hedge:
            context.hedges += 1
        elif kind in (WorkKind.SEARCH, WorkKind.CANARY):
            self.hedges.earn()

    def _check_reply(self, request: ShardRequest, reply: ShardReply) -> None:
        if reply.request_id != request.request_id or reply.upstream != request.upstream:
            raise UpstreamError(
                f"upstream {request.upstream} answered another request; check the "
                "adapter that pairs replies with requests",
                kind=UpstreamErrorKind.MALFORMED,
                run_state=RunState.UNKNOWN,
            )
        if reply.snapshot != request.snapshot:
            raise UpstreamError(
                f"upstream {request.upstream} answered from {reply.snapshot}, not from "
                f"{request.snapshot}; check the holdings that it announces",
                kind=UpstreamErrorKind.MISMATCH,
                run_state=RunState.RAN,
            )

    def _record(
        self,
        context: SearchContext,
        service: str,
        kind: WorkKind,
        outcome: Outcome,
        started_at_ms: float,
    ) -> None:
        latency_ms = self._clock.monotonic_ms() - started_at_ms
        budget = self.service(service)
        if outcome.reply is not None:
            text = "ok" if outcome.reply.complete else "partial"
            self._board.succeeded(outcome.upstream, latency_ms)
            budget.latency.record(latency_ms)
            self._pooled.record(latency_ms)
            budget.retries.earn()
        elif outcome.error is not None:
            text = str(outcome.kind or type(outcome.error).__name__)
            context.failures.append(outcome.error)
            self._record_fault(context, outcome, budget, latency_ms)
            _log.debug(
                "event=attempt_failed request=%s service=%s upstream=%s "
                "outcome=%s run_state=%s",
                context.search.request.caller_request_id,
                service,
                outcome.upstream,
                text,
                outcome.error.run_state,
            )
        else:
            text = "cancelled"
            context.cancelled += 1
            self._record_slow(outcome, budget, latency_ms)
        self._observer.attempt_finished(
            member=context.search.request.member,
            service=service,
            kind=kind,
            outcome=text,
            latency_ms=latency_ms,
        )

    def _record_fault(
        self,
        context: SearchContext,
        outcome: Outcome,
        budget: ServiceBudget,
        latency_ms: float,
    ) -> None:
        is_unreachable = outcome.kind in _UNREACHABLE
        if is_unreachable:
            context.unreachable[outcome.upstream] += 1
        if outcome.kind in _UPSTREAM_FAULTS:
            self._board.failed(outcome.upstream, is_unreachable=is_unreachable)
        if outcome.kind is UpstreamErrorKind.TIMEOUT:
            self._record_slow(outcome, budget, latency_ms)

    def _record_slow(
        self, outcome: Outcome, budget: ServiceBudget, latency_ms: float
    ) -> None:
        # Leaving out the slow attempts that lost against a hedge would lower the
        # estimates, and with them the hedge delay, further and further. Attempts
        # cancelled early, for instance by the caller, say nothing.
        if latency_ms >= budget.hedge_delay_ms:
            self._board.abandoned(outcome.upstream, latency_ms)
            budget.latency.record(latency_ms)

    def dump(self) -> dict[str, object]:
        """Return budgets and estimates."""
        return {
            "hedge_tokens": self.hedges.tokens,
            "hedge_pressure": self.hedges.pressure,
            "services": {
                name: {
                    "retry_tokens": budget.retries.tokens,
                    "hedge_delay_ms": budget.hedge_delay_ms,
                    "p50_ms": budget.latency.p50_ms,
                    "p95_ms": budget.latency.p95_ms,
                }
                for name, budget in sorted(self._services.items())
            },
        }
