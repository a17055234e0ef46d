"""One run of a search under one snapshot."""

import logging
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from cuminbend.config import Preference
from cuminbend.exceptions import QuarantinedError, SuspectError, UpstreamErrorKind
from cuminbend.messages import UpstreamRecord, WorkKind
from cuminbend.ports import milliseconds
from cuminbend.query._attempts import Outcome
from cuminbend.query._canary import Canary
from cuminbend.query._replica_selector import ReplicaSelector
from cuminbend.query._restart import RestartPolicy
from cuminbend.query._run_context import RunContext
from cuminbend.query._shard_state import ShardState, count_complete
from cuminbend.query._snapshots import list_shards
from cuminbend.query._stragglers import StragglerPolicy
from cuminbend.query._validation import may_send_searches

_log = logging.getLogger(__name__)

_MIN_STRAGGLER_CHECK_INTERVAL_MS = 0.5
# The retry delay stops doubling after this many rounds.
_MAX_DELAY_DOUBLINGS = 16
# A shard without any holder gets the retry delay of this round.
_ROUNDS_WITHOUT_HOLDER = 5


class QueryRun:
    """Sends one search to all shards of one snapshot.

    Each shard has one task that tries one replica after the other. A further task per
    run watches the time and starts more tasks for shards whose attempt takes long.

    Args:
        run_context: Objects shared by the parts of the run.
        may_restart: Whether the run may end in favour of another snapshot.
        may_wait: Whether members that prefer coverage wait for replicas to return.

    Attributes:
        snapshot: Snapshot that all replies come from.
        shards: State of each shard, by service and number.
        snapshot_lost: Whether the run was ended because it can no longer reach full
            coverage and another snapshot can.
    """

    def __init__(
        self, *, run_context: RunContext, may_restart: bool, may_wait: bool
    ) -> None:
        self._run_context = run_context
        self._may_restart = may_restart
        self._may_wait = may_wait
        self._replica_selector = ReplicaSelector(run_context)
        self._stragglers = StragglerPolicy(run_context)
        self._restart_policy = RestartPolicy(run_context)
        services = run_context.search_context.search.services
        self._prefers_coverage = (
            run_context.search_context.search.member.prefer is Preference.COVERAGE
        )
        self.snapshot = run_context.snapshot
        self.shards = {
            key: ShardState(key)
            for key in list_shards(services, self.snapshot.partitioning)
        }
        canary_services = {service.name for service in services if service.canary}
        self._canary_shards = [key for key in self.shards if key[0] in canary_services]
        self._running_tasks = 0
        self._cancel_scope = anyio.CancelScope()
        # Upstreams that the request crashed according to their owners.
        self._reported_crashed: set[str] = set()
        self._wake_event = anyio.Event()
        self._wake_at_ms = float("inf")
        self._quarantine_error: QuarantinedError | None = None
        self.snapshot_lost = False

    @property
    def answered_count(self) -> int:
        """Number of shards with a complete reply."""
        return count_complete(self.shards.values())

    @property
    def is_full(self) -> bool:
        """Whether each shard has a complete reply."""
        return self.answered_count == len(self.shards)

    @property
    def replied_count(self) -> int:
        """Number of shards with a complete or partial reply."""
        return sum(shard.answer is not None for shard in self.shards.values())

    @property
    def reachable_count(self) -> int:
        """Number of shards that have a complete reply or can still get one."""
        unreachable = self._run_context.unreachable_upstreams()
        return sum(
            shard.complete
            or bool(
                self._run_context.snapshot_selector.eligible_holders(
                    shard.key, self.snapshot, unreachable
                )
            )
            for shard in self.shards.values()
        )

    async def resume(self) -> None:
        """Continue a run that ended without full coverage, until the deadline.

        Raises:
            RequestFailedError: In the same cases as :meth:`run`.
        """
        self.snapshot_lost = False
        self._may_restart = False
        self._may_wait = True
        if self._prefers_coverage:
            for shard in self.shards.values():
                shard.settled = shard.complete
        await self.run()

    async def run(self) -> None:
        """Query the shards until all are settled or the snapshot is lost.

        Raises:
            LeaseExpiredError: If the canary may not be sent.
            QuarantinedError: If the request crashed two upstreams.
            UnavailableError: If the canary cannot be sent.
        """
        while await self._run_canary():
            await self._fan_out()
            if not self._reported_crashed:
                return

    async def _fan_out(self) -> None:
        self._reported_crashed = set()
        self._cancel_scope = anyio.CancelScope()
        with self._cancel_scope:
            async with anyio.create_task_group() as group:
                for shard in self.shards.values():
                    if not shard.settled:
                        self._start_shard_task(group, shard, WorkKind.SEARCH)
                if self._running_tasks:
                    group.start_soon(self._watch_stragglers, group)
        if self._quarantine_error is not None:
            raise self._quarantine_error

    async def _run_canary(self) -> bool:
        """Run the canary if one is needed; return whether the fan-out may start."""
        if not self._canary_shards:
            return True
        canary = Canary(
            settings=self._run_context.settings,
            view=self._run_context.view,
            clock=self._run_context.clock,
            sender=self._run_context.sender,
            snapshot_selector=self._run_context.snapshot_selector,
            fingerprint_table=self._run_context.fingerprint_table,
            search_context=self._run_context.search_context,
            snapshot=self.snapshot,
            reported_crashed=self._reported_crashed,
            is_snapshot_lost=self._check_snapshot_lost,
        )
        canary_outcome = await canary.run(self._canary_shards)
        if canary_outcome is not None:
            self.shards[canary_outcome.key].record_outcome(canary_outcome.outcome)
        return self._run_context.fingerprint_table.has_passed_canary(
            self._run_context.search_context.fingerprint, self.snapshot
        )

    def _start_shard_task(
        self,
        group: TaskGroup,
        shard: ShardState,
        kind: WorkKind,
        record: UpstreamRecord | None = None,
    ) -> None:
        self._running_tasks += 1
        group.start_soon(self._run_shard_task, shard, kind, record)

    async def _run_shard_task(
        self, shard: ShardState, kind: WorkKind, record: UpstreamRecord | None
    ) -> None:
        try:
            await self._query_shard(shard, kind, record)
        except QuarantinedError as error:
            self._quarantine_error = error
            self._cancel_scope.cancel()
        finally:
            self._running_tasks -= 1
            if not self._running_tasks:
                self._wake_event.set()

    async def _query_shard(
        self, shard: ShardState, kind: WorkKind, record: UpstreamRecord | None
    ) -> None:
        """Try one replica after the other until the shard is settled.

        If several tasks run for one shard, only the last one continues after a failure.
        """
        while not shard.settled:
            if not may_send_searches(
                self._run_context.view, self._run_context.search_context.configuration
            ):
                # An expired lease is rarely renewed before the deadline.
                shard.settle()
                return
            record = record or self._replica_selector.choose_replica(shard)
            if record is not None:
                await self._send_attempt(shard, record, kind)
                if shard.settled or shard.in_flight:
                    return
            if self._check_snapshot_lost(shard):
                return
            may_wait = self._prefers_coverage and self._may_wait
            if self._replica_selector.is_unanswerable(shard, may_wait=may_wait):
                shard.settle()
                return
            await self._wait_before_retry(shard)
            kind, record = WorkKind.RETRY, None

    async def _send_attempt(
        self, shard: ShardState, record: UpstreamRecord, kind: WorkKind
    ) -> None:
        upstream = record.announcement.upstream
        now = self._run_context.clock.monotonic_ms()
        budget = self._run_context.sender.service_budget(shard.key[0])
        if shard.started_at_ms is None:
            shard.started_at_ms = now
        shard.overdue_at_ms = now + budget.overdue_ms
        self._schedule_check(shard, now + self._stragglers.hedge_delay_ms(shard))
        with anyio.CancelScope() as scope:
            in_flight = (upstream, scope)
            shard.in_flight.append(in_flight)
            try:
                outcome = await self._run_context.sender.send(
                    self._run_context.search_context,
                    shard.key,
                    self.snapshot,
                    record,
                    kind,
                    is_hedge=kind is WorkKind.HEDGE,
                )
            finally:
                shard.in_flight.remove(in_flight)
            self._stop_if_request_crashes(outcome)
            shard.record_outcome(outcome)

    def _stop_if_request_crashes(self, outcome: Outcome) -> None:
        """End or interrupt the fan-out if the request crashes upstreams."""
        if isinstance(outcome.error, QuarantinedError):
            raise outcome.error
        if isinstance(outcome.error, SuspectError) and self._canary_shards:
            self._reported_crashed.add(outcome.error.first_upstream)
            self._run_context.fingerprint_table.drop_canary_pass(
                self._run_context.search_context.fingerprint
            )
            self._cancel_scope.cancel()
        elif outcome.kind is UpstreamErrorKind.RESET:
            # The request is rarely the cause of a reset, so the shard is tried again;
            # but the next equal search has to pass a canary first.
            self._run_context.fingerprint_table.drop_canary_pass(
                self._run_context.search_context.fingerprint
            )

    async def _wait_before_retry(self, shard: ShardState) -> None:
        """Wait until another attempt for the shard may be sent."""
        rounds = min(
            (
                shard.incomplete_attempts[upstream]
                for upstream in self._replica_selector.holder_names(shard)
            ),
            default=_ROUNDS_WITHOUT_HOLDER,
        )
        delay_ms = self._run_context.settings.retry_delay_ms * 2 ** min(
            rounds, _MAX_DELAY_DOUBLINGS
        )
        if rounds:
            await self._run_context.clock.sleep(
                milliseconds(
                    min(delay_ms, self._run_context.settings.retry_delay_max_ms)
                )
            )
        if not self._replica_selector.holders_without_partial_reply(shard):
            return
        retry_budget = self._run_context.sender.service_budget(
            shard.key[0]
        ).retry_budget
        while not shard.settled and not retry_budget.try_spend():
            await self._run_context.clock.sleep(
                milliseconds(self._run_context.settings.retry_delay_ms)
            )

    def _check_snapshot_lost(self, shard: ShardState | None = None) -> bool:
        """End the run if only another snapshot can still give full coverage.

        Args:
            shard: The shard whose attempt failed, or None to check all unsettled ones.

        Returns:
            Whether the run has ended in favour of another snapshot.
        """
        if self.snapshot_lost:
            return True
        if not self._may_restart:
            return False
        shards_to_check = [shard] if shard is not None else self._unsettled_shards()
        if not self._restart_policy.is_due(shards_to_check):
            return False
        self.snapshot_lost = True
        self._cancel_scope.cancel()
        _log.info(
            "event=snapshot_lost request=%s snapshot=%s/%s",
            self._run_context.search_context.search.request.caller_request_id,
            self.snapshot.index_version,
            self.snapshot.partitioning,
        )
        return True

    async def _watch_stragglers(self, group: TaskGroup) -> None:
        """Start hedges, and end the run early if the member prefers latency."""
        while self._running_tasks:
            self._wake_event = anyio.Event()
            self._wake_at_ms = min(
                (shard.check_at_ms for shard in self._unsettled_shards()),
                default=float("inf"),
            )
            wait_ms = max(
                self._wake_at_ms - self._run_context.clock.monotonic_ms(),
                _MIN_STRAGGLER_CHECK_INTERVAL_MS,
            )
            with anyio.move_on_after(wait_ms / 1000):
                await self._wake_event.wait()
            now = self._run_context.clock.monotonic_ms()
            for shard in self._unsettled_shards():
                if shard.check_at_ms <= now and shard.in_flight:
                    self._consider_hedge(group, shard, now)
            if (
                not self._prefers_coverage
                and self._stragglers.may_answer_without_stragglers(
                    self.shards.values(), now
                )
            ):
                self._cancel_scope.cancel()

    def _unsettled_shards(self) -> Iterable[ShardState]:
        return [shard for shard in self.shards.values() if not shard.settled]

    def _schedule_check(self, shard: ShardState, at_ms: float) -> None:
        shard.check_at_ms = at_ms
        if at_ms < self._wake_at_ms:
            self._wake_event.set()

    def _consider_hedge(self, group: TaskGroup, shard: ShardState, now: float) -> None:
        budget = self._run_context.sender.service_budget(shard.key[0])
        shard.check_at_ms = now + self._stragglers.recheck_delay_ms(shard)
        record = self._replica_selector.choose_replica(shard)
        if record is None:
            return
        # A hedge without a token is considered again instead of dropped. This gives the
        # tokens to the slowest shards, not to those just above the 95th percentile.
        if self._stragglers.is_worth_hedging(
            shard, record
        ) and self._stragglers.take_hedge_token(shard):
            self._start_shard_task(group, shard, WorkKind.HEDGE, record)
        elif now >= shard.overdue_at_ms and budget.retry_budget.try_spend():
            self._start_shard_task(group, shard, WorkKind.RETRY, record)
