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
from cuminbend.query._choice import ReplicaChoice
from cuminbend.query._restart import RestartPolicy
from cuminbend.query._run_parts import RunParts
from cuminbend.query._shard_state import ShardState, count_complete
from cuminbend.query._snapshots import list_shards
from cuminbend.query._stragglers import StragglerPolicy
from cuminbend.query._validation import may_send

_log = logging.getLogger(__name__)

_MIN_WAIT_MS = 0.5


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

    def __init__(self, *, parts: RunParts, may_restart: bool, may_wait: bool) -> None:
        self._parts = parts
        self._may_restart = may_restart
        self._may_wait = may_wait
        self._choice = ReplicaChoice(parts)
        self._stragglers = StragglerPolicy(parts)
        self._restart = RestartPolicy(parts)
        services = parts.context.search.services
        self._prefers_coverage = (
            parts.context.search.member.prefer is Preference.COVERAGE
        )
        self.snapshot = parts.snapshot
        self.shards = {
            key: ShardState(key)
            for key in list_shards(services, self.snapshot.partitioning)
        }
        guarded = {service.name for service in services if service.canary}
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
        return count_complete(self.shards.values())

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
        dead = self._parts.dead_upstreams()
        return sum(
            shard.complete
            or bool(
                self._parts.selector.trusted_holders(shard.key, self.snapshot, dead)
            )
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
            settings=self._parts.settings,
            view=self._parts.view,
            clock=self._parts.clock,
            sender=self._parts.sender,
            selector=self._parts.selector,
            book=self._parts.book,
            context=self._parts.context,
            snapshot=self.snapshot,
            reported=self._reported,
            is_lost=self._check_lost,
        )
        proof = await canary.prove(self._guarded)
        if proof is not None:
            self.shards[proof.key].accept(proof.outcome)
        return self._parts.book.is_proven(
            self._parts.context.fingerprint, self.snapshot
        )

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
            if not may_send(self._parts.view, self._parts.context.configuration):
                # A lease that ran out is not back before the deadline as a rule.
                shard.settle()
                return
            record = record or self._choice.choose(shard)
            if record is not None:
                await self._attempt(shard, record, kind)
                if shard.settled or shard.in_flight:
                    return
            if self._check_lost(shard):
                return
            may_wait = self._prefers_coverage and self._may_wait
            if self._choice.is_hopeless(shard, may_wait=may_wait):
                shard.settle()
                return
            await self._pause(shard)
            kind, record = WorkKind.RETRY, None

    async def _attempt(
        self, shard: ShardState, record: UpstreamRecord, kind: WorkKind
    ) -> None:
        upstream = record.announcement.upstream
        now = self._parts.clock.monotonic_ms()
        budget = self._parts.sender.service(shard.key[0])
        if shard.started_at_ms is None:
            shard.started_at_ms = now
        shard.overdue_at_ms = now + budget.overdue_ms
        self._check_at(shard, now + self._stragglers.hedge_delay_ms(shard))
        with anyio.CancelScope() as scope:
            in_flight = (upstream, scope)
            shard.in_flight.append(in_flight)
            try:
                outcome = await self._parts.sender.send(
                    self._parts.context,
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
            self._parts.book.drop_proof(self._parts.context.fingerprint)
            self._scope.cancel()
        elif outcome.kind is UpstreamErrorKind.RESET:
            # Most often the upstream was lost for another reason, so the shard is
            # asked again; but the next equal search is tried on one shard first.
            self._parts.book.drop_proof(self._parts.context.fingerprint)

    async def _pause(self, shard: ShardState) -> None:
        """Wait until the shard may be asked again."""
        rounds = min(
            (shard.tried[upstream] for upstream in self._choice.holder_names(shard)),
            default=5,
        )
        delay_ms = self._parts.settings.retry_delay_ms * 2 ** min(rounds, 16)
        if rounds:
            await self._parts.clock.sleep(
                milliseconds(min(delay_ms, self._parts.settings.retry_delay_max_ms))
            )
        if not self._choice.open_holders(shard):
            return
        retries = self._parts.sender.service(shard.key[0]).retries
        while not shard.settled and not retries.try_spend():
            await self._parts.clock.sleep(
                milliseconds(self._parts.settings.retry_delay_ms)
            )

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
        if not self._restart.is_due(failed):
            return False
        self.lost = True
        self._scope.cancel()
        _log.info(
            "event=snapshot_lost request=%s snapshot=%s/%s",
            self._parts.context.search.request.caller_request_id,
            self.snapshot.index_version,
            self.snapshot.partitioning,
        )
        return True

    async def _watch(self, group: TaskGroup) -> None:
        """Start hedges, and end the run early where the member asked for it."""
        while self._lanes:
            self._wake = anyio.Event()
            self._wake_at_ms = min(
                (shard.check_at_ms for shard in self._open_shards()),
                default=float("inf"),
            )
            wait_ms = max(
                self._wake_at_ms - self._parts.clock.monotonic_ms(), _MIN_WAIT_MS
            )
            with anyio.move_on_after(wait_ms / 1000):
                await self._wake.wait()
            now = self._parts.clock.monotonic_ms()
            for shard in self._open_shards():
                if shard.check_at_ms <= now and shard.in_flight:
                    self._consider_hedge(group, shard, now)
            if not self._prefers_coverage and self._stragglers.may_leave(
                self.shards.values(), now
            ):
                self._scope.cancel()

    def _open_shards(self) -> Iterable[ShardState]:
        return [shard for shard in self.shards.values() if not shard.settled]

    def _check_at(self, shard: ShardState, at_ms: float) -> None:
        shard.check_at_ms = at_ms
        if at_ms < self._wake_at_ms:
            self._wake.set()

    def _consider_hedge(self, group: TaskGroup, shard: ShardState, now: float) -> None:
        budget = self._parts.sender.service(shard.key[0])
        shard.check_at_ms = now + self._stragglers.recheck_delay_ms(shard)
        record = self._choice.choose(shard)
        if record is None:
            return
        # Waiting for a token instead of dropping the hedge gives the tokens to the
        # shards that take longest, not to those just above the 95th percentile.
        if self._stragglers.is_worth_hedging(
            shard, record
        ) and self._stragglers.take_hedge_token(shard):
            self._start_lane(group, shard, WorkKind.HEDGE, record)
        elif now >= shard.overdue_at_ms and budget.retries.try_spend():
            self._start_lane(group, shard, WorkKind.RETRY, record)
