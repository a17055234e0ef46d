"""One run of a search under one snapshot."""

import logging
from collections import Counter
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from cuminbend.config import Preference
from cuminbend.exceptions import QuarantinedError, SuspectError, UpstreamErrorKind
from cuminbend.messages import Snapshot, UpstreamRecord, WorkKind
from cuminbend.ports import Clock, ms
from cuminbend.query._attempts import AttemptSender, Outcome, SearchContext
from cuminbend.query._base import ShardAnswer, ViewPort
from cuminbend.query._canary import Canary
from cuminbend.query._fingerprints import FingerprintBook
from cuminbend.query._replicas import ReplicaBoard
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import ShardKey, SnapshotSelector, list_shards
from cuminbend.query._validation import may_send

_log = logging.getLogger(__name__)

# A hedge without a token is considered again after this share of its delay, but at
# least the floor of the delay.
_HEDGE_RECHECK_SHARE = 0.25
_MIN_WAIT_MS = 0.5


class ShardState:
    """What a run knows of one shard.

    Attributes:
        answer: Best reply so far.
        complete: Whether ``answer`` is a complete reply.
        settled: Whether nothing more is sent for the shard.
        in_flight: Upstream and scope of each attempt in flight.
        hedges: Hedges sent.
        wants_hedge: Whether a hedge is due and found no token so far.
        tried: Attempts that ended without a complete reply, by upstream.
        check_at_ms: When the shard is next considered for a hedge.
        overdue_at_ms: When the attempts in flight count as lost.
    """

    def __init__(self, key: ShardKey) -> None:
        self.key = key
        self.answer: ShardAnswer | None = None
        self.complete = False
        self.settled = False
        self.hedges = 0
        self.wants_hedge = False
        self.in_flight: list[tuple[str, anyio.CancelScope]] = []
        self.tried: Counter[str] = Counter()
        self.partial_from: set[str] = set()
        self.started_at_ms: float | None = None
        self.check_at_ms = float("inf")
        self.overdue_at_ms = float("inf")

    def accept(self, outcome: Outcome) -> None:
        """Take over the result of an attempt.

        A complete reply replaces a partial one, and nothing replaces a complete one
        with less, not even a reply that arrives at the same time.
        """
        if outcome.reply is None:
            self.tried[outcome.upstream] += 1
            return
        if not outcome.reply.complete:
            self.tried[outcome.upstream] += 1
            self.partial_from.add(outcome.upstream)
            if self.answer is not None:
                return
        self.complete = outcome.reply.complete
        self.answer = ShardAnswer(
            service=self.key[0],
            shard=self.key[1],
            upstream=outcome.upstream,
            body=outcome.reply.body,
        )
        if self.complete:
            self.settle()

    def settle(self) -> None:
        """Stop asking for the shard and cancel what is in flight for it."""
        self.settled = True
        for _, scope in self.in_flight:
            scope.cancel()


class QueryRun:
    """Asks all shards of one snapshot for one search.

    Each shard has one task that asks replica after replica. A second task per query
    watches the time and starts further tasks for shards whose attempt takes long.

    Attributes:
        snapshot: The pinned snapshot.
        shards: State of each shard, by service and number.
        lost: Whether the run was ended because another snapshot has full coverage and
            this one can no longer reach it.
    """

    def __init__(
        self,
        *,
        settings: QuerySettings,
        view: ViewPort,
        clock: Clock,
        sender: AttemptSender,
        selector: SnapshotSelector,
        board: ReplicaBoard,
        book: FingerprintBook,
        context: SearchContext,
        snapshot: Snapshot,
        may_restart: bool,
        may_wait: bool,
    ) -> None:
        self._settings = settings
        self._view = view
        self._clock = clock
        self._sender = sender
        self._selector = selector
        self._board = board
        self._book = book
        self._context = context
        self._may_restart = may_restart
        self._may_wait = may_wait
        self._services = context.search.services
        self._prefers_coverage = context.search.member.prefer is Preference.COVERAGE
        self.snapshot = snapshot
        self.shards = {
            key: ShardState(key)
            for key in list_shards(self._services, snapshot.partitioning)
        }
        guarded = {service.name for service in self._services if service.canary}
        self._guarded = [key for key in self.shards if key[0] in guarded]
        self._lanes = 0
        self._scope = anyio.CancelScope()
        # Upstreams that owners say the search broke.
        self._reported: set[str] = set()
        self._wake = anyio.Event()
        self._wake_at_ms = float("inf")
        self._refusal: QuarantinedError | None = None
        self.lost = False

    @property
    def answered(self) -> int:
        """Shards with a complete reply."""
        return sum(shard.complete for shard in self.shards.values())

    @property
    def is_full(self) -> bool:
        """Whether each shard has a complete reply."""
        return self.answered == len(self.shards)

    @property
    def replied(self) -> int:
        """Shards with a complete or partial reply."""
        return sum(shard.answer is not None for shard in self.shards.values())

    @property
    def reachable(self) -> int:
        """Shards that have a complete reply or can still be asked for one."""
        dead = self._dead_upstreams()
        return sum(
            shard.complete
            or bool(self._selector.trusted_holders(shard.key, self.snapshot, dead))
            for shard in self.shards.values()
        )

    async def resume(self) -> None:
        """Go on with a run that ended without full coverage, until the deadline.

        Raises:
            RequestFailedError: As :meth:`run`.
        """
        self.lost = False
        self._may_restart = False
        self._may_wait = True
        if self._prefers_coverage:
            for shard in self.shards.values():
                shard.settled = shard.complete
        await self.run()

    async def run(self) -> None:
        """Return when all shards are settled or the run is lost.

        Raises:
            QuarantinedError: If the search broke two upstreams.
            UnavailableError: If the canary cannot be tried.
        """
        while await self._prove():
            await self._fan_out()
            if not self._reported:
                return

    async def _fan_out(self) -> None:
        self._reported = set()
        self._scope = anyio.CancelScope()
        with self._scope:
            async with anyio.create_task_group() as group:
                for shard in self.shards.values():
                    if not shard.settled:
                        self._start_lane(group, shard, WorkKind.SEARCH)
                if self._lanes:
                    group.start_soon(self._watch, group)
        if self._refusal is not None:
            raise self._refusal

    async def _prove(self) -> bool:
        if not self._guarded:
            return True
        canary = Canary(
            settings=self._settings,
            view=self._view,
            clock=self._clock,
            sender=self._sender,
            selector=self._selector,
            book=self._book,
            context=self._context,
            snapshot=self.snapshot,
            reported=self._reported,
            is_lost=self._check_lost,
        )
        proof = await canary.prove(self._guarded)
        if proof is not None:
            self.shards[proof.key].accept(proof.outcome)
        return self._book.is_proven(self._context.fingerprint, self.snapshot)

    def _start_lane(
        self,
        group: TaskGroup,
        shard: ShardState,
        kind: WorkKind,
        record: UpstreamRecord | None = None,
    ) -> None:
        self._lanes += 1
        group.start_soon(self._run_lane, shard, kind, record)

    async def _run_lane(
        self, shard: ShardState, kind: WorkKind, record: UpstreamRecord | None
    ) -> None:
        try:
            await self._ask(shard, kind, record)
        except QuarantinedError as error:
            self._refusal = error
            self._scope.cancel()
        finally:
            self._lanes -= 1
            if not self._lanes:
                self._wake.set()

    async def _ask(
        self, shard: ShardState, kind: WorkKind, record: UpstreamRecord | None
    ) -> None:
        """Ask replica after replica until the shard is settled.

        Of several tasks for one shard only the last one goes on after a failure.
        """
        while not shard.settled:
            if not may_send(self._view, self._context.configuration):
                # A lease that ran out is not back before the deadline as a rule.
                shard.settle()
                return
            record = record or self._choose(shard)
            if record is not None:
                await self._attempt(shard, record, kind)
                if shard.settled or shard.in_flight:
                    return
            if self._check_lost(shard):
                return
            if self._is_hopeless(shard):
                shard.settle()
                return
            await self._pause(shard)
            kind, record = WorkKind.RETRY, None

    async def _attempt(
        self, shard: ShardState, record: UpstreamRecord, kind: WorkKind
    ) -> None:
        upstream = record.announcement.upstream
        now = self._clock.monotonic_ms()
        budget = self._sender.service(shard.key[0])
        if shard.started_at_ms is None:
            shard.started_at_ms = now
        shard.overdue_at_ms = now + budget.overdue_ms
        self._check_at(shard, now + self._hedge_delay_ms(shard))
        with anyio.CancelScope() as scope:
            in_flight = (upstream, scope)
            shard.in_flight.append(in_flight)
            try:
                outcome = await self._sender.send(
                    self._context,
                    shard.key,
                    self.snapshot,
                    record,
                    kind,
                    is_hedge=kind is WorkKind.HEDGE,
                )
            finally:
                shard.in_flight.remove(in_flight)
            self._judge(outcome)
            shard.accept(outcome)

    def _judge(self, outcome: Outcome) -> None:
        """End or interrupt the fan-out if the search was found to break upstreams."""
        if isinstance(outcome.error, QuarantinedError):
            raise outcome.error
        if isinstance(outcome.error, SuspectError) and self._guarded:
            self._reported.add(outcome.error.first_upstream)
            self._book.drop_proof(self._context.fingerprint)
            self._scope.cancel()
        elif outcome.kind is UpstreamErrorKind.RESET:
            # Most often the upstream was lost for another reason, so the shard is
            # asked again; but the next equal search is tried on one shard first.
            self._book.drop_proof(self._context.fingerprint)

    def _choose(self, shard: ShardState) -> UpstreamRecord | None:
        """Return the replica to ask next, preferring those not asked yet."""
        holders = self._open_holders(shard)
        if not holders:
            return None
        ranks = [self._rank(shard, record) for record in holders]
        best = min(ranks)
        return self._board.choose(
            [
                record
                for record, rank in zip(holders, ranks, strict=True)
                if rank == best
            ],
            typical_ms=self._sender.service(shard.key[0]).typical_ms,
        )

    def _open_holders(self, shard: ShardState) -> list[UpstreamRecord]:
        return [
            record
            for record in self._view.holders(shard.key[0], self.snapshot, shard.key[1])
            if record.announcement.upstream not in shard.partial_from
        ]

    def _rank(
        self, shard: ShardState, record: UpstreamRecord
    ) -> tuple[bool, bool, int]:
        """Return how little a replica is wanted for the next attempt.

        An upstream is asked twice at a time only if it is the last replica: a slow
        request or a silent connection does not make the next one slow as well. A
        doubtful holding is better than none, because a reply from another snapshot is
        dropped anyway.
        """
        upstream = record.announcement.upstream
        return (
            any(upstream == asked for asked, _ in shard.in_flight),
            self._selector.is_doubted(upstream, self.snapshot),
            shard.tried[upstream],
        )

    def _is_hopeless(self, shard: ShardState) -> bool:
        """Tell whether no known replica can be expected to answer in full.

        Members that prefer coverage give up only when all replicas answered in part;
        otherwise they wait for replicas to come back until the deadline, unless the
        run of another snapshot can be resumed.
        """
        holders = self._holder_names(shard)
        if holders and holders <= shard.partial_from:
            return True
        if self._prefers_coverage and self._may_wait:
            return False
        dead = self._dead_upstreams() | shard.partial_from
        return all(
            upstream in dead or self._is_disproved(shard, upstream)
            for upstream in holders
        )

    def _is_disproved(self, shard: ShardState, upstream: str) -> bool:
        """Tell whether an upstream answered this query from another snapshot."""
        return shard.tried[upstream] > 0 and self._selector.is_doubted(
            upstream, self.snapshot
        )

    def _holder_names(self, shard: ShardState) -> set[str]:
        return {
            record.announcement.upstream
            for record in self._view.holders(shard.key[0], self.snapshot, shard.key[1])
        }

    async def _pause(self, shard: ShardState) -> None:
        """Wait until the shard may be asked again."""
        rounds = min(
            (shard.tried[upstream] for upstream in self._holder_names(shard)), default=5
        )
        delay_ms = self._settings.retry_delay_ms * 2 ** min(rounds, 16)
        if rounds:
            await self._clock.sleep(
                ms(min(delay_ms, self._settings.retry_delay_max_ms))
            )
        if not self._open_holders(shard):
            return
        retries = self._sender.service(shard.key[0]).retries
        while not shard.settled and not retries.try_spend():
            await self._clock.sleep(ms(self._settings.retry_delay_ms))

    def _check_lost(self, shard: ShardState | None = None) -> bool:
        """End the run if another snapshot can still give full coverage.

        Args:
            shard: The shard whose attempt failed, or None to look at all.
        """
        if self.lost:
            return True
        if not self._may_restart:
            return False
        failed = [shard] if shard is not None else self._open_shards()
        dead = self._dead_upstreams()
        if all(
            self._selector.trusted_holders(item.key, self.snapshot, dead)
            for item in failed
        ):
            return False
        if self._remaining_ms() < 2 * self._slowest_delay_ms():
            return False
        other = self._selector.choose(
            self._services,
            exclude=self._context.snapshots,
            only_full=True,
            without=dead,
        )
        if other is None:
            return False
        self.lost = True
        self._scope.cancel()
        _log.info(
            "snapshot_lost request=%s snapshot=%s/%s",
            self._context.search.request.caller_request_id,
            self.snapshot.index_version,
            self.snapshot.partitioning,
        )
        return True

    def _dead_upstreams(self) -> set[str]:
        return self._context.dead_upstreams(self._settings.latency_rounds)

    def _remaining_ms(self) -> float:
        return self._context.deadline_at_ms - self._clock.monotonic_ms()

    def _slowest_delay_ms(self) -> float:
        return max(
            self._sender.service(service.name).hedge_delay_ms
            for service in self._services
        )

    async def _watch(self, group: TaskGroup) -> None:
        """Start hedges, and end the run early where the member asked for it."""
        while self._lanes:
            self._wake = anyio.Event()
            self._wake_at_ms = min(
                (shard.check_at_ms for shard in self._open_shards()),
                default=float("inf"),
            )
            wait_ms = max(self._wake_at_ms - self._clock.monotonic_ms(), _MIN_WAIT_MS)
            with anyio.move_on_after(wait_ms / 1000):
                await self._wake.wait()
            now = self._clock.monotonic_ms()
            for shard in self._open_shards():
                if shard.check_at_ms <= now and shard.in_flight:
                    self._consider_hedge(group, shard, now)
            if self._may_leave_stragglers(now):
                self._scope.cancel()

    def _open_shards(self) -> Iterable[ShardState]:
        return [shard for shard in self.shards.values() if not shard.settled]

    def _check_at(self, shard: ShardState, at_ms: float) -> None:
        shard.check_at_ms = at_ms
        if at_ms < self._wake_at_ms:
            self._wake.set()

    def _consider_hedge(self, group: TaskGroup, shard: ShardState, now: float) -> None:
        budget = self._sender.service(shard.key[0])
        shard.check_at_ms = now + max(
            _HEDGE_RECHECK_SHARE * budget.hedge_delay_ms, self._settings.hedge_floor_ms
        )
        record = self._choose(shard)
        if record is None:
            return
        # Waiting for a token instead of dropping the hedge gives the tokens to the
        # shards that take longest, not to those just above the 95th percentile.
        if self._is_worth_hedging(shard, record) and self._take_hedge_token(shard):
            self._start_lane(group, shard, WorkKind.HEDGE, record)
        elif now >= shard.overdue_at_ms and budget.retries.try_spend():
            self._start_lane(group, shard, WorkKind.RETRY, record)

    def _is_worth_hedging(self, shard: ShardState, record: UpstreamRecord) -> bool:
        upstream = record.announcement.upstream
        return shard.hedges < self._settings.max_hedges and not (
            self._selector.is_doubted(upstream, self.snapshot)
            or self._board.is_avoided(upstream)
        )

    def _take_hedge_token(self, shard: ShardState) -> bool:
        is_first_try, shard.wants_hedge = not shard.wants_hedge, True
        if not self._sender.hedges.try_spend(is_first_try=is_first_try):
            return False
        shard.hedges += 1
        shard.wants_hedge = False
        return True

    def _hedge_delay_ms(self, shard: ShardState) -> float:
        budget = self._sender.service(shard.key[0])
        # A shard that was hedged already holds up the whole answer.
        return budget.next_hedge_delay_ms if shard.hedges else budget.hedge_delay_ms

    def _may_leave_stragglers(self, now: float) -> bool:
        share = self._settings.latency_coverage
        if share >= 1 or self._prefers_coverage:
            return False
        if self.answered < share * len(self.shards):
            return False
        return all(self._has_waited(shard, now) for shard in self._open_shards())

    def _has_waited(self, shard: ShardState, now: float) -> bool:
        wait_ms = max(
            self._settings.straggler_wait_ms,
            self._sender.service(shard.key[0]).overdue_ms,
        )
        return shard.started_at_ms is not None and now >= shard.started_at_ms + wait_ms
