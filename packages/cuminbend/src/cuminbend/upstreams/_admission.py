"""Admission of requests to one upstream within its limits."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from cuminbend.exceptions import RequestFailedError
from cuminbend.ports import Clock
from cuminbend.upstreams import _refusals
from cuminbend.upstreams._admitted import AdmittedRequest, AdmittedRequests
from cuminbend.upstreams._base import MemberShares
from cuminbend.upstreams._connections import LingeringConnections
from cuminbend.upstreams._queue import AdmissionQueue, Ticket
from cuminbend.upstreams._service_time import ServiceTimes
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._slow_start import SlowStart

# Added to timers so that rounding never wakes a task before the time it waits for.
TIMER_SLACK_MS = 0.01
# Bound of a retry time, because infinity cannot be rounded to an integer.
MAX_RETRY_AFTER_MS = 1e9
NEVER_MS = float("inf")


@dataclass
class _WakeTimer:
    """Waiting request that checks the limits again at a given time."""

    ticket: Ticket
    until_ms: float


class Admission:
    """Queue, requests in flight and connection counts of one upstream.

    It has no background task. Requests wait in the tasks of their callers, and one of
    the waiting tasks also wakes up when the passing of time may free capacity.

    Args:
        open_connection_count: Returns the number of connections that this instance has
            open.
        connection_cap: Number of connections that may be open or lingering.

    Attributes:
        peak_in_flight: Largest number of requests in flight since the gate last reset
            it.
    """

    def __init__(
        self,
        *,
        settings: GateSettings,
        upstream: str,
        clock: Clock,
        shares: MemberShares,
        slow_start: SlowStart,
        service_times: ServiceTimes,
        open_connection_count: Callable[[], int],
        connection_cap: int,
    ) -> None:
        self._settings = settings
        self._upstream = upstream
        self._clock = clock
        self._slow_start = slow_start
        self._service_times = service_times
        self._open_connection_count = open_connection_count
        self.connection_cap = connection_cap
        self.admitted_requests = AdmittedRequests()
        self.lingering = LingeringConnections(
            clock=clock, linger_ms=settings.connection_linger_ms
        )
        self.peak_in_flight = 0
        self._queue = AdmissionQueue(shares=shares, length=settings.member_queue_length)
        self._wake_timer: _WakeTimer | None = None
        self._waiting_suspect: Ticket | None = None
        self._suspect_deadline_ms = NEVER_MS
        self._changed = anyio.Event()

    def admit_at_once(self, ticket: Ticket) -> AdmittedRequest | None:
        """Admit a request if none waits and there is capacity, else return None."""
        self.count_in_flight()
        if (
            len(self._queue)
            or self._waiting_suspect is not None
            or not self._has_capacity()
        ):
            return None
        if ticket.must_run_alone and len(self.admitted_requests):
            return None
        return self._start(ticket)

    async def admit(self, ticket: Ticket) -> AdmittedRequest:
        """Wait until a request is admitted.

        Raises:
            RequestFailedError: If the request is refused; it has not run.
        """
        self._check_queue_wait(ticket)
        try:
            self._queue.push(ticket)
            while True:
                self.admit_waiting()
                while not ticket.is_decided:
                    await self._wait_for_change(ticket)
                if ticket.error is not None:
                    raise ticket.error
                if ticket.admitted is not None and self._is_within_limit(
                    ticket.admitted
                ):
                    return ticket.admitted
                self._requeue(ticket)
        except BaseException:
            self._withdraw_ticket(ticket)
            raise

    def _is_within_limit(self, admitted: AdmittedRequest) -> bool:
        """Return whether the limit still allows a request that was just admitted.

        The limit may be reset between the admission and the wake-up of the task.
        """
        return (
            admitted.epoch == self._slow_start.epoch
            or len(self.admitted_requests) <= self._slow_start.limit
        )

    def _requeue(self, ticket: Ticket) -> None:
        assert ticket.admitted is not None
        self.admitted_requests.discard(ticket.admitted)
        ticket.admitted = None
        ticket.wake_event = anyio.Event()
        self._queue.put_back(ticket)

    def _check_queue_wait(self, ticket: Ticket) -> None:
        member = ticket.request.member
        service_time_ms = self.service_time_ms()
        if self._queue.is_full(member):
            raise _refusals.queue_full_error(
                self._upstream,
                member,
                self._settings.member_queue_length,
                service_time_ms,
            )
        turns = self._queue.expected_turns_before(member, ticket.deadline_ms)
        wait_ms = turns * service_time_ms / self._slow_start.limit
        if wait_ms > self.latest_wait_ms(ticket.deadline_ms):
            raise self.too_late_error()

    async def _wait_for_change(self, ticket: Ticket) -> None:
        """Wait until the ticket is decided or the wake timer of the ticket fires."""
        wait_ms = self.latest_wait_ms(ticket.deadline_ms)
        if self._wake_timer is not None and self._wake_timer.ticket is ticket:
            wait_ms = min(
                wait_ms, self._wake_timer.until_ms - self._clock.monotonic_ms()
            )
        with anyio.move_on_after(to_seconds(wait_ms + TIMER_SLACK_MS)):
            await ticket.wake_event.wait()
        if ticket.is_decided:
            return
        ticket.wake_event = anyio.Event()
        if self.latest_wait_ms(ticket.deadline_ms) <= 0:
            raise self.too_late_error()
        wake_timer = self._wake_timer
        if wake_timer is not None and wake_timer.until_ms <= self._clock.monotonic_ms():
            self._wake_timer = None
            self.admit_waiting()

    def _withdraw_ticket(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)
        if self._waiting_suspect is ticket:
            self._waiting_suspect = None
        if self._wake_timer is not None and self._wake_timer.ticket is ticket:
            self._wake_timer = None
        if ticket.admitted is not None:
            self.admitted_requests.discard(ticket.admitted)
        self.admit_waiting()

    def refuse_waiting(self, refusal: Callable[[], RequestFailedError]) -> None:
        """Refuse all waiting requests with the error that ``refusal`` returns."""
        for ticket in list(self._queue):
            self._queue.remove(ticket)
            _refuse(ticket, refusal())
        if self._waiting_suspect is not None:
            _refuse(self._waiting_suspect, refusal())
            self._waiting_suspect = None

    def admit_waiting(self) -> None:
        """Admit the waiting requests that the limits allow, and set the wake timer."""
        self.count_in_flight()
        self._changed.set()
        if self.lingering.count() >= self.connection_cap:
            self.refuse_waiting(self.no_connection_error)
        self._refuse_late_suspect()
        while self._has_capacity():
            ticket = self._next_ticket()
            if ticket is None:
                break
            self._start(ticket)
            ticket.wake_event.set()
        self._schedule_wake()

    def _refuse_late_suspect(self) -> None:
        """Refuse a suspect that has delayed other requests for too long."""
        if self._waiting_suspect is None or not len(self.admitted_requests):
            return
        if self._clock.monotonic_ms() >= self._suspect_deadline_ms:
            _refuse(self._waiting_suspect, self.too_late_error())
            self._waiting_suspect = None

    def _next_ticket(self) -> Ticket | None:
        if self._waiting_suspect is None:
            ticket = self._queue.pop()
            if (
                ticket is None
                or not ticket.must_run_alone
                or not len(self.admitted_requests)
            ):
                return ticket
            self._waiting_suspect = ticket
            self._suspect_deadline_ms = (
                self._clock.monotonic_ms() + self._settings.max_suspect_drain_ms
            )
        if len(self.admitted_requests):
            return None
        ticket, self._waiting_suspect = self._waiting_suspect, None
        return ticket

    def _has_capacity(self) -> bool:
        # The transport reuses an idle connection before it opens one.
        open_after_admission = max(
            self._open_connection_count(), self.admitted_requests.awaited_count + 1
        )
        return (
            len(self.admitted_requests) < self._slow_start.limit
            and not self.admitted_requests.has_running_alone()
            and open_after_admission + self.lingering.count() <= self.connection_cap
        )

    def _start(self, ticket: Ticket) -> AdmittedRequest:
        admitted = AdmittedRequest(
            request=ticket.request,
            deadline_ms=ticket.deadline_ms,
            latest_end_ms=ticket.deadline_ms + self._settings.transit_ms,
            is_unproven=ticket.is_unproven,
            must_run_alone=ticket.must_run_alone,
            epoch=self._slow_start.epoch,
            on_change=self._on_admitted_changed,
        )
        self.admitted_requests.add(admitted)
        self.peak_in_flight = max(self.peak_in_flight, len(self.admitted_requests))
        ticket.admitted = admitted
        return admitted

    def _schedule_wake(self) -> None:
        if not (
            self.admitted_requests.has_abandoned
            or self.lingering.count()
            or self._waiting_suspect
        ):
            return
        next_waiting = self._waiting_suspect or next(iter(self._queue), None)
        if next_waiting is None:
            return
        next_ms = min(
            self.admitted_requests.next_expiry_ms(), self.lingering.next_expiry_ms()
        )
        if self._waiting_suspect is not None:
            next_ms = min(next_ms, self._suspect_deadline_ms)
        if next_ms == NEVER_MS:
            return
        wake_timer = self._wake_timer
        if (
            wake_timer
            and not wake_timer.ticket.is_decided
            and wake_timer.until_ms <= next_ms
        ):
            return
        self._wake_timer = _WakeTimer(next_waiting, next_ms)
        next_waiting.wake_event.set()

    def stop_awaiting(self, admitted: AdmittedRequest) -> None:
        """Stop awaiting a request.

        The request and its connection still count if the upstream may hold them.
        """
        admitted.is_awaited = False
        if not admitted.exchange_began:
            admitted.is_connection_closed = admitted.has_ended = True
        if not admitted.is_connection_closed:
            self.lingering.add(admitted)
        if not admitted.has_ended:
            self.admitted_requests.abandon(admitted)
        self._on_admitted_changed(admitted)

    def _on_admitted_changed(self, admitted: AdmittedRequest) -> None:
        if admitted.is_connection_closed:
            self.lingering.discard(admitted)
        if admitted.has_ended and not admitted.is_awaited:
            self.admitted_requests.discard(admitted)
        self.admit_waiting()

    async def wait_until_drained(self) -> None:
        """Wait until the upstream cannot be running any request."""
        while self.count_in_flight():
            if self._changed.is_set():
                self._changed = anyio.Event()
            wait_ms = (
                self.admitted_requests.next_expiry_ms() - self._clock.monotonic_ms()
            )
            with anyio.move_on_after(to_seconds(wait_ms + TIMER_SLACK_MS)):
                await self._changed.wait()

    def count_in_flight(self) -> int:
        """Return the number of requests that the upstream may be running."""
        if self.admitted_requests.has_abandoned:
            self.admitted_requests.expire_abandoned(self._clock.monotonic_ms())
        return len(self.admitted_requests)

    def service_time_ms(self) -> float:
        """Return the expected service time."""
        return self._service_times.median_ms() or self._settings.initial_service_time_ms

    def latest_wait_ms(self, deadline_ms: float) -> float:
        """Return how long a request can wait and still be answered in time.

        The result is negative if it is too late to start the request.
        """
        return deadline_ms - self.service_time_ms() - self._clock.monotonic_ms()

    def too_late_error(self) -> RequestFailedError:
        """Return the error for a request that cannot start in time."""
        return _refusals.too_late_error(self._upstream, self.service_time_ms())

    def no_connection_error(self) -> RequestFailedError:
        """Return the error for an upstream whose connections are all lingering."""
        wait_ms = self.lingering.next_expiry_ms() - self._clock.monotonic_ms()
        return _refusals.no_connection_error(
            self._upstream, min(wait_ms, MAX_RETRY_AFTER_MS)
        )

    def dump(self) -> dict[str, Any]:
        """Return the counts for a state dump."""
        return {
            "in_flight": self.count_in_flight(),
            "awaited": self.admitted_requests.awaited_count,
            "queued": self._queue.lengths(),
            "open_connections": self._open_connection_count(),
            "lingering_connections": self.lingering.count(),
            "connection_cap": self.connection_cap,
            "service_time_ms": self.service_time_ms(),
        }


def _refuse(ticket: Ticket, error: RequestFailedError) -> None:
    ticket.error = error
    ticket.wake_event.set()


def to_seconds(value_ms: float) -> float:
    """Convert milliseconds to seconds for a timer; a negative time becomes 0."""
    return max(0.0, value_ms) / 1000.0
