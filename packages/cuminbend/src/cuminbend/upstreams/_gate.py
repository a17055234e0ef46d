"""Admission and exchange of the requests to one upstream at its single owner."""

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
from cuminbend.upstreams._admission import Admission, to_seconds
from cuminbend.upstreams._admitted import AdmittedRequest
from cuminbend.upstreams._base import LeaseView, MemberShares
from cuminbend.upstreams._crashes import CrashRecorder
from cuminbend.upstreams._exchange import (
    SLOW_START_KINDS,
    UNFINISHED_KINDS,
    check_reply,
    timeout_error,
    to_upstream_error,
)
from cuminbend.upstreams._queue import Ticket
from cuminbend.upstreams._service_time import ServiceTimes
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._slow_start import SlowStart
from cuminbend.upstreams._suspects import CanaryRun, SuspectCache

logger = logging.getLogger(__name__)


def _always_in_service(_data_centre: str) -> bool:
    return True


class UpstreamGate:
    """Sends requests to one upstream within its limits.

    Args:
        shares: Weights of the members in the queue.
        suspects: Cache shared by the gates of an instance; by default the gate has its
            own.
        data_centre_in_service: Returns whether a data centre may get requests.
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
        suspects: SuspectCache | None = None,
        data_centre_in_service: Callable[[str], bool] = _always_in_service,
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
            suspects = SuspectCache(settings=settings, clock=clock)
        self._suspects = suspects
        self._data_centre_in_service = data_centre_in_service
        self._canary_runs: dict[str, CanaryRun] = {}
        self._is_leaving = announcement.state is UpstreamState.LEAVING
        self._draining_until_ms = float("-inf")
        self._stop_reason: str | None = None
        self._is_out_of_service = False
        self._service_times = ServiceTimes(clock=clock)
        self._slow_start = SlowStart(
            settings=settings, clock=clock, random=random, slots=announcement.slots
        )
        self._crash_recorder = CrashRecorder(
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
            service_times=self._service_times,
            open_connection_count=lambda: transport.open_connection_count(
                grant.upstream
            ),
            connection_cap=grant.connection_cap,
        )
        self._adopt_handover(grant.handover)

    def _adopt_handover(self, handover: GateHandover | None) -> None:
        if handover is None:
            return
        for index in range(handover.lingering_connections):
            self._admission.lingering.add((self._grant.grant_id, index))
        if handover.incarnation == self._incarnation:
            self._slow_start.adopt_limit(handover.limit)

    async def run(self, request: ShardRequest) -> ShardReply:
        """Wait for admission, send the request and return the verified reply.

        Cancelling the call cancels the exchange.

        Raises:
            SuspectError: If the request is a canary of a known suspect.
            QuarantinedError: If the request may not be sent to any upstream.
            RequestFailedError: If the request fails, with its run state; see its
                subclasses.
        """
        deadline_ms = self._clock.monotonic_ms() + request.budget_ms
        if self._admission.admitted_requests.has_abandoned_or_expired():
            await self._record_abandoned_requests()
        if request.kind is WorkKind.CANARY:
            return await self._run_canary(request, deadline_ms)
        if request.kind is WorkKind.SUSPECT:
            return await self._run_suspect(request, deadline_ms)
        return await self._run_admitted(Ticket(request, deadline_ms))

    def renew_grant(self, grant: OwnedUpstream) -> None:
        """Adopt a new grant of the upstream that this gate already serves.

        A grant that is not newer than the current one is ignored.

        Another instance may have owned the upstream in between, so the gate continues
        with the limit of the handover, or cold without one. Requests and connections
        that the gate counts still count.
        """
        if grant.grant_id <= self._grant.grant_id:
            return
        self._grant = grant
        self._stop_reason = None
        self._admission.connection_cap = grant.connection_cap
        self._slow_start.reset("new grant")
        self._adopt_handover(grant.handover)
        self._admission.admit_waiting()

    def update_announcement(self, announcement: Announcement) -> None:
        """Adopt an announcement, unless it is from an older incarnation."""
        if announcement.incarnation < self._incarnation:
            return
        previous = self._announcement
        self._announcement = announcement
        self._slow_start.set_slots(announcement.slots)
        if announcement.incarnation > self._incarnation:
            self._handle_restart(announcement.incarnation)
        elif (
            announcement.state is UpstreamState.COLD
            and previous.state is not UpstreamState.COLD
        ):
            self._slow_start.reset("announced cold")
        # The reported load may lag, so it is compared with the peak number of requests
        # in flight.
        self._slow_start.report_load(announcement.load, self._admission.peak_in_flight)
        self._admission.peak_in_flight = self._admission.count_in_flight()
        self._adopt_state(announcement.state)
        self._admission.admit_waiting()

    def _adopt_state(self, state: UpstreamState) -> None:
        if state is UpstreamState.LEAVING:
            self._handle_leaving("announced as leaving")
        elif self._is_leaving and self._clock.monotonic_ms() >= self._draining_until_ms:
            self._is_leaving = False
            self._slow_start.reset("returned after leaving")

    def _handle_restart(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._is_leaving = False
        self._draining_until_ms = float("-inf")
        self._slow_start.reset("new incarnation")
        logger.info(
            "event=upstream_restarted upstream=%s incarnation=%d",
            self._upstream,
            incarnation,
        )

    def _handle_leaving(self, reason: str) -> None:
        if not self._is_leaving:
            logger.info(
                'event=upstream_leaving upstream=%s reason="%s"', self._upstream, reason
            )
        self._is_leaving = True
        self._admission.refuse_waiting(lambda: _refusals.leaving_error(self._upstream))

    def stop_admitting(self, reason: str) -> None:
        """Refuse queued and new requests as not run; requests in flight continue."""
        self._stop_reason = reason
        self._admission.refuse_waiting(lambda: self._stopped_error(reason))

    def _stopped_error(self, reason: str) -> RequestFailedError:
        return _refusals.stopped_error(
            self._upstream, reason, self._settings.reset_hold_ms
        )

    def update_data_centre(self) -> None:
        """Refuse queued requests if the data centre is out of service.

        The upstream is cold when the data centre returns to service.
        """
        data_centre = self._announcement.data_centre
        out_of_service = not self._data_centre_in_service(data_centre)
        if out_of_service and not self._is_out_of_service:
            self._slow_start.reset("data centre out of service")
        self._is_out_of_service = out_of_service
        if out_of_service:
            self._admission.refuse_waiting(
                lambda: _refusals.out_of_service_error(data_centre)
            )

    async def release(self) -> GateHandover:
        """Refuse queued requests, wait for those in flight and close all connections.

        Abandoned requests count as in flight until their deadline, because the next
        owner does not know of them.
        """
        self.stop_admitting("its ownership ends")
        await self._admission.wait_until_drained()
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
            "leaving": self._is_leaving,
            "stopped": self._stop_reason,
            "limit": self._slow_start.limit,
            "last_reset": self._slow_start.last_reset,
            "time_limit_ms": self._time_limit_ms(),
            **self._admission.dump(),
        }

    async def _run_canary(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        """Run a canary, after waiting for one in flight with the same fingerprint."""
        fingerprint = request.fingerprint
        while True:
            canary_run = self._canary_runs.get(fingerprint)
            if canary_run is None:
                self._suspects.raise_if_suspect(fingerprint)
                return await self._run_first_canary(request, deadline_ms)
            wait_ms = self._admission.latest_wait_ms(deadline_ms)
            with anyio.move_on_after(to_seconds(wait_ms)):
                await canary_run.done.wait()
            if not canary_run.done.is_set():
                raise self._admission.too_late_error()
            if canary_run.was_answered:
                return await self._run_admitted(Ticket(request, deadline_ms))
            if canary_run.refusal_reason is not None:
                raise QuarantinedError(
                    canary_run.refusal_reason, run_state=RunState.NOT_RUN
                )

    async def _run_first_canary(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        canary_run = self._canary_runs[request.fingerprint] = CanaryRun()
        try:
            reply = await self._run_admitted(
                Ticket(request, deadline_ms, is_unproven=True)
            )
        except QuarantinedError as error:
            canary_run.refusal_reason = str(error)
            raise
        except RequestFailedError as error:
            canary_run.was_answered = error.run_state is RunState.RAN
            raise
        else:
            canary_run.was_answered = True
            return reply
        finally:
            del self._canary_runs[request.fingerprint]
            canary_run.done.set()

    async def _run_suspect(
        self, request: ShardRequest, deadline_ms: float
    ) -> ShardReply:
        ticket = Ticket(request, deadline_ms, is_unproven=True, must_run_alone=True)
        try:
            reply = await self._run_admitted(ticket)
        except UpstreamError as error:
            if error.run_state is RunState.RAN:
                await self._crash_recorder.clear_suspect(request.fingerprint)
            raise
        await self._crash_recorder.clear_suspect(request.fingerprint)
        return reply

    async def _run_admitted(self, ticket: Ticket) -> ShardReply:
        admitted = self._admission.admit_at_once(ticket)
        if admitted is None:
            self._check_may_start(ticket.deadline_ms)
            admitted = await self._admission.admit(ticket)
        try:
            if admitted.must_run_alone:
                await self._crash_recorder.claim_run(admitted.request.fingerprint)
            self._check_may_start(admitted.deadline_ms)
            return await self._exchange(admitted)
        finally:
            self._admission.stop_awaiting(admitted)

    def _check_may_start(self, deadline_ms: float) -> None:
        """Check the conditions that must hold immediately before an exchange.

        Raises:
            RequestFailedError: If a condition does not hold; the request has not run.
        """
        data_centre = self._announcement.data_centre
        if self._stop_reason is not None:
            raise self._stopped_error(self._stop_reason)
        if self._is_leaving:
            raise _refusals.leaving_error(self._upstream)
        if not self._data_centre_in_service(data_centre):
            raise _refusals.out_of_service_error(data_centre)
        if self._admission.latest_wait_ms(deadline_ms) < 0:
            raise self._admission.too_late_error()
        latest_end_ms = deadline_ms + self._settings.transit_ms
        if not self._lease.is_valid(latest_end_ms - self._clock.monotonic_ms()):
            raise _refusals.lease_too_short_error(self._settings.reset_hold_ms)

    async def _exchange(self, admitted: AdmittedRequest) -> ShardReply:
        began_ms = self._clock.monotonic_ms()
        remaining_ms = admitted.deadline_ms - began_ms
        # The upstream must get the same deadline that the gate uses.
        request = replace(admitted.request, budget_ms=remaining_ms)
        limit_ms = self._exchange_limit_ms(request, remaining_ms)
        claim_id = (
            self._crash_recorder.take_claim(request.fingerprint)
            if admitted.must_run_alone
            else ""
        )
        reply: ShardReply | None = None
        admitted.exchange_began = True
        admitted.incarnation = self._incarnation
        try:
            with anyio.move_on_after(to_seconds(limit_ms)):
                reply = await self._transport.exchange(
                    self._announcement, request, limit_ms, admitted
                )
            if reply is None:
                raise timeout_error(self._upstream, limit_ms)
        except anyio.get_cancelled_exc_class():
            waited_ms = self._clock.monotonic_ms() - began_ms
            self._slow_start.record_cancelled(waited_ms, admitted.epoch)
            raise
        except Exception as error:
            failure = to_upstream_error(error, request)
            if failure.run_state is RunState.NOT_RUN and claim_id:
                self._crash_recorder.keep_claim(request.fingerprint, claim_id)
            has_finished = failure is error and failure.kind not in UNFINISHED_KINDS
            waited_ms = self._clock.monotonic_ms() - began_ms
            self._adjust_to_failure(admitted, failure, waited_ms)
            await self._record_crash(admitted, failure)
            if has_finished:
                admitted.is_connection_closed = admitted.has_ended = True
            raised_error = await self._crash_recorder.resolve_failure(admitted, failure)
            if raised_error is error:
                raise
            raise raised_error from error
        # A reply to another request does not show that this request has ended.
        admitted.is_connection_closed = admitted.has_ended = (
            reply.request_id == request.request_id
        )
        self._handle_reply(admitted, reply, self._clock.monotonic_ms() - began_ms)
        self._admission.admitted_requests.record_answer(began_ms)
        if admitted.crash_record is not None:
            await admitted.crash_record.done.wait()
            await self._crash_recorder.clear_suspect(request.fingerprint)
        return reply

    def _exchange_limit_ms(self, request: ShardRequest, remaining_ms: float) -> float:
        if request.kind is WorkKind.SUBMIT:
            return remaining_ms
        limit_ms = min(
            self._time_limit_ms(), remaining_ms * self._settings.max_budget_share
        )
        return min(max(limit_ms, self._settings.min_time_limit_ms), remaining_ms)

    def _time_limit_ms(self) -> float:
        settings = self._settings
        p95_ms = self._service_times.p95_ms()
        if p95_ms is None:
            return settings.initial_time_limit_ms
        limit_ms = settings.time_limit_factor * p95_ms
        if self._slow_start.is_warm:
            return limit_ms
        # A cold upstream is slower than the recorded replies of the warm upstream.
        return max(limit_ms, settings.initial_time_limit_ms)

    def _handle_reply(
        self, admitted: AdmittedRequest, reply: ShardReply, service_time_ms: float
    ) -> None:
        known_incarnations = frozenset({admitted.incarnation, self._incarnation})
        if reply.incarnation > self._incarnation:
            self._handle_restart(reply.incarnation)
        check_reply(admitted.request, reply, known_incarnations)
        self._service_times.record(service_time_ms)
        self._slow_start.record_success(service_time_ms, admitted.epoch)

    def _adjust_to_failure(
        self, admitted: AdmittedRequest, failure: UpstreamError, waited_ms: float
    ) -> None:
        if failure.kind in SLOW_START_KINDS:
            self._slow_start.reset(failure.kind, admitted.epoch)
        elif failure.kind is UpstreamErrorKind.TIMEOUT:
            self._service_times.record(waited_ms, was_answered=False)
            self._slow_start.record_slow(waited_ms, admitted.epoch)
        elif failure.kind is UpstreamErrorKind.DRAINING:
            self._draining_until_ms = (
                self._clock.monotonic_ms() + self._settings.draining_closed_ms
            )
            self._handle_leaving("refused work as draining")

    async def _record_crash(
        self, admitted: AdmittedRequest, failure: UpstreamError
    ) -> None:
        """Record the unproven requests in flight if a failure indicates a crash."""
        candidates = [
            other
            for other in self._admission.admitted_requests.crash_candidates()
            if other.incarnation <= admitted.incarnation
        ]
        was_reset = (
            failure.kind is UpstreamErrorKind.RESET
            and failure.run_state is not RunState.NOT_RUN
        )
        has_restarted = (
            self._incarnation > admitted.incarnation
            and failure.run_state is RunState.UNKNOWN
        )
        if was_reset or has_restarted:
            await self._crash_recorder.record_crash(candidates)
        elif failure.kind is UpstreamErrorKind.CONNECT:
            # No failure is seen for abandoned requests, so a refused connection is the
            # first sign that one of them crashed the upstream.
            await self._crash_recorder.record_crash(
                [candidate for candidate in candidates if not candidate.is_awaited]
            )

    async def _record_abandoned_requests(self) -> None:
        """Record abandoned unproven requests if the upstream has restarted since."""
        await self._crash_recorder.record_crash(
            [
                admitted
                for admitted in self._admission.admitted_requests.crash_candidates()
                if not admitted.is_awaited and admitted.incarnation < self._incarnation
            ]
        )
