"""Sending of shard requests, with hedge and retry budgets."""

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
from cuminbend.query._replicas import ReplicaStats
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import ShardKey, SnapshotSelector
from cuminbend.query._validation import (
    CheckedSearch,
    check_lease,
    check_quarantine,
)

_log = logging.getLogger(__name__)

# Factors by which one request for a hedge changes the delay of later hedges. One slow
# upstream makes many hedges find no token at once; with an increase as fast as the
# decrease, the delay factor overshot to 1.7.
_DELAY_FACTOR_INCREASE = 1.005
_DELAY_FACTOR_DECREASE = 1.02
_MAX_DELAY_FACTOR = 4.0
# Latency quantile of a service after which an unanswered hedge is hedged again. It is
# below the 95th percentile that applies to the first hedge, because the shard already
# delays the whole answer.
_NEXT_HEDGE_QUANTILE = 0.9
# Error kinds that suggest that an upstream is down.
_UNREACHABLE_KINDS = frozenset(
    {UpstreamErrorKind.CONNECT, UpstreamErrorKind.RESET, UpstreamErrorKind.TIMEOUT}
)
# Error kinds that count against the upstream rather than against the request or this
# instance.
_UPSTREAM_FAULT_KINDS = frozenset(UpstreamErrorKind) - {UpstreamErrorKind.MISMATCH}


class HedgeBudget:
    """Token budget for hedges that also adapts the hedge delay.

    About 5% of the attempts take longer than the 95th percentile, but only 4% may be
    hedged. If the delay did not increase, attempts just above the percentile would use
    up the tokens and none would be left for the slowest attempts.

    Attributes:
        delay_factor: Factor on all hedge delays, at least 1.
    """

    def __init__(self, *, settings: QuerySettings) -> None:
        self._half_burst = settings.hedge_burst / 2
        self._budget = TokenBudget(
            ratio=settings.hedge_ratio, burst=settings.hedge_burst, initial=1
        )
        self.delay_factor = 1.0

    @property
    def tokens(self) -> float:
        """Number of hedges that may be sent."""
        return self._budget.tokens

    def earn(self) -> None:
        """Record a shard request, which earns a fraction of a token."""
        self._budget.earn()

    def try_spend(self, *, is_first_try: bool) -> bool:
        """Take a token for a hedge if there is one, and adapt the delay factor.

        Args:
            is_first_try: Whether this hedge has not been refused before.

        Returns:
            Whether the hedge may be sent.
        """
        if self._budget.tokens >= self._half_burst:
            self.delay_factor = max(1.0, self.delay_factor / _DELAY_FACTOR_DECREASE)
        elif is_first_try:
            self.delay_factor = min(
                _MAX_DELAY_FACTOR, self.delay_factor * _DELAY_FACTOR_INCREASE
            )
        return self._budget.try_spend()


class ServiceBudget:
    """Latency quantiles and retry budget of one service."""

    def __init__(
        self,
        *,
        settings: QuerySettings,
        hedge_budget: HedgeBudget,
        pooled_latency: LatencyQuantiles,
    ) -> None:
        self._settings = settings
        self._hedge_budget = hedge_budget
        self._pooled_latency = pooled_latency
        self.latency = LatencyQuantiles(window=settings.latency_window)
        self.retry_budget = TokenBudget(
            ratio=settings.retry_ratio, burst=settings.retry_burst
        )

    @property
    def hedge_delay_ms(self) -> float:
        """Time in milliseconds after which an unanswered attempt may be hedged."""
        # The samples of all services are used until this instance has enough samples
        # of this service, because each of 8 instances sends only a few requests a
        # second to a service.
        has_enough_samples = len(self.latency) >= self._settings.min_samples
        estimate = self.latency if has_enough_samples else self._pooled_latency
        p95_ms = estimate.p95_ms
        if p95_ms is None or len(estimate) < self._settings.min_samples:
            return self._settings.hedge_initial_ms
        return (
            max(p95_ms, self._settings.min_hedge_delay_ms)
            * self._hedge_budget.delay_factor
        )

    @property
    def next_hedge_delay_ms(self) -> float:
        """Time in milliseconds after which an unanswered hedge may be hedged again."""
        quantile_ms = self.latency.quantile_ms(_NEXT_HEDGE_QUANTILE)
        return min(quantile_ms or self.hedge_delay_ms, self.hedge_delay_ms)

    @property
    def overdue_ms(self) -> float:
        """Time in milliseconds after which an unanswered attempt counts as lost."""
        return max(
            self._settings.overdue_factor * self.hedge_delay_ms,
            self._settings.min_overdue_ms,
        )

    @property
    def typical_ms(self) -> float:
        """Expected latency in milliseconds of an upstream not observed yet."""
        return self.latency.p50_ms or self._settings.hedge_initial_ms


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of an attempt: a checked reply, an error, or neither if cancelled."""

    upstream: str
    reply: ShardReply | None = None
    error: RequestFailedError | None = None

    @property
    def kind(self) -> UpstreamErrorKind | None:
        """Kind of the error if it is an :class:`UpstreamError`, otherwise None."""
        return self.error.kind if isinstance(self.error, UpstreamError) else None


@dataclass(slots=True, kw_only=True)
class SearchContext:
    """State of a search in progress.

    Attributes:
        deadline_at_ms: Monotonic time at which the answer is returned at the latest.
        attempts: Number of shard requests sent so far.
        hedges: Number of attempts sent as hedges.
        cancelled: Number of attempts that were cancelled.
        failures: Errors of attempts, oldest first.
        unreachable_counts: Number of attempts that did not reach a working upstream,
            by upstream.
        snapshots: Snapshots that the search ran under, in order.
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
    unreachable_counts: Counter[str] = field(default_factory=Counter)
    snapshots: list[Snapshot] = field(default_factory=list)

    def unreachable_upstreams(self, min_attempts: int) -> set[str]:
        """Return the upstreams that ``min_attempts`` or more attempts did not reach."""
        return {
            upstream
            for upstream, count in self.unreachable_counts.items()
            if count >= min_attempts
        }


class AttemptSender:
    """Sends attempts, checks their replies, and records latencies and errors."""

    def __init__(
        self,
        *,
        settings: QuerySettings,
        view: ClusterView,
        dispatcher: ShardDispatcher,
        clock: Clock,
        random: RandomSource,
        observer: QueryObserver,
        snapshot_selector: SnapshotSelector,
        replica_stats: ReplicaStats,
    ) -> None:
        self._settings = settings
        self._view = view
        self._dispatcher = dispatcher
        self._clock = clock
        self._observer = observer
        self._snapshot_selector = snapshot_selector
        self._replica_stats = replica_stats
        # Random for each process start, so that no id is reused after a restart.
        self._boot_id = f"{random.getrandbits(128):032x}"
        self._request_numbers = itertools.count(1)
        self._service_budgets: dict[str, ServiceBudget] = {}
        self.hedge_budget = HedgeBudget(settings=settings)
        self._pooled_latency = LatencyQuantiles(window=settings.pooled_window)

    def service_budget(self, name: str) -> ServiceBudget:
        """Return the budget of a service, which is created on first use."""
        if name not in self._service_budgets:
            self._service_budgets[name] = ServiceBudget(
                settings=self._settings,
                hedge_budget=self.hedge_budget,
                pooled_latency=self._pooled_latency,
            )
        return self._service_budgets[name]

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
        """Send one attempt and return its outcome.

        Errors of the request are returned in the outcome, not raised. Cancelled
        attempts are recorded as well.

        Args:
            context: The search that the attempt belongs to.
            key: Service and number of the shard.
            snapshot: Snapshot that the reply has to come from.
            record: Upstream to send the attempt to.
            kind: Kind of work given in the request.
            is_hedge: Whether the attempt counts as a hedge of the search.
        """
        upstream = record.announcement.upstream
        started_at_ms = self._clock.monotonic_ms()
        request = self._make_request(context, key, snapshot, upstream, kind)
        outcome = Outcome(upstream)
        try:
            check_lease(self._view, context.configuration)
            check_quarantine(self._view, context.fingerprint)
            self._count_attempt(context, kind, is_hedge=is_hedge)
            self._replica_stats.record_start(upstream)
            try:
                reply = await self._dispatcher.dispatch(request)
            finally:
                self._replica_stats.record_end(upstream)
            self._check_reply(request, reply)
            self._snapshot_selector.clear_mismatch(upstream, snapshot)
            outcome = Outcome(upstream, reply=reply)
        except RequestFailedError as error:
            outcome = Outcome(upstream, error=error)
            if outcome.kind is UpstreamErrorKind.MISMATCH:
                self._snapshot_selector.record_mismatch(upstream, snapshot)
        finally:
            # Also reached by cancellation, with neither reply nor error.
            self._record_outcome(context, key[0], kind, outcome, started_at_ms)
        return outcome

    def _make_request(
        self,
        context: SearchContext,
        key: ShardKey,
        snapshot: Snapshot,
        upstream: str,
        kind: WorkKind,
    ) -> ShardRequest:
        request = context.search.request
        return ShardRequest(
            request_id=f"{self._boot_id}-{next(self._request_numbers)}",
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

    def _count_attempt(
        self, context: SearchContext, kind: WorkKind, *, is_hedge: bool
    ) -> None:
        context.attempts += 1
        if is_hedge:
            context.hedges += 1
        elif kind in (WorkKind.SEARCH, WorkKind.CANARY):
            self.hedge_budget.earn()

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

    def _record_outcome(
        self,
        context: SearchContext,
        service: str,
        kind: WorkKind,
        outcome: Outcome,
        started_at_ms: float,
    ) -> None:
        latency_ms = self._clock.monotonic_ms() - started_at_ms
        budget = self.service_budget(service)
        if outcome.reply is not None:
            outcome_label = "ok" if outcome.reply.complete else "partial"
            self._replica_stats.record_success(outcome.upstream, latency_ms)
            budget.latency.record(latency_ms)
            self._pooled_latency.record(latency_ms)
            budget.retry_budget.earn()
        elif outcome.error is not None:
            outcome_label = str(outcome.kind or type(outcome.error).__name__)
            context.failures.append(outcome.error)
            self._record_failure(context, outcome, budget, latency_ms)
            _log.debug(
                "event=attempt_failed request=%s service=%s upstream=%s "
                "outcome=%s run_state=%s",
                context.search.request.caller_request_id,
                service,
                outcome.upstream,
                outcome_label,
                outcome.error.run_state,
            )
        else:
            outcome_label = "cancelled"
            context.cancelled += 1
            self._record_slow_attempt(outcome, budget, latency_ms)
        self._observer.attempt_finished(
            member=context.search.request.member,
            service=service,
            kind=kind,
            outcome=outcome_label,
            latency_ms=latency_ms,
        )

    def _record_failure(
        self,
        context: SearchContext,
        outcome: Outcome,
        budget: ServiceBudget,
        latency_ms: float,
    ) -> None:
        is_unreachable = outcome.kind in _UNREACHABLE_KINDS
        if is_unreachable:
            context.unreachable_counts[outcome.upstream] += 1
        if outcome.kind in _UPSTREAM_FAULT_KINDS:
            self._replica_stats.record_failure(
                outcome.upstream, is_unreachable=is_unreachable
            )
        if outcome.kind is UpstreamErrorKind.TIMEOUT:
            self._record_slow_attempt(outcome, budget, latency_ms)

    def _record_slow_attempt(
        self, outcome: Outcome, budget: ServiceBudget, latency_ms: float
    ) -> None:
        # Without the slow attempts that a hedge overtook, the estimates and the hedge
        # delay would decrease further and further. The time until an early
        # cancellation, for instance by the caller, is no estimate of the latency.
        if latency_ms >= budget.hedge_delay_ms:
            self._replica_stats.record_slow_attempt(outcome.upstream, latency_ms)
            budget.latency.record(latency_ms)

    def dump(self) -> dict[str, object]:
        """Return budgets and latency estimates for a state dump."""
        return {
            "hedge_tokens": self.hedge_budget.tokens,
            "hedge_pressure": self.hedge_budget.delay_factor,
            "services": {
                name: {
                    "retry_tokens": budget.retry_budget.tokens,
                    "hedge_delay_ms": budget.hedge_delay_ms,
                    "p50_ms": budget.latency.p50_ms,
                    "p95_ms": budget.latency.p95_ms,
                }
                for name, budget in sorted(self._service_budgets.items())
            },
        }
