"""Trial of a search on one shard before it is sent to all.

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
    FingerprintBook,
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

# A request that may have broken this many upstreams is sent to no further one.
_MAX_BROKEN = 2


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that a canary may be sent to, and the shard to ask it for."""

    key: ShardKey
    record: UpstreamRecord

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return self.record.announcement.upstream


@dataclass(frozen=True, slots=True)
class Proof:
    """The reply to a canary."""

    key: ShardKey
    outcome: Outcome


def list_candidates(
    view: ClusterView, fingerprint: str, keys: Sequence[ShardKey], snapshot: Snapshot
) -> list[Candidate]:
    """Return the candidates in the order that every instance follows.

    The order depends on the fingerprint and the holders only, not on what this
    instance observed: instances that try the same request then meet at the same
    owner, which runs equal fingerprints one after the other.
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
    return [Candidate(key, holders[n]) for n in order_upstreams(fingerprint, holders)]


class Canary:
    """The trial of one search."""

    def __init__(
        self,
        *,
        settings: QuerySettings,
        view: ClusterView,
        clock: Clock,
        sender: AttemptSender,
        selector: SnapshotSelector,
        book: FingerprintBook,
        context: SearchContext,
        snapshot: Snapshot,
        reported: Iterable[str],
        is_lost: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._is_lost = is_lost
        self._view = view
        self._clock = clock
        self._sender = sender
        self._selector = selector
        self._book = book
        self._context = context
        self._snapshot = snapshot
        self._fingerprint = context.fingerprint
        # Upstreams that owners say the fingerprint broke.
        self._reported = set(reported)
        # Upstreams whose owner was lost while they may have run the request.
        self._lost: set[str] = set()
        self._tried: set[str] = set()
        self._rounds = 0

    async def prove(self, keys: Sequence[ShardKey]) -> Proof | None:
        """Return once the search is proven, with the reply if it came from here.

        Equal searches in progress at this instance wait for the first one. The search
        stays unproven if no upstream holds the snapshot any more.

        Raises:
            QuarantinedError: If the search broke two upstreams.
            UnavailableError: If it cannot be tried.
        """
        while True:
            check_quarantine(self._view, self._fingerprint)
            if self._is_proven():
                return None
            event = self._book.in_progress(self._fingerprint)
            if event is None:
                break
            await event.wait()
        self._book.begin(self._fingerprint)
        try:
            return await self._try_candidates(keys)
        finally:
            self._book.end(self._fingerprint)

    def _is_proven(self) -> bool:
        first = self._view.suspects.get(self._fingerprint)
        return self._book.is_proven(self._fingerprint, self._snapshot) and (
            first is None or self._book.is_cleared(self._fingerprint, first)
        )

    async def _try_candidates(self, keys: Sequence[ShardKey]) -> Proof | None:
        while True:
            check_quarantine(self._view, self._fingerprint)
            check_lease(self._view, self._context.configuration)
            broken = self._broken()
            if len(broken) >= _MAX_BROKEN:
                raise make_quarantined_error(self._fingerprint)
            if len(broken | self._lost) >= _MAX_BROKEN:
                raise UnavailableError(
                    f"request {self._fingerprint} may have broken "
                    f"{', '.join(sorted(broken | self._lost))}; try again later",
                    run_state=RunState.RAN if broken else RunState.UNKNOWN,
                )
            candidates = self._remaining(keys, broken)
            if not candidates:
                if not await self._start_next_round(keys, broken):
                    return None
                continue
            proof = await self._ask(candidates, suspect=bool(broken))
            if proof is not None:
                self._book.record_answered(self._fingerprint, self._snapshot, broken)
                return proof
            if self._is_lost():
                return None
            await self._take_retry_token(candidates[0].key[0])

    def _broken(self) -> set[str]:
        broken = set(self._book.broken_upstreams(self._fingerprint)) | self._reported
        first = self._view.suspects.get(self._fingerprint)
        return broken if first is None else broken | {first}

    def _remaining(self, keys: Sequence[ShardKey], broken: set[str]) -> list[Candidate]:
        remaining = [
            candidate
            for candidate in list_candidates(
                self._view, self._fingerprint, keys, self._snapshot
            )
            if candidate.upstream not in self._tried | broken
        ]
        # Upstreams that answer from another snapshot by now are passed over. Until the
        # registry says so, each new search would otherwise spend retries on them.
        return [
            candidate
            for candidate in remaining
            if not self._selector.is_doubted(candidate.upstream, self._snapshot)
        ] or remaining

    async def _start_next_round(
        self, keys: Sequence[ShardKey], broken: set[str]
    ) -> bool:
        """Pause before all candidates are tried again; False if there are none."""
        if not self._tried:
            if broken:
                raise UnavailableError(
                    f"request {self._fingerprint} broke {', '.join(sorted(broken))} "
                    "and there is no second upstream to try it on; change the request "
                    "or add a replica",
                    run_state=RunState.RAN,
                )
            return False
        await self._clock.sleep(milliseconds(self._retry_delay_ms()))
        self._rounds += 1
        self._tried.clear()
        self._reported.clear()
        return True

    def _retry_delay_ms(self) -> float:
        delay_ms: float = self._settings.retry_delay_ms * 2 ** min(self._rounds, 16)
        return min(delay_ms, self._settings.retry_delay_max_ms)

    async def _take_retry_token(self, service: str) -> None:
        failures = self._context.failures
        if len(failures) == 1 and failures[0].run_state is RunState.NOT_RUN:
            # Nothing at all is answered without the canary, so an empty budget does
            # not hold it up after a first refusal.
            return
        while not self._sender.service(service).retries.try_spend():
            await self._clock.sleep(milliseconds(self._settings.retry_delay_ms))

    async def _ask(
        self, candidates: Sequence[Candidate], *, suspect: bool
    ) -> Proof | None:
        outcomes: list[Proof] = []
        ended = anyio.Event()
        async with anyio.create_task_group() as group:

            async def attempt(
                candidate: Candidate, kind: WorkKind, is_hedge: bool = False
            ) -> None:
                self._tried.add(candidate.upstream)
                outcome = await self._sender.send(
                    self._context,
                    candidate.key,
                    self._snapshot,
                    candidate.record,
                    kind,
                    is_hedge=is_hedge,
                )
                outcomes.append(Proof(candidate.key, outcome))
                ended.set()
                if outcome.reply is not None:
                    group.cancel_scope.cancel()

            if suspect:
                group.start_soon(attempt, candidates[0], WorkKind.SUSPECT)
            else:
                group.start_soon(attempt, candidates[0], WorkKind.CANARY)
                reason = await self._wait_for_second(candidates, ended)
                if reason is not None:
                    # Not sent as a hedge, because it is as unproven as the first.
                    is_hedge = reason is WorkKind.HEDGE
                    group.start_soon(attempt, candidates[1], WorkKind.CANARY, is_hedge)
        for proof in outcomes:
            if proof.outcome.reply is not None:
                return proof
        for proof in outcomes:
            self._judge_failure(proof.outcome, suspect=suspect)
        return None

    async def _wait_for_second(
        self, candidates: Sequence[Candidate], ended: anyio.Event
    ) -> WorkKind | None:
        """Return which budget pays for a second attempt, or None if none is due."""
        if len(candidates) < 2:
            return None
        service = self._sender.service(candidates[0].key[0])
        wait_ms = service.hedge_delay_ms
        overdue_at_ms = self._clock.monotonic_ms() + service.overdue_ms
        is_first_try = True
        while True:
            with anyio.move_on_after(wait_ms / 1000):
                await ended.wait()
            if ended.is_set():
                return None
            if self._sender.hedges.try_spend(is_first_try=is_first_try):
                return WorkKind.HEDGE
            is_overdue = self._clock.monotonic_ms() >= overdue_at_ms
            if is_overdue and service.retries.try_spend():
                return WorkKind.RETRY
            is_first_try = False
            wait_ms = self._settings.hedge_floor_ms

    def _judge_failure(self, outcome: Outcome, *, suspect: bool) -> None:
        error = outcome.error
        if error is None:
            return
        if isinstance(error, QuarantinedError):
            raise error
        if isinstance(error, SuspectError):
            self._reported.add(error.first_upstream)
            if suspect:
                # Another instance has the single run. Trying further upstreams would
                # only repeat the claim, so all wait for the next round.
                self._tried.update(self._view.upstreams)
        elif outcome.kind is UpstreamErrorKind.RESET:
            _log.warning(
                "event=canary_broke_upstream fingerprint=%s upstream=%s suspect=%s",
                self._fingerprint,
                outcome.upstream,
                suspect,
            )
            self._book.record_broken(self._fingerprint, outcome.upstream)
        elif error.run_state is not RunState.NOT_RUN and suspect:
            raise UnavailableError(
                f"the single trial of suspect request {self._fingerprint} on "
                f"{outcome.upstream} ended without a reply; try again later",
                run_state=error.run_state,
            )
        elif error.run_state is not RunState.NOT_RUN and isinstance(
            error, UnavailableError
        ):
            # The instance that owns the upstream was lost with the request. The
            # upstream may be broken although nobody saw it break.
            self._lost.add(outcome.upstream)
