"""How much work may be in flight at one upstream, and what starts next."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from cuminbend.exceptions import RequestFailedError
from cuminbend.ports import Clock
from cuminbend.upstreams import _refusals
from cuminbend.upstreams._base import MemberShares
from cuminbend.upstreams._connections import LingeringConnections
from cuminbend.upstreams._flight import Flight, Flights
from cuminbend.upstreams._queue import AdmissionQueue, Ticket
from cuminbend.upstreams._service_time import ServiceTimes
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._slow_start import SlowStart

# Added to waits so that rounding never wakes a task just before the time it waits for.
TIMER_SLACK_MS = 0.01
NEVER_MS = float("inf")


@dataclass
class _Watch:
    """The waiting request that wakes up when time alone may make room."""

    ticket: Ticket
    until_ms: float


class Admission:
    """Queue and counts of one upstream.

    It has no task of its own: requests wait in their callers' tasks, and one of those
    that wait also watches the time.

    Args:
        open_connections: Returns the connections open at this end.
        connection_cap: Connections that may be open or lingering.
    """

    def __init__(
        self,
        *,
        settings: GateSettings,
        upstream: str,
        clock: Clock,
        shares: MemberShares,
        slow_start: SlowStart,
        times: ServiceTimes,
        open_connections: Callable[[], int],
        connection_cap: int,
    ) -> None:
        self._settings = settings
        self._upstream = upstream
        self._clock = clock
        self._slow_start = slow_start
        self._times = times
        self._open_connections = open_connections
        self.connection_cap = connection_cap
        self.flights = Flights()
        self.lingering = LingeringConnections(
            clock=clock, linger_ms=settings.connection_linger_ms
        )
        self.peak_in_flight = 0
        self._queue = AdmissionQueue(shares=shares, length=settings.queue_length)
        self._watch: _Watch | None = None
        self._suspect: Ticket | None = None
        self._suspect_until_ms = NEVER_MS
        self._changed = anyio.Event()

    def admit_at_once(self, ticket: Ticket) -> Flight | None:
        """Start a request if nothing waits and there is room, else return None."""
        self.count_flights()
        if len(self._queue) or self._suspect is not None or not self._has_room():
            return None
        if ticket.alone and len(self.flights):
            return None
        return self._start(ticket)

    async def admit(self, ticket: Ticket) -> Flight:
        """Wait until a request may start.

        Raises:
            RequestFailedError: Not run.
        """
        self._check_queue(ticket)
        try:
            self._queue.push(ticket)
            while True:
                self.pump()
                while not ticket.decided:
                    await self._wait(ticket)
                if ticket.error is not None:
                    raise ticket.error
                if ticket.flight is not None and self._still_fits(ticket.flight):
                    return ticket.flight
                self._take_back(ticket)
        except BaseException:
            self._withdraw(ticket)
            raise

    def _still_fits(self, flight: Flight) -> bool:
        """Return whether the limit still allows a request admitted a moment ago.

        The limit may be reset between the admission and the turn of the task.
        """
        return (
            flight.epoch == self._slow_start.epoch
            or len(self.flights) <= self._slow_start.limit
        )

    def _take_back(self, ticket: Ticket) -> None:
        assert ticket.flight is not None
        self.flights.discard(ticket.flight)
        ticket.flight = None
        ticket.wake = anyio.Event()
        self._queue.put_back(ticket)

    def _check_queue(self, ticket: Ticket) -> None:
        member = ticket.request.member
        service_time_ms = self.service_time_ms()
        if self._queue.is_full(member):
            raise _refusals.queue_full(
                self._upstream, member, self._settings.queue_length, service_time_ms
            )
        turns = self._queue.turns_before(member, ticket.deadline_ms)
        wait_ms = turns * service_time_ms / self._slow_start.limit
        if wait_ms > self.latest_wait_ms(ticket.deadline_ms):
            raise self.too_late()

    async def _wait(self, ticket: Ticket) -> None:
        """Wait until the ticket is decided or the time may have changed something."""
        wait_ms = self.latest_wait_ms(ticket.deadline_ms)
        if self._watch is not None and self._watch.ticket is ticket:
            wait_ms = min(wait_ms, self._watch.until_ms - self._clock.monotonic_ms())
        with anyio.move_on_after(seconds(wait_ms + TIMER_SLACK_MS)):
            await ticket.wake.wait()
        if ticket.decided:
            return
        ticket.wake = anyio.Event()
        if self.latest_wait_ms(ticket.deadline_ms) <= 0:
            raise self.too_late()
        watch = self._watch
        if watch is not None and watch.until_ms <= self._clock.monotonic_ms():
            self._watch = None
            self.pump()

    def _withdraw(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)
        if self._suspect is ticket:
            self._suspect = None
        if self._watch is not None and self._watch.ticket is ticket:
            self._watch = None
        if ticket.flight is not None:
            self.flights.discard(ticket.flight)
        self.pump()

    def refuse_waiting(self, refusal: Callable[[], RequestFailedError]) -> None:
        """Refuse all requests that wait."""
        for ticket in list(self._queue):
            self._queue.remove(ticket)
            _refuse(ticket, refusal())
        if self._suspect is not None:
            _refuse(self._suspect, refusal())
            self._suspect = None

    def pump(self) -> None:
        """Start as much as the limits allow, then arrange to look again in time."""
        self.count_flights()
        self._changed.set()
        if self.lingering.count() >= self.connection_cap:
            self.refuse_waiting(self.no_connection)
        self._drop_late_suspect()
        while self._has_room():
            ticket = self._next_ticket()
            if ticket is None:
                break
            self._start(ticket)
            ticket.wake.set()
        self._arrange_wake()

    def _drop_late_suspect(self) -> None:
        """Stop keeping other work waiting for a suspect that has to run alone."""
        if self._suspect is None or not len(self.flights):
            return
        if self._clock.monotonic_ms() >= self._suspect_until_ms:
            _refuse(self._suspect, self.too_late())
            self._suspect = None

    def _next_ticket(self) -> Ticket | None:
        if self._suspect is None:
            ticket = self._queue.pop()
            if ticket is None or not ticket.alone or not len(self.flights):
                return ticket
            self._suspect = ticket
            self._suspect_until_ms = (
                self._clock.monotonic_ms() + self._settings.suspect_drain_ms
            )
        if len(self.flights):
            return None
        ticket, self._suspect = self._suspect, None
        return ticket

    def _has_room(self) -> bool:
        # The transport reuses an idle connection before it opens one.
        open_after = max(self._open_connections(), self.flights.active + 1)
        return (
            len(self.flights) < self._slow_start.limit
            and not self.flights.has_alone()
            and open_after + self.lingering.count() <= self.connection_cap
        )

    def _start(self, ticket: Ticket) -> Flight:
        flight = Flight(
            request=ticket.request,
            deadline_ms=ticket.deadline_ms,
            ends_ms=ticket.deadline_ms + self._settings.transit_ms,
            unproven=ticket.unproven,
            alone=ticket.alone,
            epoch=self._slow_start.epoch,
            changed=self._flight_changed,
        )
        self.flights.add(flight)
        self.peak_in_flight = max(self.peak_in_flight, len(self.flights))
        ticket.flight = flight
        return flight

    def _arrange_wake(self) -> None:
        if not (self.flights.abandoned or self.lingering.count() or self._suspect):
            return
        waiting = self._suspect or next(iter(self._queue), None)
        if waiting is None:
            return
        next_ms = min(self.flights.next_expiry_ms(), self.lingering.next_expiry_ms())
        if self._suspect is not None:
            next_ms = min(next_ms, self._suspect_until_ms)
        if next_ms == NEVER_MS:
            return
        watch = self._watch
        if watch and not watch.ticket.decided and watch.until_ms <= next_ms:
            return
        self._watch = _Watch(waiting, next_ms)
        waiting.wake.set()

    def settle(self, flight: Flight) -> None:
        """Stop awaiting a request; go on counting what the upstream may still hold."""
        flight.active = False
        if not flight.began:
            flight.gone = flight.ended = True
        if not flight.gone:
            self.lingering.add(flight)
        if not flight.ended:
            self.flights.abandon(flight)
        self._flight_changed(flight)

    def _flight_changed(self, flight: Flight) -> None:
        if flight.gone:
            self.lingering.discard(flight)
        if flight.ended and not flight.active:
            self.flights.discard(flight)
        self.pump()

    async def drained(self) -> None:
        """Return when the upstream cannot be running anything any more."""
        while self.count_flights():
            if self._changed.is_set():
                self._changed = anyio.Event()
            wait_ms = self.flights.next_expiry_ms() - self._clock.monotonic_ms()
            with anyio.move_on_after(seconds(wait_ms + TIMER_SLACK_MS)):
                await self._changed.wait()

    def count_flights(self) -> int:
        """Return the requests that the upstream may be running."""
        if self.flights.abandoned:
            self.flights.expire(self._clock.monotonic_ms())
        return len(self.flights)

    def service_time_ms(self) -> float:
        """Return the service time to expect."""
        return self._times.median_ms() or self._settings.initial_service_time_ms

    def latest_wait_ms(self, deadline_ms: float) -> float:
        """Return how long a request can still wait and be answered in time."""
        return deadline_ms - self.service_time_ms() - self._clock.monotonic_ms()

    def too_late(self) -> RequestFailedError:
        """Return the error for a request that cannot start in time."""
        return _refusals.too_late(self._upstream, self.service_time_ms())

    def no_connection(self) -> RequestFailedError:
        """Return the error for an upstream whose connections are all lingering."""
        wait_ms = self.lingering.next_expiry_ms() - self._clock.monotonic_ms()
        return _refusals.no_connection(self._upstream, min(wait_ms, 1e9))

    def dump(self) -> dict[str, Any]:
        """Return the counts for a state dump."""
        return {
            "in_flight": self.count_flights(),
            "awaited": self.flights.active,
            "queued": self._queue.lengths(),
            "open_connections": self._open_connections(),
            "lingering_connections": self.lingering.count(),
            "connection_cap": self.connection_cap,
            "service_time_ms": self.service_time_ms(),
        }


def _refuse(ticket: Ticket, error: RequestFailedError) -> None:
    ticket.error = error
    ticket.wake.set()


def seconds(value_ms: float) -> float:
    """Return a duration for a timer; a past time becomes 0."""
    return max(0.0, value_ms) / 1000.0
