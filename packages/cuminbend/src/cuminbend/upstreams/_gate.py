"""Admission of work to one upstream at its single owner."""

import logging
from collections.abc import Callable
from typing import Any

import anyio

from cuminbend.exceptions import (
    CuminbendError,
    LeaseExpiredError,
    NoQuorumError,
    OverloadedError,
    QuarantinedError,
    RequestFailedError,
    RunState,
    UnavailableError,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import (
    Announcement,
    GateHandover,
    OwnedUpstream,
    ShardReply,
    ShardRequest,
    UpstreamState,
    WorkKind,
)
from cuminbend.ports import Clock, ControlPort, RandomSource, UpstreamTransport
from cuminbend.replicated import (
    ClaimSuspectRun,
    ClearSuspect,
    CrashResult,
    RecordCrash,
)
from cuminbend.upstreams._base import LeaseView, MemberShares
from cuminbend.upstreams._connections import LingeringConnections
from cuminbend.upstreams._flight import CrashRecord, Flight, Flights
from cuminbend.upstreams._queue import AdmissionQueue, Ticket
from cuminbend.upstreams._service_time import ServiceTimes
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._slow_start import COLD_LIMIT, SlowStart
from cuminbend.upstreams._suspects import CanaryTurn, SuspectMemory

logger = logging.getLogger(__name__)

CLAIM_ID_BITS = 128
# Added to waits so that rounding never wakes a task just before the time it waits for.
TIMER_SLACK_MS = 0.01
# Failures after which the upstream cannot have run anything.
NOT_RUN_KINDS = frozenset(
    {UpstreamErrorKind.CONNECT, UpstreamErrorKind.SHED, UpstreamErrorKind.DRAINING}
)
# Failures that show that the upstream is cold, overloaded or broken.
COLD_KINDS = frozenset(
    {UpstreamErrorKind.CONNECT, UpstreamErrorKind.SHED, UpstreamErrorKind.RESET}
)
# Failures after which the upstream may still be running the request.
UNFINISHED_KINDS = frozenset(
    {
        UpstreamErrorKind.TIMEOUT,
        UpstreamErrorKind.MISMATCH,
        UpstreamErrorKind.MALFORMED,
    }
)


def _always(_data_centre: str) -> bool:
    return True


class UpstreamGate:
    """Sends work to one upstream within its limits.

    The gate has no task of its own: callers of :meth:`run` wait in their own tasks,
    and one of those that wait also watches the time.

    Args:
        shares: Weights of the members in the queue.
        suspects: Memory shared by the gates of an instance; its own by default.
        data_centre_in_service: Whether a data centre may get work.
    """

    def __init__(
        self,
        *,
        settings: GateSettings,
        announcement: Announcement,
        grant: OwnedUpstream,
        transport: UpstreamTransport,
        clock: Clock,
        random: RandomSource,
        lease: LeaseView,
        control: ControlPort,
        shares: MemberShares,
        suspects: SuspectMemory | None = None,
        data_centre_in_service: Callable[[str], bool] = _always,
    ) -> None:
        self._settings = settings
        self._announcement = announcement
        self._incarnation = announcement.incarnation
        self._grant = grant
        self._transport = transport
        self._clock = clock
        self._random = random
        self._lease = lease
        self._control = control
        self._suspects = suspects or SuspectMemory(settings=settings, clock=clock)
        self._data_centre_in_service = data_centre_in_service
        self._queue = AdmissionQueue(shares=shares, length=settings.queue_length)
        self._flights = Flights()
        self._lingering = LingeringConnections(
            clock=clock, linger_ms=settings.connection_linger_ms
        )
        self._times = ServiceTimes()
        self._canaries: dict[str, CanaryTurn] = {}
        self._claim_ids: dict[str, str] = {}
        self._leaving = announcement.state is UpstreamState.LEAVING
        self._draining_until_ms = float("-inf")
        self._stopped: str | None = None
        self._timekeeper: Ticket | None = None
        self._timekeeper_ms = float("inf")
        self._first: Ticket | None = None
        self._first_until_ms = float("inf")
        self._idle = anyio.Event()
        self._peak_in_flight = 0
        self._out_of_service = False
        self._slow_start = SlowStart(
            settings=settings,
            clock=clock,
            random=random,
            slots=announcement.slots,
            limit=self._adopt(grant.handover),
        )

    def _adopt(self, handover: GateHandover | None) -> int:
        if handover is None:
            return COLD_LIMIT
        for index in range(handover.lingering_connections):
            self._lingering.add(("handover", index))
        same = handover.incarnation == self._incarnation
        return handover.limit if same else COLD_LIMIT

    @property
    def data_centre(self) -> str:
        """Data centre of the upstream."""
        return self._announcement.data_centre

    async def run(self, request: ShardRequest) -> ShardReply:
        """Wait for admission, send the request and return the verified reply.

        Cancelling the call cancels the exchange.

        Raises:
            SuspectError: If it is a canary of a known suspect.
            RequestFailedError: With the true run state; see its subclasses.
        """
        deadline_ms = self._clock.monotonic_ms() + request.budget_ms
        if request.kind is WorkKind.CANARY:
            return await self._run_canary(request, deadline_ms)
        if request.kind is WorkKind.SUSPECT:
            return await self._run_suspect(request, deadline_ms)
        return await self._run_flight(request, deadline_ms)

    def regranted(self, grant: OwnedUpstream) -> None:
        """Adopt a new grant of the upstream that this gate already serves.

        Another instance may have owned it in between, so the gate goes on with the
        limit that was handed over, or cold. What it counts itself stays counted.
        """
        if grant.grant_id <= self._grant.grant_id:
            return
        self._grant = grant
        self._slow_start.reset("new grant")
        self._slow_start.adopt(self._adopt(grant.handover))
        self._pump()

    def announced(self, announcement: Announcement) -> None:
        """Adopt what the upstream announces, unless an older incarnation said it."""
        if announcement.incarnation < self._incarnation:
            return
        known = self._announcement
        self._announcement = announcement
        self._slow_start.resize(announcement.slots)
        if announcement.incarnation > self._incarnation:
            self._restarted(announcement.incarnation)
        elif known.state is not announcement.state is UpstreamState.COLD:
            self._slow_start.reset("announced cold")
        self._slow_start.report_load(announcement.load, self._peak_in_flight)
        self._peak_in_flight = self._count_flights()
        self._adopt_state(announcement.state)
        self._pump()

    def _adopt_state(self, state: UpstreamState) -> None:
        if state is UpstreamState.LEAVING:
            self._leave("announced as leaving")
        elif self._leaving and self._clock.monotonic_ms() >= self._draining_until_ms:
            self._leaving = False
            self._slow_start.reset("returned after leaving")

    def _restarted(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._leaving = False
        self._draining_until_ms = float("-inf")
        self._slow_start.reset("new incarnation")
        logger.info(
            "event=upstream_restarted upstream=%s incarnation=%d",
            self._grant.upstream,
            incarnation,
        )

    def _leave(self, reason: str) -> None:
        if not self._leaving:
            logger.info(
                'event=upstream_leaving upstream=%s reason="%s"',
                self._grant.upstream,
                reason,
            )
        self._leaving = True
        self._refuse_queued(self._leaving_error)

    def _leaving_error(self) -> RequestFailedError:
        return UnavailableError(
            f"upstream {self._grant.upstream} is leaving; ask another replica"
        )

    def stop_admitting(self, reason: str) -> None:
        """Refuse queued and new work as not run; work in flight goes on."""
        self._stopped = reason
        self._refuse_queued(self._stopped_error)

    def _stopped_error(self) -> RequestFailedError:
        return UnavailableError(
            f"upstream {self._grant.upstream} gets no work from this instance: "
            f"{self._stopped}; ask its new owner",
            retry_after_ms=round(self._settings.hold_ms),
        )

    def data_centre_changed(self) -> None:
        """Refuse queued work if the data centre is out; it comes back cold."""
        out_of_service = not self._data_centre_in_service(self.data_centre)
        if out_of_service and not self._out_of_service:
            self._slow_start.reset("data centre out of service")
        self._out_of_service = out_of_service
        if out_of_service:
            self._refuse_queued(self._out_of_service_error)

    def _out_of_service_error(self) -> RequestFailedError:
        return UnavailableError(
            f"data centre {self.data_centre} is out of service; ask a replica in "
            "another one"
        )

    async def release(self) -> GateHandover:
        """Refuse queued work, finish work in flight and close all connections.

        Requests that were given up count as in flight until their deadline, because
        the next owner does not know of them.
        """
        self.stop_admitting("its ownership ends")
        while self._count_flights():
            if self._idle.is_set():
                self._idle = anyio.Event()
            wait_ms = self._flights.next_expiry_ms() - self._clock.monotonic_ms()
            with anyio.move_on_after(_seconds(wait_ms + TIMER_SLACK_MS)):
                await self._idle.wait()
        await self._transport.close(self._grant.upstream)
        return GateHandover(
            upstream=self._grant.upstream,
            incarnation=self._incarnation,
            limit=self._slow_start.earned_limit,
            lingering_connections=self._lingering.count(),
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the gate for a state dump."""
        return {
            "upstream": self._grant.upstream,
            "incarnation": self._incarnation,
            "grant_id": self._grant.grant_id,
            "leaving": self._leaving,
            "stopped": self._stopped,
            "limit": self._slow_start.limit,
            "last_reset": self._slow_start.last_reset,
            "in_flight": self._count_flights(),
            "awaited": self._flights.active,
            "queued": self._queue.lengths(),
            "open_connections": self._transport.open_connections(self._grant.upstream),
            "lingering_connections": self._lingering.count(),
            "connection_cap": self._grant.connection_cap,
            "service_time_ms": self._service_time_ms(),
            "time_limit_ms": self._time_limit_ms(),
        }

    # Canaries and suspects

    async def _run_canary(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        fingerprint = request.fingerprint
        while True:
            turn = self._canaries.get(fingerprint)
            if turn is None:
                self._suspects.check(fingerprint)
                return await self._run_first_canary(request, deadline_ms)
            with anyio.move_on_after(_seconds(self._latest_wait_ms(deadline_ms))):
                await turn.done.wait()
            if not turn.done.is_set():
                raise self._late_error()
            if turn.answered:
                return await self._run_flight(request, deadline_ms)
            if turn.refused:
                raise _quarantined(fingerprint, RunState.NOT_RUN)

    async def _run_first_canary(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        turn = self._canaries[request.fingerprint] = CanaryTurn()
        try:
            reply = await self._run_flight(request, deadline_ms, unproven=True)
            turn.answered = True
            return reply
        except RequestFailedError as error:
            turn.answered = error.run_state is RunState.RAN
            turn.refused = isinstance(error, QuarantinedError)
            raise
        finally:
            del self._canaries[request.fingerprint]
            turn.done.set()

    async def _run_suspect(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        try:
            reply = await self._run_flight(
                request, deadline_ms, unproven=True, alone=True
            )
        except UpstreamError as error:
            if error.run_state is RunState.RAN:
                await self._clear_suspect(request.fingerprint)
            raise
        await self._clear_suspect(request.fingerprint)
        return reply

    async def _clear_suspect(self, fingerprint: str) -> None:
        self._suspects.clear(fingerprint)
        self._claim_ids.pop(fingerprint, None)
        try:
            with anyio.CancelScope(shield=True):
                await self._propose(ClearSuspect(fingerprint))
        except CuminbendError as error:
            # The answer stands; the unresolved claim will count as a crash.
            logger.warning(
                'event=clear_suspect_failed fingerprint=%s error="%s"',
                fingerprint,
                error,
            )

    async def _claim_suspect_run(self, request: ShardRequest) -> None:
        """Commit the claim to the single run of a suspect.

        A claim that was granted but not used, because the upstream refused the
        request, is used again, so that it does not count as a crash.
        """
        fingerprint = request.fingerprint
        claim_id = self._claim_ids.get(fingerprint)
        if claim_id is None:
            claim_id = f"{self._random.getrandbits(CLAIM_ID_BITS):032x}"
        self._remember_claim(fingerprint, claim_id)
        try:
            result = await self._propose(
                ClaimSuspectRun(fingerprint, self._grant.upstream, claim_id)
            )
        except CuminbendError as error:
            raise QuarantinedError(
                f"the run of suspect {fingerprint} could not be claimed ({error}); do "
                "not send the request elsewhere",
                run_state=RunState.NOT_RUN,
            ) from error
        if result.quarantined:
            raise _quarantined(fingerprint, RunState.RAN)
        if not result.granted:
            del self._claim_ids[fingerprint]
            raise UnavailableError(
                f"suspect {fingerprint} is already being tried on another upstream; "
                "wait for its verdict",
                retry_after_ms=round(self._settings.commit_timeout_ms),
            )

    def _remember_claim(self, fingerprint: str, claim_id: str) -> None:
        self._claim_ids[fingerprint] = claim_id
        if len(self._claim_ids) > self._settings.suspect_memory_size:
            del self._claim_ids[next(iter(self._claim_ids))]

    async def _propose(self, command: Any) -> CrashResult:
        timeout_ms = self._settings.commit_timeout_ms
        with anyio.move_on_after(_seconds(timeout_ms)):
            result: CrashResult = await self._control.propose(command, timeout_ms)
            return result
        raise NoQuorumError(f"no answer to {command.kind} within {timeout_ms:.0f} ms")

    async def _record_crash(self) -> None:
        """Record all unproven requests in flight when the upstream broke.

        The first request that sees the break commits for all of them, so that each
        is recorded before its own failure reaches its caller.
        """
        record = CrashRecord()
        suspects: dict[str, int] = {}
        for flight in self._flights.unproven():
            if flight.crash is None:
                flight.crash = record
                suspects[flight.request.fingerprint] = flight.incarnation
                self._suspects.add(flight.request.fingerprint, self._grant.upstream)
        alone = len(suspects) == 1
        with anyio.CancelScope(shield=True):
            try:
                async with anyio.create_task_group() as group:
                    for fingerprint, incarnation in suspects.items():
                        command = RecordCrash(
                            fingerprint, self._grant.upstream, incarnation, alone
                        )
                        group.start_soon(self._commit_crash, record, command)
            finally:
                record.done.set()

    async def _commit_crash(self, record: CrashRecord, command: RecordCrash) -> None:
        fingerprint = command.fingerprint
        logger.warning(
            "event=suspect fingerprint=%s upstream=%s incarnation=%d alone=%s",
            fingerprint,
            command.upstream,
            command.incarnation,
            command.alone,
        )
        try:
            result = await self._propose(command)
        except CuminbendError as error:
            record.failed.add(fingerprint)
            logger.error(
                'event=record_crash_failed fingerprint=%s error="%s"',
                fingerprint,
                error,
            )
            return
        if result.quarantined:
            record.quarantined.add(fingerprint)

    # Admission

    async def _run_flight(
        self,
        request: ShardRequest,
        deadline_ms: float,
        *,
        unproven: bool = False,
        alone: bool = False,
    ) -> ShardReply:
        ticket = Ticket(request, deadline_ms, unproven=unproven, alone=alone)
        flight = await self._admit(ticket)
        try:
            if alone:
                await self._claim_suspect_run(request)
            self._check_startable(deadline_ms)
            return await self._exchange(flight)
        finally:
            self._settle(flight)

    async def _admit(self, ticket: Ticket) -> Flight:
        self._check_startable(ticket.deadline_ms)
        self._check_queue(ticket)
        self._queue.push(ticket)
        try:
            self._pump()
            while not ticket.decided:
                await self._wait_for_turn(ticket)
        except BaseException:
            self._withdraw(ticket)
            raise
        if ticket.error is not None:
            raise ticket.error
        assert ticket.flight is not None
        return ticket.flight

    async def _wait_for_turn(self, ticket: Ticket) -> None:
        """Wait until the ticket is decided or the time may have changed something."""
        wait_ms = self._latest_wait_ms(ticket.deadline_ms)
        if ticket is self._timekeeper:
            wait_ms = min(wait_ms, self._timekeeper_ms - self._clock.monotonic_ms())
        with anyio.move_on_after(_seconds(wait_ms + TIMER_SLACK_MS)):
            await ticket.wake.wait()
        if ticket.decided:
            return
        ticket.wake = anyio.Event()
        if self._latest_wait_ms(ticket.deadline_ms) <= 0:
            raise self._late_error()
        if self._clock.monotonic_ms() >= self._timekeeper_ms:
            self._timekeeper, self._timekeeper_ms = None, float("inf")
            self._pump()

    def _withdraw(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)
        if self._first is ticket:
            self._first = None
        if self._timekeeper is ticket:
            self._timekeeper, self._timekeeper_ms = None, float("inf")
        if ticket.flight is not None:
            self._flights.discard(ticket.flight)
        self._pump()

    def _check_queue(self, ticket: Ticket) -> None:
        """Refuse a request at once if it cannot start in time.

        Raises:
            OverloadedError: Not run.
        """
        member = ticket.request.member
        if self._queue.is_full(member):
            raise OverloadedError(
                f"member {member} already has {self._settings.queue_length} requests "
                f"waiting for upstream {self._grant.upstream}; send fewer at a time",
                retry_after_ms=round(self._service_time_ms()),
            )
        turns = self._queue.turns_before(member, ticket.deadline_ms)
        wait_ms = turns * self._service_time_ms() / self._slow_start.limit
        if wait_ms > self._latest_wait_ms(ticket.deadline_ms):
            raise self._late_error()

    def _check_startable(self, deadline_ms: float) -> None:
        """Check what has to hold immediately before an exchange.

        Raises:
            RequestFailedError: Not run.
        """
        if self._stopped is not None:
            raise self._stopped_error()
        if self._leaving:
            raise self._leaving_error()
        if not self._data_centre_in_service(self.data_centre):
            raise self._out_of_service_error()
        if self._latest_wait_ms(deadline_ms) < 0:
            raise self._late_error()
        if not self._lease.is_valid(deadline_ms - self._clock.monotonic_ms()):
            raise LeaseExpiredError(
                "the lease of this instance ends before the deadline of the request; "
                "ask again when it reaches the control quorum",
                retry_after_ms=round(self._settings.hold_ms),
            )
        if self._lingering.count() >= self._grant.connection_cap:
            raise self._no_connection_error()

    def _no_connection_error(self) -> RequestFailedError:
        wait_ms = self._lingering.next_expiry_ms() - self._clock.monotonic_ms()
        return UnavailableError(
            f"all {self._lingering.count()} connections to upstream "
            f"{self._grant.upstream} were abandoned and may still be open there; ask "
            "another replica",
            retry_after_ms=round(wait_ms),
        )

    def _late_error(self) -> RequestFailedError:
        return OverloadedError(
            f"upstream {self._grant.upstream} cannot start the request in time; ask "
            "another replica or allow more time",
            retry_after_ms=round(self._service_time_ms()),
        )

    def _refuse_queued(self, error: Callable[[], RequestFailedError]) -> None:
        for ticket in [*self._queue, *([self._first] if self._first else [])]:
            ticket.error = error()
            self._queue.remove(ticket)
            ticket.wake.set()
        self._first = None

    def _pump(self) -> None:
        """Admit as much as the limits allow, then arrange to look again in time."""
        if not self._count_flights():
            self._idle.set()
        if self._lingering.count() >= self._grant.connection_cap:
            self._refuse_queued(self._no_connection_error)
        while self._has_room():
            ticket = self._next_ticket()
            if ticket is None:
                break
            self._start(ticket)
        self._arrange_wake()

    def _next_ticket(self) -> Ticket | None:
        """Return the ticket to start now; a suspect waits for an empty upstream."""
        if self._first is None:
            ticket = self._queue.pop()
            if ticket is None or not ticket.alone:
                return ticket
            self._first = ticket
            self._first_until_ms = self._clock.monotonic_ms()
            self._first_until_ms += self._settings.suspect_drain_ms
        if not len(self._flights):
            ticket, self._first = self._first, None
            return ticket
        if self._clock.monotonic_ms() < self._first_until_ms:
            return None
        self._first.error = self._late_error()
        self._first.wake.set()
        self._first = None
        return self._next_ticket()

    def _has_room(self) -> bool:
        open_after = max(
            self._transport.open_connections(self._grant.upstream),
            self._flights.active + 1,
        )
        return (
            len(self._flights) < self._slow_start.limit
            and not self._flights.has_alone()
            and open_after + self._lingering.count() <= self._grant.connection_cap
        )

    def _start(self, ticket: Ticket) -> None:
        ticket.flight = Flight(
            request=ticket.request,
            deadline_ms=ticket.deadline_ms,
            unproven=ticket.unproven,
            alone=ticket.alone,
            epoch=self._slow_start.epoch,
            incarnation=self._incarnation,
            changed=self._flight_changed,
        )
        self._flights.add(ticket.flight)
        self._peak_in_flight = max(self._peak_in_flight, len(self._flights))
        ticket.wake.set()

    def _arrange_wake(self) -> None:
        """Let one waiting request wake up when time alone may make room."""
        waiting = self._first or next(iter(self._queue), None)
        if waiting is None:
            return
        next_ms = min(self._flights.next_expiry_ms(), self._lingering.next_expiry_ms())
        if self._first is not None:
            next_ms = min(next_ms, self._first_until_ms)
        if next_ms == float("inf"):
            return
        if self._timekeeper is not None and self._timekeeper_ms <= next_ms:
            return
        self._timekeeper, self._timekeeper_ms = waiting, next_ms
        waiting.wake.set()

    # Exchanges

    async def _exchange(self, flight: Flight) -> ShardReply:
        request = flight.request
        began_ms = self._clock.monotonic_ms()
        limit_ms = self._exchange_limit_ms(request, flight.deadline_ms - began_ms)
        reply: ShardReply | None = None
        flight.began = True
        flight.incarnation = self._incarnation
        try:
            with anyio.move_on_after(_seconds(limit_ms)):
                reply = await self._transport.exchange(
                    self._announcement, request, limit_ms, flight
                )
            if reply is None:
                raise self._timeout_error(limit_ms)
        except Exception as error:
            raise await self._failed(flight, error) from error
        flight.gone = flight.ended = True
        service_time_ms = self._clock.monotonic_ms() - began_ms
        self._check_reply(request, reply, flight.incarnation)
        self._times.record(service_time_ms)
        self._slow_start.succeeded(service_time_ms, flight.epoch)
        return reply

    def _exchange_limit_ms(self, request: ShardRequest, remaining_ms: float) -> float:
        if request.kind is WorkKind.SUBMIT:
            return remaining_ms
        limit_ms = min(
            self._time_limit_ms(), remaining_ms * self._settings.budget_share
        )
        return min(max(limit_ms, self._settings.min_time_limit_ms), remaining_ms)

    def _time_limit_ms(self) -> float:
        settings = self._settings
        p95_ms = self._times.p95_ms()
        if p95_ms is None:
            return settings.initial_time_limit_ms
        return max(settings.time_limit_factor * p95_ms, settings.min_time_limit_ms)

    def _timeout_error(self, limit_ms: float) -> UpstreamError:
        self._times.record(limit_ms)
        self._slow_start.slow(limit_ms)
        return UpstreamError(
            f"upstream {self._grant.upstream} did not answer within {limit_ms:.0f} ms; "
            "ask another replica",
            kind=UpstreamErrorKind.TIMEOUT,
            run_state=RunState.UNKNOWN,
        )

    def _as_failure(self, error: Exception, request: ShardRequest) -> UpstreamError:
        """Return the failure of an exchange with its true run state."""
        if not isinstance(error, UpstreamError):
            return UpstreamError(
                f"the exchange with upstream {self._grant.upstream} failed: {error!r}",
                kind=UpstreamErrorKind.FAILED,
                run_state=RunState.UNKNOWN,
            )
        if request.kind is WorkKind.SUBMIT and error.kind not in NOT_RUN_KINDS:
            error.run_state = RunState.UNKNOWN
        return error

    async def _failed(self, flight: Flight, error: Exception) -> RequestFailedError:
        """Draw the conclusions from a failed exchange and return what to raise."""
        failure = self._as_failure(error, flight.request)
        if failure.kind in COLD_KINDS:
            self._slow_start.reset(failure.kind)
        if failure.kind is UpstreamErrorKind.DRAINING:
            self._draining_until_ms = (
                self._clock.monotonic_ms() + self._settings.draining_memory_ms
            )
            self._leave("refused work as draining")
        if self._shows_break(flight, failure):
            await self._record_crash()
        if isinstance(error, UpstreamError) and failure.kind not in UNFINISHED_KINDS:
            flight.gone = flight.ended = True
        if flight.alone and failure.run_state is not RunState.NOT_RUN:
            self._claim_ids.pop(flight.request.fingerprint, None)
        if flight.crash is None:
            return failure
        return await self._crash_verdict(flight, flight.crash, failure)

    def _shows_break(self, flight: Flight, failure: UpstreamError) -> bool:
        """Return whether a failure means that the upstream broke."""
        if failure.run_state is RunState.NOT_RUN:
            return False
        restarted = self._incarnation > flight.incarnation
        return restarted or failure.kind is UpstreamErrorKind.RESET

    async def _crash_verdict(
        self, flight: Flight, record: CrashRecord, failure: UpstreamError
    ) -> RequestFailedError:
        with anyio.CancelScope(shield=True):
            await record.done.wait()
        fingerprint = flight.request.fingerprint
        if fingerprint in record.quarantined:
            return _quarantined(fingerprint, RunState.RAN)
        if fingerprint in record.failed:
            return QuarantinedError(
                f"upstream {self._grant.upstream} broke while it ran {fingerprint}, "
                "and that could not be recorded; do not send the request elsewhere",
                run_state=RunState.UNKNOWN,
            )
        return failure

    def _check_reply(
        self, request: ShardRequest, reply: ShardReply, incarnation: int
    ) -> None:
        """Refuse a reply that does not belong to the request.

        Raises:
            UpstreamError: MISMATCH; run only if it is complete and its own.
        """
        if reply.incarnation > self._incarnation:
            self._restarted(reply.incarnation)
        run_state = RunState.UNKNOWN
        if reply.request_id != request.request_id:
            what = f"request {reply.request_id}"
        elif reply.upstream != request.upstream:
            what = f"upstream {reply.upstream}"
        elif reply.incarnation not in (incarnation, self._announcement.incarnation):
            what = f"incarnation {reply.incarnation}"
        elif request.snapshot not in (None, reply.snapshot):
            what = f"snapshot {reply.snapshot}"
            if reply.complete and request.kind is not WorkKind.SUBMIT:
                run_state = RunState.RAN
        else:
            return
        raise UpstreamError(
            f"upstream {self._grant.upstream} answered for {what} instead; ask again",
            kind=UpstreamErrorKind.MISMATCH,
            run_state=run_state,
        )

    def _settle(self, flight: Flight) -> None:
        """Stop awaiting a request; count on what the upstream may still hold."""
        flight.active = False
        if not flight.began:
            flight.gone = flight.ended = True
        if not flight.gone:
            self._lingering.add(flight)
        self._flight_changed(flight)

    def _flight_changed(self, flight: Flight) -> None:
        if flight.gone:
            self._lingering.discard(flight)
        if flight.ended and not flight.active:
            self._flights.discard(flight)
        self._pump()

    def _count_flights(self) -> int:
        self._flights.expire(self._clock.monotonic_ms())
        return len(self._flights)

    def _service_time_ms(self) -> float:
        return self._times.median_ms() or self._settings.initial_service_time_ms

    def _latest_wait_ms(self, deadline_ms: float) -> float:
        """Return how long a request can still wait and be answered in time."""
        return deadline_ms - self._service_time_ms() - self._clock.monotonic_ms()


def _quarantined(fingerprint: str, run_state: RunState) -> QuarantinedError:
    return QuarantinedError(
        f"fingerprint {fingerprint} broke two upstreams and is refused everywhere; "
        "an operator can look at it with 'cuminbendctl status'",
        run_state=run_state,
    )


def _seconds(value_ms: float) -> float:
    return max(0.0, value_ms) / 1000.0
