"""Attempts at the shards that one instance asks itself."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from cuminbend.forwarding import AttemptCounts, HedgeDelay, ShardPart

from cuminbendd.entry._attempts import Attempt, Outcome
from cuminbendd.entry._forwarding import ForwardingContext, PreparedRequest
from cuminbendd.entry._pool import ConnectionPool
from cuminbendd.http1 import UpstreamResponse

logger = logging.getLogger(__name__)

# Attempts sent after the first round are looked at again after this share of the
# hedge delay.
_TICK_SHARE = 0.5
_MIN_TICK_MS = 3.0


@dataclass(slots=True)
class _Shard:
    """Attempts for one shard of the request."""

    service: str
    tried: list[str] = field(default_factory=list)
    open: list[Attempt] = field(default_factory=list)
    counts: AttemptCounts = field(default_factory=AttemptCounts)
    is_in: bool = False


class ShardFanOut:
    """Asks shards, hedges what is overdue, and retries what failed.

    Args:
        context: Upstreams and budgets of the instance.
        prepared: The request.
        hedging: Hedge delay of its route.
        max_attempts: Upstreams that one shard may be sent to.
        retry_until_ms: Monotonic time after which no attempt is worth sending.
        on_part: Takes a part; returns False if it does not count.
        on_progress: Called after each change of what is pending.
        again_from_ms: Monotonic time before which no shard gets a second attempt.
    """

    def __init__(
        self,
        *,
        context: ForwardingContext,
        prepared: PreparedRequest,
        hedging: HedgeDelay,
        max_attempts: int,
        retry_until_ms: float,
        on_part: Callable[[str, ShardPart], bool],
        on_progress: Callable[[], None],
        again_from_ms: float = 0.0,
    ) -> None:
        self._context = context
        self._again_from_ms = again_from_ms
        self._prepared = prepared
        self._hedging = hedging
        self._max_attempts = max_attempts
        self._retry_until_ms = retry_until_ms
        self._on_part = on_part
        self._on_progress = on_progress
        self._shards: list[_Shard] = []
        self._loop = asyncio.get_running_loop()
        self._tick: asyncio.TimerHandle | None = None
        self._is_starting = False
        self._is_ended = False
        self.retries = True
        self.hedges = 0

    def start(self, services: tuple[str, ...]) -> None:
        """Send one attempt to each of these shards, in addition to earlier ones."""
        shards = [_Shard(service) for service in services]
        self._shards += shards
        self._is_starting = True
        for shard in shards:
            self._context.retries.record_request(shard.service)
            pool = self._choose(shard)
            if pool is not None:
                self._send(shard, pool)
        self._is_starting = False
        if self._max_attempts > 1 and self._tick is None:
            self._schedule_tick(self._hedging.delay_ms)

    @property
    def pending(self) -> int:
        """Shards that are not in and may still come in."""
        return sum(
            not shard.is_in and (bool(shard.open) or self._may_recover(shard))
            for shard in self._shards
        )

    def _may_recover(self, shard: _Shard) -> bool:
        """Return whether a shard without an attempt can get another one in time."""
        if not self.retries or self._is_ended:
            return False
        if not shard.counts.allows_another_attempt(
            running_count=0, max_attempts=self._max_attempts
        ):
            return False
        return self._context.upstreams.has_warm_replica_by(
            shard.service, by_ms=self._retry_until_ms, excluded=shard.tried
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may run it now."""
        return any(
            shard.counts.possibly_run_count or shard.open for shard in self._shards
        )

    def missing(self) -> list[str]:
        """Return the shards that are not in, each with the upstreams it was sent to."""
        return [
            f"{shard.service}@{'+'.join(shard.tried) or 'none'}"
            for shard in self._shards
            if not shard.is_in
        ]

    def end(self) -> None:
        """Send nothing more; attempts under way run on and keep their connections."""
        self._is_ended = True
        if self._tick is not None:
            self._tick.cancel()
        for shard in self._shards:
            for attempt in tuple(shard.open):
                attempt.withdraw()

    def abandon(self) -> None:
        """End the attempts under way."""
        for shard in self._shards:
            for attempt in tuple(shard.open):
                attempt.abandon()

    # Attempts

    def _choose(self, shard: _Shard) -> ConnectionPool | None:
        """Return where the next attempt goes; a hedge only where it starts at once.

        When all replicas are busy, the first attempt waits in a queue and is not lost.
        A second one would only make every queue longer.
        """
        return self._context.upstreams.choose(
            shard.service, excluded=shard.tried, only_free=bool(shard.open)
        )

    def _send(self, shard: _Shard, pool: ConnectionPool) -> None:
        context = self._context

        def on_done(
            attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
        ) -> None:
            self._on_attempt_done(shard, attempt, outcome, response)

        attempt = Attempt(
            directory=context.upstreams,
            pool=pool,
            request_id=self._prepared.request_id,
            is_idempotent=True,
            hedging=self._hedging,
            deadline_ms=self._prepared.deadline_ms,
            encode=self._encode,
            on_done=on_done,
        )
        shard.tried.append(pool.replica.upstream)
        shard.open.append(attempt)
        attempt.start()

    def _encode(self, attempt: Attempt) -> bytes | None:
        if self._is_ended:
            return None
        return self._prepared.encode(attempt, self._context.clock.monotonic_ms())

    def _send_again(self, shard: _Shard) -> bool:
        """Send another attempt if it is allowed and there is an upstream for it.

        The upstream is chosen last, because the choice of a cold one uses up its rate.
        """
        running_count = len(shard.open)
        if not shard.counts.allows_another_attempt(
            running_count=running_count, max_attempts=self._max_attempts
        ):
            return False
        if self._context.clock.monotonic_ms() < self._again_from_ms:
            return False
        # The first arrival at each shard is not extra.
        retries, is_extra = (
            self._context.retries,
            shard.counts.is_extra_attempt(running_count=running_count),
        )
        if is_extra and not retries.has_token(shard.service):
            return False
        pool = self._choose(shard)
        if pool is None:
            return False
        if is_extra:
            retries.try_spend(shard.service)
        self._send(shard, pool)
        return True

    def _schedule_tick(self, delay_ms: float) -> None:
        self._tick = self._loop.call_later(delay_ms / 1000, self._on_tick)

    def _on_tick(self) -> None:
        """Hedge attempts that are overdue, and retry shards that had no upstream."""
        if self._is_ended:
            return
        delay_ms = self._hedging.delay_ms
        now_ms = self._context.clock.monotonic_ms()
        hedged = [
            shard.service
            for shard in self._shards
            if not shard.is_in and self._hedge(shard, now_ms, delay_ms)
        ]
        if hedged:
            self.hedges += len(hedged)
            self._context.metrics.count("hedge", len(hedged))
            logger.info(
                "event=hedged request=%s services=%s delay_ms=%.1f",
                self._prepared.request_id.decode("latin-1"),
                ",".join(hedged),
                delay_ms,
            )
        if not self._is_ended:
            self._schedule_tick(max(_MIN_TICK_MS, _TICK_SHARE * delay_ms))

    def _hedge(self, shard: _Shard, now_ms: float, delay_ms: float) -> bool:
        overdue = 0
        for attempt in shard.open:
            if now_ms - attempt.started_ms >= delay_ms - 1.0:
                attempt.mark_overdue()
                overdue += 1
        if overdue < len(shard.open):
            return False
        return self._send_again(shard)

    def _on_attempt_done(
        self,
        shard: _Shard,
        attempt: Attempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        shard.open.remove(attempt)
        if outcome is Outcome.NOT_RUN:
            shard.counts.rejected_count += 1
            # It did not run there, so it may be sent there again after a pause.
            shard.tried.remove(attempt.replica.upstream)
        else:
            shard.counts.possibly_run_count += 1
        if self._is_ended or shard.is_in:
            return
        if response is not None and outcome is Outcome.ANSWERED:
            shard.is_in = self._take_part(shard, response)
        if not shard.is_in and self.retries:
            self._send_again(shard)
        if not self._is_starting:
            self._on_progress()

    def _take_part(self, shard: _Shard, response: UpstreamResponse) -> bool:
        stamp = response.header(self._context.header_names.stamp)
        if stamp is None or response.status != HTTPStatus.OK:
            logger.warning(
                "event=part_refused request=%s service=%s status=%d signed=%s",
                self._prepared.request_id.decode("latin-1"),
                shard.service,
                response.status,
                stamp is not None,
            )
            return False
        return self._on_part(shard.service, ShardPart(stamp, response.body))
