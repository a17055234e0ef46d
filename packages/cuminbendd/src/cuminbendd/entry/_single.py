"""A request that one upstream answers."""

import asyncio
import logging
from http import HTTPStatus

from cuminbend.forwarding import AttemptCounts, Route

from cuminbendd.entry._attempts import Attempt, Outcome
from cuminbendd.entry._forwarding import (
    ForwardingContext,
    end_to_end,
    rejection,
)
from cuminbendd.entry._pool import ConnectionPool
from cuminbendd.http1 import HttpRequest, HttpResponse, Responder, UpstreamResponse

logger = logging.getLogger(__name__)

# The answer at the deadline leaves this long before it, so that it still counts.
_DEADLINE_MARGIN_MS = 15.0


class SingleRequest:
    """Forwards one request, and again to another upstream where that is allowed."""

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
        self._state = context.state_of(route)
        self._prepared = context.prepare(request, route)
        self._loop = asyncio.get_running_loop()
        self._tried: list[str] = []
        self._open: list[Attempt] = []
        self._counts = AttemptCounts()
        self._hedges = 0
        self._is_answered = False
        self._last_error: UpstreamResponse | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline: asyncio.TimerHandle | None = None
        assert self._state.weights is not None
        self._service = self._state.weights.next_service()

    @property
    def _request_id(self) -> str:
        return self._prepared.request_id.decode("latin-1")

    def start(self) -> None:
        """Send the first attempt."""
        context = self._context
        context.retries.record_request(self._service)
        self._responder.on_abandoned = self._on_abandoned
        pool = self._choose()
        if pool is None:
            self._reject("no_upstream")
            return
        self._send(pool)
        left_ms = self._prepared.deadline_ms - context.clock.monotonic_ms()
        self._deadline = self._loop.call_later(
            max(0.0, left_ms - _DEADLINE_MARGIN_MS) / 1000, self._on_deadline
        )
        if self._route.idempotent and self._route.max_attempts > 1:
            delay_ms = self._state.hedging.delay_ms
            self._timer = self._loop.call_later(delay_ms / 1000, self._on_hedge_delay)

    # Attempts

    def _choose(self) -> ConnectionPool | None:
        """Return where the next attempt goes; a hedge only where it starts at once."""
        return self._context.upstreams.choose(
            self._service, excluded=self._tried, only_free=bool(self._open)
        )

    def _send(self, pool: ConnectionPool) -> None:
        context = self._context
        attempt = Attempt(
            directory=context.upstreams,
            pool=pool,
            request_id=self._prepared.request_id,
            is_idempotent=self._route.idempotent,
            hedging=self._state.hedging,
            deadline_ms=self._prepared.deadline_ms,
            encode=self._encode,
            on_done=self._on_attempt_done,
        )
        self._tried.append(pool.replica.upstream)
        self._open.append(attempt)
        attempt.start()

    def _send_again(self) -> bool:
        """Send another attempt if it is allowed and there is an upstream for it.

        The upstream is chosen last, because the choice of a cold one uses up its rate.
        """
        if not self._counts.allows_another_attempt(
            running_count=len(self._open),
            max_attempts=self._route.max_attempts,
            is_idempotent=self._route.idempotent,
        ):
            return False
        retries = self._context.retries
        if not retries.has_token(self._service):
            return False
        pool = self._choose()
        if pool is None:
            return False
        retries.try_spend(self._service)
        self._send(pool)
        return True

    def _encode(self, attempt: Attempt) -> bytes | None:
        if self._is_answered:
            return None
        now_ms = self._context.clock.monotonic_ms()
        return self._prepared.encode(attempt, now_ms)

    def _on_hedge_delay(self) -> None:
        if self._is_answered:
            return
        for attempt in self._open:
            attempt.mark_overdue()
        if self._send_again():
            self._hedges += 1
            self._context.metrics.count("hedge")
            logger.info(
                "event=hedged request=%s service=%s delay_ms=%.1f",
                self._request_id,
                self._service,
                self._state.hedging.delay_ms,
            )

    def _on_attempt_done(
        self, attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
    ) -> None:
        self._open.remove(attempt)
        if outcome is Outcome.NOT_RUN:
            self._counts.rejected_count += 1
        else:
            self._counts.possibly_run_count += 1
        if self._is_answered:
            return
        if outcome is Outcome.ANSWERED and response is not None:
            self._pass_on(attempt, response)
            return
        if outcome is Outcome.ERROR:
            self._last_error = response
        if self._send_again():
            return
        if not self._open:
            self._fail(outcome)

    # Answers

    def _pass_on(self, attempt: Attempt, response: UpstreamResponse) -> None:
        header_names = self._context.header_names
        is_success = response.status // 100 == HTTPStatus.OK // 100
        if is_success and response.header(header_names.stamp) is None:
            self._answer(HttpResponse(HTTPStatus.BAD_GATEWAY, []), "unsigned", attempt)
            return
        headers = end_to_end(response.headers, dropped=(header_names.load,))
        self._answer(
            HttpResponse(response.status, headers, response.body), "answered", attempt
        )

    def _fail(self, outcome: Outcome) -> None:
        """Answer once no attempt is left that could succeed."""
        if self._last_error is not None:
            error = self._last_error
            headers = end_to_end(
                error.headers, dropped=(self._context.header_names.load,)
            )
            self._answer(HttpResponse(error.status, headers, error.body), "error")
        elif self._counts.possibly_run_count:
            self._answer(HttpResponse(HTTPStatus.BAD_GATEWAY, []), "lost")
        else:
            self._reject(str(outcome))

    def _reject(self, cause: str) -> None:
        (capacity_wait_ms,) = self._context.upstreams.ready_in_ms(
            [self._service], service_ms=self._state.hedging.service_ms
        )
        response = rejection(
            capacity_wait_ms=capacity_wait_ms, priority=self._route.priority
        )
        self._answer(response, f"rejected_{cause}")

    def _on_deadline(self) -> None:
        if self._is_answered:
            return
        self._end()
        if not self._counts.possibly_run_count and not self._open:
            self._reject("deadline")
        else:
            self._answer(HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, []), "timeout")

    def _answer(
        self, response: HttpResponse, cause: str, attempt: Attempt | None = None
    ) -> None:
        self._end()
        self._responder.respond(response)
        duration_ms = self._context.clock.monotonic_ms() - self._received_ms
        self._context.metrics.request_ended(
            route=self._route.name, outcome=cause, duration_ms=duration_ms
        )
        logger.info(
            "event=request_ended request=%s route=%s outcome=%s status=%d "
            "duration_ms=%.1f service=%s upstream=%s hedges=%d tried=%s version=%d",
            self._request_id,
            self._route.name,
            cause,
            response.status,
            duration_ms,
            self._service,
            attempt.replica.upstream if attempt else "",
            self._hedges,
            ",".join(self._tried),
            self._context.table.version if self._context.table else 0,
        )

    def _on_abandoned(self) -> None:
        """End the work of a caller who has left, if it may be repeated."""
        self._end()
        logger.info(
            "event=request_ended request=%s route=%s outcome=abandoned_by_caller",
            self._request_id,
            self._route.name,
        )
        if self._route.idempotent:
            delay_s = self._context.settings.abandon_after_ms / 1000
            self._loop.call_later(delay_s, self._abandon_attempts)

    def _abandon_attempts(self) -> None:
        for attempt in tuple(self._open):
            attempt.abandon()

    def _end(self) -> None:
        """Send nothing more; an attempt under way runs on and keeps its connection."""
        self._is_answered = True
        for timer in (self._timer, self._deadline):
            if timer is not None:
                timer.cancel()
        for attempt in tuple(self._open):
            attempt.withdraw()
