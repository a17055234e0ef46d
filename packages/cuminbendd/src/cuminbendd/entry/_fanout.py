"""A request that goes to every shard and is answered with the merged records."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from cuminbend.forwarding import Gather, Part, Route

from cuminbendd.entry._attempts import Attempt, Outcome
from cuminbendd.entry._forwarding import (
    ForwardingContext,
    PreparedRequest,
    deadline_of,
    rejection,
)
from cuminbendd.http1 import HttpRequest, HttpResponse, Responder, UpstreamResponse

logger = logging.getLogger(__name__)

# The answer at the deadline leaves this long before it, so that it still counts.
_DEADLINE_MARGIN_MS = 15.0
# Rejections by full upstreams that are tried elsewhere beyond the attempts allowed.
_MAX_REJECTED = 2
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
    may_have_run: int = 0
    rejected: int = 0
    is_in: bool = False


class FanOutRequest:
    """Asks all shards of one configuration, and answers with what is in in time."""

    def __init__(
        self,
        *,
        context: ForwardingContext,
        route: Route,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        self._context = context
        self._route = route
        self._responder = responder
        self._received_ms = request.received_ms
        self._travel_ms = request.travel_ms
        self._hedging = context.state_of(route).hedging
        self._version = context.table.version if context.table else 0
        self._prepared = PreparedRequest(
            request,
            dialect=context.dialect,
            deadline_ms=deadline_of(request, dialect=context.dialect, route=route),
        )
        self._gather = Gather(shards=route.shards, min_coverage=route.min_coverage)
        self._shards = [_Shard(service) for service in route.shards]
        self._loop = asyncio.get_running_loop()
        self._timers: list[asyncio.TimerHandle] = []
        self._objective_passed = False
        self._is_starting = True
        self._is_answered = False
        self._hedges = 0

    @property
    def _request_id(self) -> str:
        return self._prepared.request_id.decode("latin-1")

    def start(self) -> None:
        """Send one attempt to each shard."""
        context = self._context
        self._responder.on_abandoned = self._on_abandoned
        for shard in self._shards:
            context.retries.earn(shard.service)
        served = sum(context.upstreams.has_any(name) for name in self._route.shards)
        if not self._gather.can_succeed(served):
            self._fail("too_few_upstreams")
            return
        for shard in self._shards:
            self._send(shard)
        self._is_starting = False
        self._arm_timers()
        self._answer_if_due()

    def _arm_timers(self) -> None:
        now_ms = self._context.clock.monotonic_ms()
        route, settings = self._route, self._context.settings
        objective_ms = self._received_ms + settings.answer_by_ms(
            route.objective_ms, self._travel_ms
        )
        deadline_ms = self._prepared.deadline_ms - _DEADLINE_MARGIN_MS
        self._call_later(objective_ms - now_ms, self._on_objective)
        self._call_later(deadline_ms - now_ms, self._on_deadline)
        if route.max_attempts > 1:
            self._call_later(self._hedging.delay_ms, self._on_tick)

    def _call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        delay_s = max(0.0, delay_ms) / 1000
        self._timers.append(self._loop.call_later(delay_s, action))

    @property
    def _pending(self) -> int:
        """Shards that are not in and may still come in."""
        return sum(bool(shard.open) and not shard.is_in for shard in self._shards)

    # Attempts

    def _send(self, shard: _Shard) -> bool:
        context = self._context
        pool = context.upstreams.choose(shard.service, excluded=shard.tried)
        if pool is None:
            return False

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
        return True

    def _encode(self, attempt: Attempt) -> bytes | None:
        if self._is_answered:
            return None
        now_ms = self._context.clock.monotonic_ms()
        return self._prepared.encode(attempt, now_ms)

    def _may_send_again(self, shard: _Shard) -> bool:
        """Return whether another attempt is allowed, and book it."""
        if shard.rejected > _MAX_REJECTED:
            return False
        if shard.may_have_run + len(shard.open) >= self._route.max_attempts:
            return False
        # The first arrival at each shard is not extra.
        return not shard.tried or self._context.retries.try_spend(shard.service)

    def _on_tick(self) -> None:
        """Hedge attempts that are overdue, and retry shards that had no upstream."""
        if self._is_answered:
            return
        delay_ms = self._hedging.delay_ms
        now_ms = self._context.clock.monotonic_ms()
        hedged = []
        for shard in self._shards:
            if shard.is_in:
                continue
            overdue = [
                attempt
                for attempt in shard.open
                if now_ms - attempt.started_ms >= delay_ms - 1.0
            ]
            for attempt in overdue:
                attempt.mark_overdue()
            if len(overdue) < len(shard.open):
                continue
            if self._may_send_again(shard) and self._send(shard):
                hedged.append(shard.service)
        if hedged:
            self._hedges += len(hedged)
            logger.info(
                "event=hedged request=%s services=%s delay_ms=%.1f elapsed_ms=%.1f",
                self._request_id,
                ",".join(hedged),
                delay_ms,
                now_ms - self._received_ms,
            )
        if not self._is_answered:
            self._call_later(max(_MIN_TICK_MS, _TICK_SHARE * delay_ms), self._on_tick)

    def _on_attempt_done(
        self,
        shard: _Shard,
        attempt: Attempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        shard.open.remove(attempt)
        if outcome is Outcome.NOT_RUN:
            shard.rejected += 1
        else:
            shard.may_have_run += 1
        if self._is_answered or shard.is_in:
            return
        if response is not None and outcome is Outcome.ANSWERED:
            shard.is_in = self._take_part(shard, response)
        retries = not shard.is_in and not self._objective_passed
        if retries and self._may_send_again(shard):
            self._send(shard)
        if not self._is_starting:
            self._answer_if_due()

    def _take_part(self, shard: _Shard, response: UpstreamResponse) -> bool:
        stamp = response.header(self._context.dialect.stamp)
        if stamp is None or response.status != HTTPStatus.OK:
            logger.warning(
                "event=part_refused request=%s service=%s status=%d signed=%s",
                self._request_id,
                shard.service,
                response.status,
                stamp is not None,
            )
            return False
        return self._gather.add(shard.service, Part(stamp, response.body))

    # Answers

    def _answer_if_due(self) -> None:
        if self._is_answered:
            return
        pending = self._pending
        if self._gather.should_answer(
            pending=pending, objective_passed=self._objective_passed
        ):
            self._succeed()
        elif not self._gather.can_succeed(pending):
            self._fail("too_few_parts")

    def _on_objective(self) -> None:
        self._objective_passed = True
        self._answer_if_due()

    def _on_deadline(self) -> None:
        if not self._is_answered:
            self._fail("timeout")

    def _succeed(self) -> None:
        gather, dialect = self._gather, self._context.dialect
        headers = [(dialect.part_stamps, b", ".join(gather.stamps()))]
        if gather.missing:
            headers.append((dialect.missing_parts, b"%d" % gather.missing))
        body = gather.merged(self._route.top_k)
        self._end()
        self._answer(HttpResponse(HTTPStatus.OK, headers, body), "answered")

    def _fail(self, cause: str) -> None:
        """Answer a failure, as not run if no upstream can have run any part of it."""
        self._end()
        sent = any(shard.may_have_run or shard.open for shard in self._shards)
        if not sent:
            response = rejection(retry_after_ms=self._retry_after_ms(cause))
        elif cause == "timeout":
            response = HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, [])
        else:
            response = HttpResponse(HTTPStatus.BAD_GATEWAY, [])
        self._answer(response, cause)

    def _retry_after_ms(self, cause: str) -> float:
        if cause == "too_few_upstreams":
            return self._context.settings.no_upstream_retry_ms
        return self._hedging.median_ms

    def _answer(self, response: HttpResponse, cause: str) -> None:
        self._responder.respond(response)
        missing = [shard.service for shard in self._shards if not shard.is_in]
        logger.info(
            "event=request_ended request=%s route=%s outcome=%s status=%d "
            "duration_ms=%.1f coverage=%.3f missing=%s hedges=%d version=%d",
            self._request_id,
            self._route.name,
            cause,
            response.status,
            self._context.clock.monotonic_ms() - self._received_ms,
            self._gather.coverage,
            ",".join(missing),
            self._hedges,
            self._version,
        )

    def _end(self) -> None:
        """Send nothing more; attempts under way run on and keep their connections."""
        self._is_answered = True
        for timer in self._timers:
            timer.cancel()
        for shard in self._shards:
            for attempt in tuple(shard.open):
                attempt.withdraw()

    def _on_abandoned(self) -> None:
        logger.info(
            "event=request_ended request=%s route=%s outcome=abandoned_by_caller",
            self._request_id,
            self._route.name,
        )
        self._end()
        delay_s = self._context.settings.abandon_after_ms / 1000
        self._loop.call_later(delay_s, self._abandon_attempts)

    def _abandon_attempts(self) -> None:
        for shard in self._shards:
            for attempt in tuple(shard.open):
                attempt.abandon()
