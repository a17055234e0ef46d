"""Canary requests: a search runs on one shard before it is sent to all shards.

Source: Dean and Barroso, "The Tail at Scale", CACM 2013 (canary requests).
"""

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import chain

import anyio

from cuminbend.exceptions import (
    QuarantinedError,
    RunState,
    SuspectError,
    UnavailableError,
    UpstreamErrorKind,
)
from cuminbend.messages import Snapshot, UpstreamRecord, WorkKind
from cuminbend.ports import Clock, milliseconds
from cuminbend.query._attempts import AttemptSender, Outcome, SearchContext
from cuminbend.query._base import ClusterView
from cuminbend.query._fingerprints import (
    FingerprintTable,
    order_shards,
    order_upstreams,
)
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import ShardKey, SnapshotSelector
from cuminbend.query._validation import (
    check_lease,
    check_quarantine,
    make_quarantined_error,
)

_log = logging.getLogger(__name__)

# A request that may have crashed this many upstreams is sent to no further one.
_MAX_CRASHED_UPSTREAMS = 2
# The retry delay stops doubling after this many rounds.
_MAX_DELAY_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Candidate:
    """Upstream that a canary may be sent to, and the shard to request from it."""

    key: ShardKey
    record: UpstreamRecord

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return self.record.announcement.upstream


@dataclass(frozen=True, slots=True)
class CanaryOutcome:
    """Outcome of a canary attempt on one shard."""

    key: ShardKey
    outcome: Outcome


def list_candidates(
    view: ClusterView, fingerprint: str, keys: Sequence[ShardKey], snapshot: Snapshot
) -> list[Candidate]:
    """Return the candidates in an order that is the same at every instance.

    The order depends only on the fingerprint and the holders, not on observations of
    this instance. Instances that try the same request therefore send it to the same
    owner, which runs requests with equal fingerprints one after the other.
    """
    return list(
        chain.from_iterable(
            _order_holders(view, fingerprint, key, snapshot)
            for key in order_shards(fingerprint, keys)
        )
    )


def _order_holders(
    view: ClusterView, fingerprint: str, key: ShardKey, snapshot: Snapshot
) -> list[Candidate]:
    holders = {
        record.announcement.upstream: record
        for record in view.holders(key[0], snapshot, key[1])
    }
    return [
        Candidate(key, holders[name]) for name in order_upstreams(fingerprint, holders)
    ]


class Canary:
    """Canary of one search.

    Args:
        settings: Settings of the query coordinator.
        view: State of the cluster as this instance knows it.
        clock: Source of time.
        sender: Sends the attempts.
        snapshot_selector: Knows upstreams that replied from another snapshot.
        fingerprint_table: Canary passes and crashes known to this instance.
        search_context: The search.
        snapshot: Snapshot that the search runs under.
        reported_crashed: Upstreams that the request crashed according to their owners.
        is_snapshot_lost: Returns whether the run ends in favour of another snapshot.
    """

    def __init__(
        self,
        *,
        settings: QuerySettings,
        view: ClusterView,
        clock: Clock,
        sender: AttemptSender,
        snapshot_selector: SnapshotSelector,
        fingerprint_table: FingerprintTable,
        search_context: SearchContext,
        snapshot: Snapshot,
        reported_crashed: Iterable[str],
        is_snapshot_lost: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._is_snapshot_lost = is_snapshot_lost
        self._view = view
        self._clock = clock
        self._sender = sender
        self._snapshot_selector = snapshot_selector
        self._fingerprint_table = fingerprint_table
        self._search_context = search_context
        self._snapshot = snapshot
        self._fingerprint = search_context.fingerprint
        # Upstreams that the request crashed according to their owners.
        self._reported_crashed = set(reported_crashed)
        # Upstreams that may have run the request when their owner was lost.
        self._possibly_crashed: set[str] = set()
        self._tried: set[str] = set()
        self._rounds = 0

    async def run(self, keys: Sequence[ShardKey]) -> CanaryOutcome | None:
        """Run the canary, or wait for that of an equal search at this instance.

        Args:
            keys: Shards that the canary may run on.

        Returns:
            The outcome with the reply to the canary. None if the canary of an equal
            search passed, if no upstream holds the snapshot any more, or if the run
            ends in favour of another snapshot.

        Raises:
            LeaseExpiredError: If this instance may not send work.
            QuarantinedError: If the request crashed two upstreams.
            UnavailableError: If the canary cannot be sent, or if upstreams may have
                crashed although no instance observed it.
        """
        while True:
            check_quarantine(self._view, self._fingerprint)
            if self._has_passed():
                return None
            event = self._fingerprint_table.canary_end_event(self._fingerprint)
            if event is None:
                break
            await event.wait()
        self._fingerprint_table.begin_canary(self._fingerprint)
        try:
            return await self._try_candidates(keys)
        finally:
            self._fingerprint_table.end_canary(self._fingerprint)

    def _has_passed(self) -> bool:
        first_crashed = self._view.suspects.get(self._fingerprint)
        return self._fingerprint_table.has_passed_canary(
            self._fingerprint, self._snapshot
        ) and (
            first_crashed is None
            or self._fingerprint_table.was_answered_after_crash(
                self._fingerprint, first_crashed
            )
        )

    async def _try_candidates(self, keys: Sequence[ShardKey]) -> CanaryOutcome | None:
        while True:
            check_quarantine(self._view, self._fingerprint)
            check_lease(self._view, self._search_context.configuration)
            crashed = self._crashed_upstreams()
            if len(crashed) >= _MAX_CRASHED_UPSTREAMS:
                raise make_quarantined_error(self._fingerprint)
            if len(crashed | self._possibly_crashed) >= _MAX_CRASHED_UPSTREAMS:
                raise UnavailableError(
                    f"request {self._fingerprint} may have broken "
                    f"{', '.join(sorted(crashed | self._possibly_crashed))}; "
                    "try again later",
                    run_state=RunState.RAN if crashed else RunState.UNKNOWN,
                )
            candidates = self._remaining_candidates(keys, crashed)
            if not candidates:
                if not await self._start_next_round(keys, crashed):
                    return None
                continue
            canary_outcome = await self._send_to_candidates(
                candidates, is_suspect=bool(crashed)
            )
            if canary_outcome is not None:
                self._fingerprint_table.record_answered(
                    self._fingerprint, self._snapshot, crashed
                )
                return canary_outcome
            if self._is_snapshot_lost():
                return None
            await self._take_retry_token(candidates[0].key[0])

    def _crashed_upstreams(self) -> set[str]:
        crashed = (
            set(self._fingerprint_table.crashed_upstreams(self._fingerprint))
            | self._reported_crashed
        )
        first_crashed = self._view.suspects.get(self._fingerprint)
        return crashed if first_crashed is None else crashed | {first_crashed}

    def _remaining_candidates(
        self, keys: Sequence[ShardKey], crashed: set[str]
    ) -> list[Candidate]:
        remaining = [
            candidate
            for candidate in list_candidates(
                self._view, self._fingerprint, keys, self._snapshot
            )
            if candidate.upstream not in self._tried | crashed
        ]
        # Upstreams that recently replied from another snapshot are left out if there
        # are others. Until the registry lists their new holdings, each new search would
        # otherwise spend retries on them.
        return [
            candidate
            for candidate in remaining
            if not self._snapshot_selector.has_recent_mismatch(
                candidate.upstream, self._snapshot
            )
        ] or remaining

    async def _start_next_round(
        self, keys: Sequence[ShardKey], crashed: set[str]
    ) -> bool:
        """Wait before all candidates are tried again.

        Returns:
            False if there is no candidate at all.

        Raises:
            UnavailableError: If the request crashed an upstream and no other is left.
        """
        if not self._tried:
            if crashed:
                raise UnavailableError(
                    f"request {self._fingerprint} broke {', '.join(sorted(crashed))} "
                    "and there is no second upstream to try it on; change the request "
                    "or add a replica",
                    run_state=RunState.RAN,
                )
            return False
        await self._clock.sleep(milliseconds(self._retry_delay_ms()))
        self._rounds += 1
        self._tried.clear()
        self._reported_crashed.clear()
        return True

    def _retry_delay_ms(self) -> float:
        delay_ms: float = self._settings.retry_delay_ms * 2 ** min(
            self._rounds, _MAX_DELAY_DOUBLINGS
        )
        return min(delay_ms, self._settings.retry_delay_max_ms)

    async def _take_retry_token(self, service: str) -> None:
        failures = self._search_context.failures
        if len(failures) == 1 and failures[0].run_state is RunState.NOT_RUN:
            # No shard can be answered before the canary passes, so an empty retry
            # budget does not delay the canary if its first attempt did not run.
            return
        while not self._sender.service_budget(service).retry_budget.try_spend():
            await self._clock.sleep(milliseconds(self._settings.retry_delay_ms))

    async def _send_to_candidates(
        self, candidates: Sequence[Candidate], *, is_suspect: bool
    ) -> CanaryOutcome | None:
        outcomes: list[CanaryOutcome] = []
        attempt_ended = anyio.Event()
        async with anyio.create_task_group() as group:

            async def attempt(
                candidate: Candidate, kind: WorkKind, is_hedge: bool = False
            ) -> None:
                self._tried.add(candidate.upstream)
                outcome = await self._sender.send(
                    self._search_context,
                    candidate.key,
                    self._snapshot,
                    candidate.record,
                    kind,
                    is_hedge=is_hedge,
                )
                outcomes.append(CanaryOutcome(candidate.key, outcome))
                attempt_ended.set()
                if outcome.reply is not None:
                    group.cancel_scope.cancel()

            if is_suspect:
                group.start_soon(attempt, candidates[0], WorkKind.SUSPECT)
            else:
                group.start_soon(attempt, candidates[0], WorkKind.CANARY)
                reason = await self._wait_for_second_attempt(candidates, attempt_ended)
                if reason is not None:
                    # Sent as a canary, not as a hedge, because the request has not
                    # passed a canary yet.
                    is_hedge = reason is WorkKind.HEDGE
                    group.start_soon(attempt, candidates[1], WorkKind.CANARY, is_hedge)
        for canary_outcome in outcomes:
            if canary_outcome.outcome.reply is not None:
                return canary_outcome
        for canary_outcome in outcomes:
            self._handle_failure(canary_outcome.outcome, is_suspect=is_suspect)
        return None

    async def _wait_for_second_attempt(
        self, candidates: Sequence[Candidate], attempt_ended: anyio.Event
    ) -> WorkKind | None:
        """Wait until a second attempt is due.

        Returns:
            The kind of work whose budget the attempt uses, or None if the first attempt
            ended or there is no second candidate.
        """
        if len(candidates) < 2:
            return None
        budget = self._sender.service_budget(candidates[0].key[0])
        wait_ms = budget.hedge_delay_ms
        overdue_at_ms = self._clock.monotonic_ms() + budget.overdue_ms
        is_first_try = True
        while True:
            with anyio.move_on_after(wait_ms / 1000):
                await attempt_ended.wait()
            if attempt_ended.is_set():
                return None
            if self._sender.hedge_budget.try_spend(is_first_try=is_first_try):
                return WorkKind.HEDGE
            is_overdue = self._clock.monotonic_ms() >= overdue_at_ms
            if is_overdue and budget.retry_budget.try_spend():
                return WorkKind.RETRY
            is_first_try = False
            wait_ms = self._settings.min_hedge_delay_ms

    def _handle_failure(self, outcome: Outcome, *, is_suspect: bool) -> None:
        error = outcome.error
        if error is None:
            return
        if isinstance(error, QuarantinedError):
            raise error
        if isinstance(error, SuspectError):
            self._reported_crashed.add(error.first_upstream)
            if is_suspect:
                # Another instance has claimed the only trial run. Attempts at further
                # upstreams would fail because of the same claim, so no upstream is
                # tried before the next round.
                self._tried.update(self._view.upstreams)
        elif outcome.kind is UpstreamErrorKind.RESET:
            _log.warning(
                "event=canary_broke_upstream fingerprint=%s upstream=%s suspect=%s",
                self._fingerprint,
                outcome.upstream,
                is_suspect,
            )
            self._fingerprint_table.record_crash(self._fingerprint, outcome.upstream)
        elif error.run_state is not RunState.NOT_RUN and is_suspect:
            raise UnavailableError(
                f"the single trial of suspect request {self._fingerprint} on "
                f"{outcome.upstream} ended without a reply; try again later",
                run_state=error.run_state,
            )
        elif error.run_state is not RunState.NOT_RUN and isinstance(
            error, UnavailableError
        ):
            # The instance that owns the upstream was lost with the request. The
            # upstream may have crashed although no instance observed it.
            self._possibly_crashed.add(outcome.upstream)
