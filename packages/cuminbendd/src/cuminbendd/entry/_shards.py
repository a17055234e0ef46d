"""Attempts at the shards that this instance queries itself."""

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

# After the first hedge delay, attempts are checked at intervals of this share of the
# hedge delay, or at the minimum interval if that is longer.
_CHECK_INTERVAL_SHARE = 0.5
_MIN_CHECK_INTERVAL_MS = 3.0
# An attempt counts as overdue this long before it has waited for the hedge delay.
_OVERDUE_TOLERANCE_MS = 1.0


@dataclass(slots=True)
class _Shard:
    """Attempts for one shard of the request.

    Attributes:
        service: Name of the shard's service.
        tried_upstreams: Upstreams that may have run the request or may run it now.
        open_attempts: Attempts that have not ended.
        has_part: Whether a part of the shard was accepted.
        no_attempt_cause: Why the last request for another attempt was denied:
            ``attempts`` (all that are allowed are used), ``early``, ``budget`` (no
            token), ``suspect`` (the request may have crashed upstreams) or ``upstream``
            (none takes work); empty after an attempt.
    """

    service: str
    tried_upstreams: list[str] = field(default_factory=list)
    open_attempts: list[Attempt] = field(default_factory=list)
    counts: AttemptCounts = field(default_factory=AttemptCounts)
    has_part: bool = False
    no_attempt_cause: str = ""


class ShardFanOut:
    """Queries shards, hedges overdue attempts and retries failed ones.

    Args:
        context: Upstreams and budgets of the instance.
        prepared: The request to send.
        hedging: Hedge delay of its route.
        max_attempts: Number of attempts that may run for one shard.
        retry_until_ms: Monotonic time after which an attempt would be too late.
        on_part: Called with the shard and its part; returns False to reject the part.
        on_progress: Called after an attempt has ended.
        second_attempt_from_ms: Monotonic time before which no shard gets a second
            attempt.

    Attributes:
        allows_retries: Whether failed attempts are retried; overdue ones are hedged
            in any case.
        hedge_count: Number of hedges sent.
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
        second_attempt_from_ms: float = 0.0,
    ) -> None:
        self._context = context
        self._second_attempt_from_ms = second_attempt_from_ms
        self._prepared = prepared
        self._hedging = hedging
        self._max_attempts = max_attempts
        self._retry_until_ms = retry_until_ms
        self._on_part = on_part
        self._on_progress = on_progress
        self._shards: list[_Shard] = []
        self._loop = asyncio.get_running_loop()
        self._check_timer: asyncio.TimerHandle | None = None
        self._is_starting = False
        self._is_ended = False
        self.allows_retries = True
        self.hedge_count = 0

    def start(self, services: tuple[str, ...]) -> None:
        """Add these shards and send one attempt to each of them."""
        shards = [_Shard(service) for service in services]
        self._shards += shards
        self._is_starting = True
        for shard in shards:
            self._context.retry_budgets.record_request(shard.service)
            pool = self._choose_pool(shard)
            if pool is not None:
                self._send_attempt(shard, pool)
            else:
                shard.no_attempt_cause = "upstream"
        self._is_starting = False
        if self._max_attempts > 1 and self._check_timer is None:
            self._schedule_check(self._hedging.delay_ms)

    @property
    def pending_count(self) -> int:
        """Number of shards whose part is missing but may still arrive."""
        return sum(
            not shard.has_part
            and (bool(shard.open_attempts) or self._may_recover(shard))
            for shard in self._shards
        )

    def _may_recover(self, shard: _Shard) -> bool:
        """Return whether a shard without open attempts can get one in time."""
        if not self.allows_retries or self._is_ended:
            return False
        if not shard.counts.allows_another_attempt(
            running_count=0, max_attempts=self._max_attempts
        ):
            return False
        if not self._has_open_attempts and not self._allows_another_attempt:
            return False
        return self._context.upstreams.has_warm_replica_by(
            shard.service, by_ms=self._retry_until_ms, excluded=shard.tried_upstreams
        )

    @property
    def _has_open_attempts(self) -> bool:
        return any(shard.open_attempts for shard in self._shards)

    @property
    def _allows_another_attempt(self) -> bool:
        """Whether the crashes of the request allow attempts after the first ones."""
        return self._context.allows_another_attempt(
            self._prepared, has_open_attempts=self._has_open_attempts
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may run it now."""
        return any(
            shard.counts.possibly_run_count or shard.open_attempts
            for shard in self._shards
        )

    def missing_shards(self) -> list[str]:
        """Return the shards without a part, each with the upstreams that were tried.

        The form is ``service@upstream+upstream``, or ``service@none``, followed by a
        colon and the cause if another attempt was denied.
        """
        return [
            f"{shard.service}@{'+'.join(shard.tried_upstreams) or 'none'}"
            + (f":{shard.no_attempt_cause}" if shard.no_attempt_cause else "")
            for shard in self._shards
            if not shard.has_part
        ]

    def stop_sending(self) -> None:
        """Send no more attempts; those in flight run on and keep their connections."""
        self._is_ended = True
        if self._check_timer is not None:
            self._check_timer.cancel()
        for shard in self._shards:
            for attempt in tuple(shard.open_attempts):
                attempt.cancel_if_unsent()

    def abandon_attempts(self) -> None:
        """Abandon all open attempts."""
        for shard in self._shards:
            for attempt in tuple(shard.open_attempts):
                attempt.abandon()

    # Attempts

    def _choose_pool(self, shard: _Shard) -> ConnectionPool | None:
        """Return the pool for the next attempt, or None if there is none.

        A hedge is sent only to an upstream that starts it at once. When all replicas
        are busy, the first attempt waits in a queue and is not lost. A second attempt
        would only lengthen the queues.
        """
        return self._context.upstreams.choose_pool(
            shard.service,
            excluded=shard.tried_upstreams,
            only_free=bool(shard.open_attempts),
        )

    def _send_attempt(self, shard: _Shard, pool: ConnectionPool) -> None:
        context = self._context

        def on_done(
            attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
        ) -> None:
            self._on_attempt_done(shard, attempt, outcome, response)

        attempt = Attempt(
            directory=context.upstreams,
            pool=pool,
            request=self._prepared,
            is_idempotent=True,
            hedging=self._hedging,
            encode=self._encode,
            on_done=on_done,
        )
        shard.tried_upstreams.append(pool.replica.upstream)
        shard.open_attempts.append(attempt)
        shard.no_attempt_cause = ""
        attempt.start()

    def _encode(self, attempt: Attempt) -> bytes | None:
        if self._is_ended or self._context.is_quarantined(self._prepared):
            return None
        return self._prepared.encode(attempt, self._context.clock.monotonic_ms())

    def _send_another_attempt(self, shard: _Shard) -> bool:
        """Send another attempt if possible; return whether it was sent.

        The upstream is chosen last, because the choice of a cold upstream counts
        against its rate limit.
        """
        running_count = len(shard.open_attempts)
        if not shard.counts.allows_another_attempt(
            running_count=running_count, max_attempts=self._max_attempts
        ):
            shard.no_attempt_cause = "attempts"
            return False
        if self._context.clock.monotonic_ms() < self._second_attempt_from_ms:
            shard.no_attempt_cause = "early"
            return False
        if not self._allows_another_attempt:
            shard.no_attempt_cause = "suspect"
            return False
        # The first attempt at a shard is not an extra one and needs no token.
        retry_budgets, is_extra = (
            self._context.retry_budgets,
            shard.counts.is_extra_attempt(running_count=running_count),
        )
        if is_extra and not retry_budgets.has_token(shard.service):
            shard.no_attempt_cause = "budget"
            return False
        pool = self._choose_pool(shard)
        if pool is None:
            shard.no_attempt_cause = "upstream"
            return False
        if is_extra:
            retry_budgets.try_spend(shard.service)
        self._send_attempt(shard, pool)
        return True

    def _schedule_check(self, delay_ms: float) -> None:
        self._check_timer = self._loop.call_later(delay_ms / 1000, self._check_attempts)

    def _check_attempts(self) -> None:
        """Hedge overdue attempts, and retry shards without an open attempt."""
        if self._is_ended:
            return
        delay_ms = self._hedging.delay_ms
        now_ms = self._context.clock.monotonic_ms()
        hedged_services = [
            shard.service
            for shard in self._shards
            if not shard.has_part and self._hedge_if_overdue(shard, now_ms, delay_ms)
        ]
        if hedged_services:
            self.hedge_count += len(hedged_services)
            self._context.metrics.count_events("hedge", len(hedged_services))
            logger.info(
                "event=hedged request=%s services=%s delay_ms=%.1f",
                self._prepared.request_id.decode("latin-1"),
                ",".join(hedged_services),
                delay_ms,
            )
        if not self._is_ended:
            self._schedule_check(
                max(_MIN_CHECK_INTERVAL_MS, _CHECK_INTERVAL_SHARE * delay_ms)
            )

    def _hedge_if_overdue(self, shard: _Shard, now_ms: float, delay_ms: float) -> bool:
        """Send another attempt if all open ones are overdue or there is none.

        Returns:
            Whether an attempt was sent.
        """
        overdue_count = 0
        for attempt in shard.open_attempts:
            if now_ms - attempt.started_ms >= delay_ms - _OVERDUE_TOLERANCE_MS:
                attempt.mark_overdue()
                overdue_count += 1
        if overdue_count < len(shard.open_attempts):
            return False
        return self._send_another_attempt(shard)

    def _on_attempt_done(
        self,
        shard: _Shard,
        attempt: Attempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        shard.open_attempts.remove(attempt)
        if outcome is Outcome.NOT_RUN:
            shard.counts.rejected_count += 1
            # The request did not run there, so the upstream may get it again after a
            # pause.
            shard.tried_upstreams.remove(attempt.replica.upstream)
        else:
            shard.counts.possibly_run_count += 1
        if self._is_ended or shard.has_part:
            return
        if response is not None and outcome is Outcome.ANSWERED:
            shard.has_part = self._accept_part(shard, response)
        if not shard.has_part and self.allows_retries:
            self._send_another_attempt(shard)
        elif shard.has_part:
            self._resume_suspect_shards()
        if not self._is_starting:
            self._on_progress()

    def _resume_suspect_shards(self) -> None:
        """Send the attempts that were denied before a part showed that they may go."""
        if not self.allows_retries:
            return
        for shard in self._shards:
            if shard.no_attempt_cause == "suspect" and not shard.open_attempts:
                self._send_another_attempt(shard)

    def _accept_part(self, shard: _Shard, response: UpstreamResponse) -> bool:
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
