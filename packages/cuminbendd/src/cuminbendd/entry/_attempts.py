"""One attempt at one upstream, whose outcome is recorded for that upstream."""

import logging
from collections.abc import Callable
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING

from cuminbend.forwarding import (
    HedgeDelay,
    Replica,
    parse_limit,
    parse_pause_ms,
)

from cuminbendd.entry._pool import ConnectionPool
from cuminbendd.http1 import FailureKind, UpstreamConnection, UpstreamResponse

if TYPE_CHECKING:
    from cuminbendd.entry._forwarding import PreparedRequest
    from cuminbendd.entry._upstreams import UpstreamDirectory

logger = logging.getLogger(__name__)

# Pause after a rejection: about the time in which a searcher finishes a request.
_REJECTION_PAUSE_MS = 40.0


# An upstream answers by the deadline that it was given. A connection without a response
# this long after the deadline is probably broken.
_SILENCE_MARGIN_MS = 250.0
# The load header holds the running requests, the waiting requests and the slots.
_LOAD_FIELD_COUNT = 3


class Outcome(StrEnum):
    """How an attempt ended.

    ``ANSWERED`` is a usable response, ``ERROR`` a response that reports a failure of
    the upstream. ``NOT_RUN`` means that the upstream certainly did not run the request,
    ``UNKNOWN`` that it may have run it.
    """

    ANSWERED = "answered"
    ERROR = "error"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Attempt:
    """One attempt to get the response of one upstream to a request.

    Args:
        encode: Returns the bytes to send, or None if the attempt is to be dropped.

    Attributes:
        replica: The upstream.
        started_ms: Monotonic time at which the attempt was handed to the pool.
        expires_ms: Monotonic time at which its connection counts as silent.
        is_overdue: Whether the attempt has waited longer than the hedge delay.
        on_done: Called once with the outcome and the response, or None if there is
            no response.
    """

    __slots__ = (
        "_directory",
        "_encode",
        "_hedging",
        "_pool",
        "_request",
        "_sent",
        "connection",
        "expires_ms",
        "is_done",
        "is_idempotent",
        "is_overdue",
        "on_done",
        "replica",
        "request_id",
        "started_ms",
    )

    def __init__(
        self,
        *,
        directory: "UpstreamDirectory",
        pool: ConnectionPool,
        request: "PreparedRequest",
        is_idempotent: bool,
        hedging: HedgeDelay,
        encode: Callable[["Attempt"], bytes | None],
        on_done: Callable[["Attempt", Outcome, UpstreamResponse | None], None],
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._hedging = hedging
        self._encode = encode
        self._sent = False
        self.connection: UpstreamConnection | None = None
        self.replica: Replica = pool.replica
        self._request = request
        self.request_id = request.request_id
        self.is_idempotent = is_idempotent
        self.on_done = on_done
        self.expires_ms = request.deadline_ms + _SILENCE_MARGIN_MS
        self.is_overdue = False
        self.is_done = False
        self.started_ms = directory.clock.monotonic_ms()

    def start(self) -> None:
        """Send the request, or queue it until a connection is free."""
        self.replica.in_flight += 1
        self._pool.submit(self)

    def mark_overdue(self) -> None:
        """Mark the attempt as waiting longer than the hedge delay."""
        if not self.is_overdue and not self.is_done:
            self.is_overdue = True
            self.replica.overdue += 1

    def cancel_if_unsent(self) -> bool:
        """Cancel the attempt if no byte was sent; return whether no byte was sent."""
        if not self.is_done and self._pool.remove_waiting(self):
            self._finish(Outcome.NOT_RUN, None)
        return not self._sent

    def abandon(self) -> None:
        """Cancel the attempt if no byte was sent, else close its connection."""
        if not self.is_done and not self.cancel_if_unsent():
            assert self.connection is not None
            self.connection.close()

    def encode(self) -> bytes | None:
        """Return the bytes to send, or None if the attempt is to be dropped."""
        # The upstream may have asked for no more requests while this one was queued.
        is_refused = not self.replica.takes_requests_at(
            self._directory.clock.monotonic_ms()
        )
        data = None if is_refused else self._encode(self)
        if data is None:
            self._finish(Outcome.NOT_RUN, None)
            return None
        self._sent = True
        return data

    def on_response(self, response: UpstreamResponse) -> None:
        """Record the response for the upstream and report the outcome."""
        now_ms = self._directory.clock.monotonic_ms()
        header_names = self._directory.header_names
        load = response.header(header_names.load)
        if load is not None:
            self._record_load(load, now_ms)
        self._record_statements(response, now_ms)
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._directory.remove_misdirected(self.replica)
            self._finish(Outcome.NOT_RUN, response)
        elif response.header(header_names.not_run) is not None:
            self.replica.record_rejection(now_ms=now_ms, pause_ms=_REJECTION_PAUSE_MS)
            self._directory.metrics.count_failed_attempt("rejected")
            self._log_failed_response("attempt_rejected", response)
            self._finish(Outcome.NOT_RUN, response)
        elif response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.replica.record_error(now_ms=now_ms)
            self._directory.metrics.count_failed_attempt(f"status_{response.status}")
            self._log_failed_response("attempt_error", response)
            self._directory.crash_watch.record_answer(
                self._request, self.replica.service
            )
            self._finish(Outcome.ERROR, response)
        else:
            self._directory.crash_watch.record_answer(
                self._request, self.replica.service
            )
            latency_ms = now_ms - self.started_ms
            self._hedging.record(latency_ms, has_queue=self.replica.queued > 0)
            self.replica.record_answer(
                latency_ms=latency_ms,
                median_ms=self._hedging.median_ms,
                now_ms=now_ms,
            )
            self._finish(Outcome.ANSWERED, response)

    def on_failure(self, kind: FailureKind) -> None:
        """Record that there is no response, and report the outcome."""
        if kind is not FailureKind.ABANDONED and self._sent:
            self.replica.record_unanswered_attempt(
                now_ms=self._directory.clock.monotonic_ms()
            )
        if kind is FailureKind.BROKEN and self._sent:
            self._directory.crash_watch.record_broken_connection(
                self._request, self._pool
            )
        self._directory.metrics.count_failed_attempt(str(kind))
        logger.info(
            "event=attempt_failed request=%s upstream=%s service=%s cause=%s sent=%s "
            "failure_rate=%.2f fingerprint=%s incarnation_ms=%d",
            self.request_id.decode("latin-1"),
            self.replica.upstream,
            self.replica.service,
            kind,
            self._sent,
            self.replica.failure_rate,
            self._request.fingerprint,
            self.replica.incarnation_ms,
        )
        self._finish(Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN, None)

    def _log_failed_response(self, event: str, response: UpstreamResponse) -> None:
        replica = self.replica
        logger.info(
            "event=%s request=%s upstream=%s service=%s status=%d failure_rate=%.2f "
            "in_flight=%d queued=%d",
            event,
            self.request_id.decode("latin-1"),
            replica.upstream,
            replica.service,
            response.status,
            replica.failure_rate,
            replica.in_flight,
            replica.queued,
        )

    def _record_load(self, load: bytes, now_ms: float) -> None:
        fields = load.split(b",")
        if len(fields) == _LOAD_FIELD_COUNT and all(
            field.strip().isdigit() for field in fields
        ):
            self.replica.record_load(
                running=int(fields[0]), queued=int(fields[1]), now_ms=now_ms
            )

    def _record_statements(self, response: UpstreamResponse, now_ms: float) -> None:
        """Record what the answer says about the upstream itself.

        Another upstream may have answered with 421.
        """
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        self._record_limit(response)
        replica, directory = self.replica, self._directory
        is_leaving = response.header(directory.header_names.leaving) is not None
        if is_leaving and directory.record_leaving(replica):
            logger.info(
                "event=leaving_stated upstream=%s service=%s request=%s",
                replica.upstream,
                replica.service,
                self.request_id.decode("latin-1"),
            )
        retry_after = response.header(b"retry-after")
        if response.status != HTTPStatus.SERVICE_UNAVAILABLE or retry_after is None:
            return
        pause_ms = parse_pause_ms(retry_after)
        if pause_ms is not None:
            replica.record_pause(now_ms=now_ms, pause_ms=pause_ms)
            logger.info(
                "event=pause_stated upstream=%s service=%s request=%s pause_ms=%.0f",
                replica.upstream,
                replica.service,
                self.request_id.decode("latin-1"),
                pause_ms,
            )

    def _record_limit(self, response: UpstreamResponse) -> None:
        """Record the limit that an answer states; an answer without one ends it.

        A rejection may come from a part of the upstream that does not know the limit,
        so it ends none.
        """
        header_names = self._directory.header_names
        value = response.header(header_names.limit)
        if value is None and response.header(header_names.not_run) is not None:
            return
        limit_per_s = parse_limit(value) if value is not None else None
        if self._directory.record_limit(self.replica, limit_per_s):
            logger.info(
                "event=limit_stated upstream=%s service=%s request=%s value=%s "
                "limit_per_s=%s",
                self.replica.upstream,
                self.replica.service,
                self.request_id.decode("latin-1"),
                (value or b"").decode("latin-1"),
                limit_per_s,
            )

    def _finish(self, outcome: Outcome, response: UpstreamResponse | None) -> None:
        if self.is_done:
            return
        self.is_done = True
        self.replica.in_flight -= 1
        if self.is_overdue:
            self.replica.overdue -= 1
        self.on_done(self, outcome, response)
