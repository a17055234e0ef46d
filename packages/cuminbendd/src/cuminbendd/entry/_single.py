"""A request that is forwarded to one service and answered by one upstream."""

import asyncio
import logging
from http import HTTPStatus

from cuminbend.crashes import Verdict
from cuminbend.forwarding import AttemptCounts, Route

from cuminbendd.entry._attempts import Attempt, Outcome
from cuminbendd.entry._forwarding import (
    ForwardingContext,
    end_to_end_headers,
    rejection_response,
)
from cuminbendd.entry._pool import ConnectionPool
from cuminbendd.http1 import HttpRequest, HttpResponse, Responder, UpstreamResponse

logger = logging.getLogger(__name__)

# A request without an answer is answered with a failure this long before its deadline,
# so that the answer arrives in time.
_DEADLINE_MARGIN_MS = 15.0


class SingleRequest:
    """Forwards a request to one upstream, and to another one if a retry is allowed."""

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
        self._version = context.table.version if context.table else 0
        self._state = context.route_state(route)
        self._prepared = context.prepare_request(request, route)
        self._loop = asyncio.get_running_loop()
        self._tried_upstreams: list[str] = []
        self._open_attempts: list[Attempt] = []
        self._counts = AttemptCounts()
        self._hedge_count = 0
        self._is_answered = False
        self._last_error: UpstreamResponse | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None
        assert self._state.weights is not None
        self._service = self._state.weights.next_service()

    @property
    def _request_id(self) -> str:
        return self._prepared.request_id.decode("latin-1")

    def start(self) -> None:
        """Send the first attempt."""
        context = self._context
        context.retry_budgets.record_request(self._service)
        self._responder.on_abandoned = self._on_caller_left
        if context.admit_suspect(self._prepared) is Verdict.QUARANTINED:
            self._reject(context.quarantine_left_ms(self._prepared), "quarantined")
            return
        pool = self._choose_pool()
        if pool is None:
            self._answer_rejection("no_upstream")
            return
        self._send_attempt(pool)
        left_ms = self._prepared.deadline_ms - context.clock.monotonic_ms()
        self._deadline_timer = self._loop.call_later(
            max(0.0, left_ms - _DEADLINE_MARGIN_MS) / 1000, self._on_deadline
        )
        if self._route.idempotent and self._route.max_attempts > 1:
            delay_ms = self._state.hedging.delay_ms
            self._hedge_timer = self._loop.call_later(
                delay_ms / 1000, self._on_hedge_delay
            )

    # Attempts

    def _choose_pool(self) -> ConnectionPool | None:
        """Return the pool for the next attempt, or None if there is none.

        A hedge is sent only to an upstream that starts it at once.
        """
        return self._context.upstreams.choose_pool(
            self._service,
            excluded=self._tried_upstreams,
            only_free=bool(self._open_attempts),
        )

    def _send_attempt(self, pool: ConnectionPool) -> None:
        context = self._context
        attempt = Attempt(
            directory=context.upstreams,
            pool=pool,
            request=self._prepared,
            is_idempotent=self._route.idempotent,
            hedging=self._state.hedging,
            encode=self._encode,
            on_done=self._on_attempt_done,
        )
        self._tried_upstreams.append(pool.replica.upstream)
        self._open_attempts.append(attempt)
        attempt.start()

    def _send_another_attempt(self) -> bool:
        """Send another attempt if possible; return whether it was sent.

        The upstream is chosen last, because the choice of a cold upstream counts
        against its rate limit.
        """
        if not self._counts.allows_another_attempt(
            running_count=len(self._open_attempts),
            max_attempts=self._route.max_attempts,
            is_idempotent=self._route.idempotent,
        ):
            return False
        if not self._context.allows_another_attempt(
            self._prepared, has_open_attempts=bool(self._open_attempts)
        ):
            return False
        retry_budgets = self._context.retry_budgets
        if not retry_budgets.has_token(self._service):
            return False
        pool = self._choose_pool()
        if pool is None:
            return False
        retry_budgets.try_spend(self._service)
        self._send_attempt(pool)
        return True

    def _encode(self, attempt: Attempt) -> bytes | None:
        if self._is_answered or self._context.is_quarantined(self._prepared):
            return None
        now_ms = self._context.clock.monotonic_ms()
        return self._prepared.encode(attempt, now_ms)

    def _on_hedge_delay(self) -> None:
        if self._is_answered:
            return
        for attempt in self._open_attempts:
            attempt.mark_overdue()
        if self._send_another_attempt():
            self._hedge_count += 1
            self._context.metrics.count_events("hedge")
            logger.info(
                "event=hedged request=%s service=%s delay_ms=%.1f",
                self._request_id,
                self._service,
                self._state.hedging.delay_ms,
            )

    def _on_attempt_done(
        self, attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
    ) -> None:
        self._open_attempts.remove(attempt)
        if outcome is Outcome.NOT_RUN:
            self._counts.rejected_count += 1
        else:
            self._counts.possibly_run_count += 1
        if self._is_answered:
            return
        if outcome is Outcome.ANSWERED and response is not None:
            self._forward_response(attempt, response)
            return
        if outcome is Outcome.ERROR:
            self._last_error = response
        if self._send_another_attempt():
            return
        if not self._open_attempts:
            self._answer_failure(outcome)

    # Answers

    def _forward_response(self, attempt: Attempt, response: UpstreamResponse) -> None:
        header_names = self._context.header_names
        is_success = response.status // 100 == HTTPStatus.OK // 100
        if is_success and response.header(header_names.stamp) is None:
            self._send_answer(
                HttpResponse(HTTPStatus.BAD_GATEWAY, []), "unsigned", attempt
            )
            return
        self._send_answer(self._convert_response(response), "answered", attempt)

    def _convert_response(self, response: UpstreamResponse) -> HttpResponse:
        """Return the response of an upstream in the form that callers get."""
        header_names = self._context.header_names
        headers = end_to_end_headers(
            response.headers,
            dropped=header_names.statements,
            kept=(header_names.request_id, header_names.stamp),
        )
        return HttpResponse(response.status, headers, response.body)

    def _answer_failure(self, outcome: Outcome) -> None:
        """Answer after the last attempt has failed."""
        if self._last_error is not None:
            self._send_answer(self._convert_response(self._last_error), "error")
        elif self._counts.possibly_run_count:
            self._send_answer(HttpResponse(HTTPStatus.BAD_GATEWAY, []), "lost")
        else:
            self._answer_rejection(str(outcome))

    def _answer_rejection(self, cause: str) -> None:
        (capacity_wait_ms,) = self._context.upstreams.ready_in_ms(
            [self._service], service_ms=self._state.hedging.service_ms
        )
        self._reject(capacity_wait_ms, f"rejected_{cause}")

    def _reject(self, wait_ms: float, cause: str) -> None:
        """Answer that the request did not run, with a time for the next try."""
        response = rejection_response(
            capacity_wait_ms=wait_ms, priority=self._route.priority
        )
        self._send_answer(response, cause)

    def _on_deadline(self) -> None:
        if self._is_answered:
            return
        self._stop_sending()
        if not self._counts.possibly_run_count and not self._open_attempts:
            self._answer_rejection("deadline")
        else:
            self._send_answer(HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, []), "timeout")

    def _send_answer(
        self, response: HttpResponse, cause: str, attempt: Attempt | None = None
    ) -> None:
        self._stop_sending()
        self._responder.respond(response)
        duration_ms = self._context.clock.monotonic_ms() - self._received_ms
        self._context.metrics.count_request(
            route=self._state.label, outcome=cause, duration_ms=duration_ms
        )
        logger.info(
            "event=request_ended request=%s route=%s outcome=%s status=%d "
            "duration_ms=%.1f service=%s upstream=%s hedges=%d tried=%s version=%d",
            self._request_id,
            self._state.label,
            cause,
            response.status,
            duration_ms,
            self._service,
            attempt.replica.upstream if attempt else "",
            self._hedge_count,
            ",".join(self._tried_upstreams),
            self._version,
        )

    def _on_caller_left(self) -> None:
        """Stop sending, and abandon the attempts later if the request is idempotent."""
        self._stop_sending()
        logger.info(
            "event=request_ended request=%s route=%s outcome=abandoned_by_caller",
            self._request_id,
            self._state.label,
        )
        if self._route.idempotent:
            delay_s = self._context.settings.abandon_after_ms / 1000
            self._loop.call_later(delay_s, self._abandon_attempts)

    def _abandon_attempts(self) -> None:
        for attempt in tuple(self._open_attempts):
            attempt.abandon()

    def _stop_sending(self) -> None:
        """Send no more attempts; those in flight run on and keep their connections."""
        self._is_answered = True
        for timer in (self._hedge_timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()
        for attempt in tuple(self._open_attempts):
            attempt.cancel_if_unsent()
