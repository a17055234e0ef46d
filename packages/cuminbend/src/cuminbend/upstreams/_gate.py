"""Admission of work to one upstream at its single owner."""

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio

from cuminbend.exceptions import (
    QuarantinedError,
    RequestFailedError,
    RunState,
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
from cuminbend.upstreams import _refusals
from cuminbend.upstreams._admission import Admission, seconds
from cuminbend.upstreams._base import LeaseView, MemberShares
from cuminbend.upstreams._crashes import CrashLog
from cuminbend.upstreams._exchange import (
    COLD_KINDS,
    UNFINISHED_KINDS,
    as_failure,
    check_reply,
    timed_out,
)
from cuminbend.upstreams._flight import Flight
from cuminbend.upstreams._queue import Ticket
from cuminbend.upstreams._service_time import ServiceTimes
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._slow_start import SlowStart
from cuminbend.upstreams._suspects import CanaryTurn, SuspectMemory

logger = logging.getLogger(__name__)


def _always(_data_centre: str) -> bool:
    return True


class UpstreamGate:
    """Sends work to one upstream within its limits.

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
        self._upstream = grant.upstream
        self._announcement = announcement
        self._incarnation = announcement.incarnation
        self._grant = grant
        self._transport = transport
        self._clock = clock
        self._lease = lease
        if suspects is None:
            suspects = SuspectMemory(settings=settings, clock=clock)
        self._suspects = suspects
        self._data_centre_in_service = data_centre_in_service
        self._canaries: dict[str, CanaryTurn] = {}
        self._leaving = announcement.state is UpstreamState.LEAVING
        self._draining_until_ms = float("-inf")
        self._stopped: str | None = None
        self._out_of_service = False
        self._times = ServiceTimes(clock=clock)
        self._slow_start = SlowStart(
            settings=settings, clock=clock, random=random, slots=announcement.slots
        )
        self._crashes = CrashLog(
            settings=settings,
            upstream=grant.upstream,
            control=control,
            random=random,
            suspects=suspects,
        )
        self._admission = Admission(
            settings=settings,
            upstream=grant.upstream,
            clock=clock,
            shares=shares,
            slow_start=self._slow_start,
            times=self._times,
            open_connections=lambda: transport.open_connections(grant.upstream),
            connection_cap=grant.connection_cap,
        )
        self._adopt_handover(grant.handover)

    def _adopt_handover(self, handover: GateHandover | None) -> None:
        if handover is None:
            return
        for index in range(handover.lingering_connections):
            self._admission.lingering.add((self._grant.grant_id, index))
        if handover.incarnation == self._incarnation:
            self._slow_start.adopt(handover.limit)

    async def run(self, request: ShardRequest) -> ShardReply:
        """Wait for admission, send the request and return the verified reply.

        Cancelling the call cancels the exchange.

        Raises:
            SuspectError: If it is a canary of a known suspect.
            QuarantinedError: If it may not be sent to any upstream.
            RequestFailedError: With the true run state; see its subclasses.
        """
        deadline_ms = self._clock.monotonic_ms() + request.budget_ms
        if self._admission.flights.has_unawaited():
            await self._record_abandoned()
        if request.kind is WorkKind.CANARY:
            return await self._run_canary(request, deadline_ms)
        if request.kind is WorkKind.SUSPECT:
            return await self._run_suspect(request, deadline_ms)
        return await self._run_admitted(Ticket(request, deadline_ms))

    def regranted(self, grant: OwnedUpstream) -> None:
        """Adopt a new grant of the upstream that this gate already serves.

        Another instance may have owned it in between, so the gate goes on with the
        limit that was handed over, or cold. What it counts itself stays counted.
        """
        if grant.grant_id <= self._grant.grant_id:
            return
        self._grant = grant
        self._stopped = None
        self._admission.connection_cap = grant.connection_cap
        self._slow_start.reset("new grant")
        self._adopt_handover(grant.handover)
        self._admission.pump()

    def update_announcement(self, announcement: Announcement) -> None:
        """Adopt what the upstream announces, unless an older incarnation said it."""
        if announcement.incarnation < self._incarnation:
            return
        known = self._announcement
        self._announcement = announcement
        self._slow_start.resize(announcement.slots)
        if announcement.incarnation > self._incarnation:
            self._restarted(announcement.incarnation)
        elif (
            announcement.state is UpstreamState.COLD
            and known.state is not UpstreamState.COLD
        ):
            self._slow_start.reset("announced cold")
        # The load may lag, so it is compared with the most that was in flight.
        self._slow_start.report_load(announcement.load, self._admission.peak_in_flight)
        self._admission.peak_in_flight = self._admission.count_flights()
        self._adopt_state(announcement.state)
        self._admission.pump()

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
            self._upstream,
            incarnation,
        )

    def _leave(self, reason: str) -> None:
        if not self._leaving:
            logger.info(
                'event=upstream_leaving upstream=%s reason="%s"', self._upstream, reason
            )
        self._leaving = True
        self._admission.refuse_waiting(lambda: _refusals.leaving(self._upstream))

    def stop_admitting(self, reason: str) -> None:
        """Refuse queued and new work as not run; work in flight goes on."""
        self._stopped = reason
        self._admission.refuse_waiting(lambda: self._stopped_error(reason))

    def _stopped_error(self, reason: str) -> RequestFailedError:
        return _refusals.stopped(self._upstream, reason, self._settings.hold_ms)

    def data_centre_changed(self) -> None:
        """Refuse queued work if the data centre is out; it comes back cold."""
        data_centre = self._announcement.data_centre
        out_of_service = not self._data_centre_in_service(data_centre)
        if out_of_service and not self._out_of_service:
            self._slow_start.reset("data centre out of service")
        self._out_of_service = out_of_service
        if out_of_service:
            self._admission.refuse_waiting(
                lambda: _refusals.out_of_service(data_centre)
            )

    async def release(self) -> GateHandover:
        """Refuse queued work, finish work in flight and close all connections.

        Requests that were given up count as in flight until their deadline, because
        the next owner does not know of them.
        """
        self.stop_admitting("its ownership ends")
        await self._admission.drained()
        await self._transport.close(self._upstream)
        return GateHandover(
            upstream=self._upstream,
            incarnation=self._incarnation,
            limit=self._slow_start.earned_limit,
            lingering_connections=self._admission.lingering.count(),
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the gate for a state dump."""
        return {
            "upstream": self._upstream,
            "incarnation": self._incarnation,
            "grant_id": self._grant.grant_id,
            "leaving": self._leaving,
            "stopped": self._stopped,
            "limit": self._slow_start.limit,
            "last_reset": self._slow_start.last_reset,
            "time_limit_ms": self._time_limit_ms(),
            **self._admission.dump(),
        }

    async def _run_canary(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        """Run a canary unless an equal one is in flight; then wait for that one."""
        fingerprint = request.fingerprint
        while True:
            turn = self._canaries.get(fingerprint)
            if turn is None:
                self._suspects.check(fingerprint)
                return await self._run_first_canary(request, deadline_ms)
            wait_ms = self._admission.latest_wait_ms(deadline_ms)
            with anyio.move_on_after(seconds(wait_ms)):
                await turn.done.wait()
            if not turn.done.is_set():
                raise self._admission.too_late()
            if turn.answered:
                return await self._run_admitted(Ticket(request, deadline_ms))
            if turn.refusal is not None:
                raise QuarantinedError(turn.refusal, run_state=RunState.NOT_RUN)

    async def _run_first_canary(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        turn = self._canaries[request.fingerprint] = CanaryTurn()
        try:
            reply = await self._run_admitted(
                Ticket(request, deadline_ms, unproven=True)
            )
        except QuarantinedError as error:
            turn.refusal = str(error)
            raise
        except RequestFailedError as error:
            turn.answered = error.run_state is RunState.RAN
            raise
        else:
            turn.answered = True
            return reply
        finally:
            del self._canaries[request.fingerprint]
            turn.done.set()

    async def _run_suspect(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        ticket = Ticket(request, deadline_ms, unproven=True, alone=True)
        try:
            reply = await self._run_admitted(ticket)
        except UpstreamError as error:
            if error.run_state is RunState.RAN:
                await self._crashes.clear(request.fingerprint)
            raise
        await self._crashes.clear(request.fingerprint)
        return reply

    async def _run_admitted(self, ticket: Ticket) -> ShardReply:
        flight = self._admission.admit_at_once(ticket)
        if flight is None:
            self._check_startable(ticket.deadline_ms)
            flight = await self._admission.admit(ticket)
        try:
            if flight.alone:
                await self._crashes.claim(flight.request.fingerprint)
            self._check_startable(flight.deadline_ms)
            return await self._exchange(flight)
        finally:
            self._admission.settle(flight)

    def _check_startable(self, deadline_ms: float) -> None:
        """Check what has to hold immediately before an exchange.

        Raises:
            RequestFailedError: Not run.
        """
        data_centre = self._announcement.data_centre
        if self._stopped is not None:
            raise self._stopped_error(self._stopped)
        if self._leaving:
            raise _refusals.leaving(self._upstream)
        if not self._data_centre_in_service(data_centre):
            raise _refusals.out_of_service(data_centre)
        if self._admission.latest_wait_ms(deadline_ms) < 0:
            raise self._admission.too_late()
        ends_ms = deadline_ms + self._settings.transit_ms
        if not self._lease.is_valid(ends_ms - self._clock.monotonic_ms()):
            raise _refusals.lease_too_short(self._settings.hold_ms)

    async def _exchange(self, flight: Flight) -> ShardReply:
        began_ms = self._clock.monotonic_ms()
        remaining_ms = flight.deadline_ms - began_ms
        # The upstream has to see the deadline that the gate counts with.
        request = replace(flight.request, budget_ms=remaining_ms)
        limit_ms = self._exchange_limit_ms(request, remaining_ms)
        claim_id = self._crashes.use_claim(request.fingerprint) if flight.alone else ""
        reply: ShardReply | None = None
        flight.began = True
        flight.incarnation = self._incarnation
        try:
            with anyio.move_on_after(seconds(limit_ms)):
                reply = await self._transport.exchange(
                    self._announcement, request, limit_ms, flight
                )
            if reply is None:
                raise timed_out(self._upstream, limit_ms)
        except anyio.get_cancelled_exc_class():
            waited_ms = self._clock.monotonic_ms() - began_ms
            self._slow_start.cancelled(waited_ms, flight.epoch)
            raise
        except Exception as error:
            failure = as_failure(error, request)
            if failure.run_state is RunState.NOT_RUN and claim_id:
                self._crashes.return_claim(request.fingerprint, claim_id)
            finished = failure is error and failure.kind not in UNFINISHED_KINDS
            waited_ms = self._clock.monotonic_ms() - began_ms
            self._learn_from_failure(flight, failure, waited_ms)
            await self._record_break(flight, failure)
            if finished:
                flight.gone = flight.ended = True
            verdict = await self._crashes.verdict(flight, failure)
            if verdict is error:
                raise
            raise verdict from error
        # A reply to another request says nothing about this one.
        flight.gone = flight.ended = reply.request_id == request.request_id
        self._replied(flight, reply, self._clock.monotonic_ms() - began_ms)
        self._admission.flights.survived(began_ms)
        if flight.crash is not None:
            await flight.crash.done.wait()
            await self._crashes.clear(request.fingerprint)
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
        limit_ms = settings.time_limit_factor * p95_ms
        if self._slow_start.is_warm:
            return limit_ms
        # A cold upstream is slower than the replies recorded while it was warm.
        return max(limit_ms, settings.initial_time_limit_ms)

    def _replied(
        self, flight: Flight, reply: ShardReply, service_time_ms: float
    ) -> None:
        known = frozenset({flight.incarnation, self._incarnation})
        if reply.incarnation > self._incarnation:
            self._restarted(reply.incarnation)
        check_reply(flight.request, reply, known)
        self._times.record(service_time_ms)
        self._slow_start.succeeded(service_time_ms, flight.epoch)

    def _learn_from_failure(
        self, flight: Flight, failure: UpstreamError, waited_ms: float
    ) -> None:
        if failure.kind in COLD_KINDS:
            self._slow_start.reset(failure.kind, flight.epoch)
        elif failure.kind is UpstreamErrorKind.TIMEOUT:
            self._times.record(waited_ms, answered=False)
            self._slow_start.slow(waited_ms, flight.epoch)
        elif failure.kind is UpstreamErrorKind.DRAINING:
            self._draining_until_ms = (
                self._clock.monotonic_ms() + self._settings.draining_memory_ms
            )
            self._leave("refused work as draining")

    async def _record_break(self, flight: Flight, failure: UpstreamError) -> None:
        """Record the unproven requests in flight if a failure shows a break."""
        unproven = [
            other
            for other in self._admission.flights.unproven()
            if other.incarnation <= flight.incarnation
        ]
        was_reset = (
            failure.kind is UpstreamErrorKind.RESET
            and failure.run_state is not RunState.NOT_RUN
        )
        has_restarted = (
            self._incarnation > flight.incarnation
            and failure.run_state is RunState.UNKNOWN
        )
        if was_reset or has_restarted:
            await self._crashes.record(unproven)
        elif failure.kind is UpstreamErrorKind.CONNECT:
            # Nobody awaits abandoned requests, so a refused connection is the first
            # sign that one of them broke the upstream.
            await self._crashes.record([f for f in unproven if not f.active])

    async def _record_abandoned(self) -> None:
        """Record abandoned unproven requests whose upstream has since restarted."""
        await self._crashes.record(
            [
                flight
                for flight in self._admission.flights.unproven()
                if not flight.active and flight.incarnation < self._incarnation
            ]
        )
