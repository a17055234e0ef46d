"""A request that is sent to every shard and answered with the merged records."""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from http import HTTPStatus

from cuminbend.crashes import Verdict
from cuminbend.forwarding import (
    RECORD_BYTES,
    PartCollector,
    Route,
    ShardPart,
    admission_probability,
    fan_out_capacity_wait_ms,
    plan_fan_out,
)

from cuminbendd.entry._delegation import Delegation, Peer
from cuminbendd.entry._forwarding import (
    ForwardingContext,
    rejection_response,
)
from cuminbendd.entry._peers import Delegate, Merged
from cuminbendd.entry._shards import ShardFanOut
from cuminbendd.http1 import HttpRequest, HttpResponse, Responder

logger = logging.getLogger(__name__)

# A request without an answer is answered with a failure this long before its deadline,
# so that the answer arrives in time.
_DEADLINE_MARGIN_MS = 15.0
# Length of the signature of a part in an answer, with its separator.
_SIGNATURE_BYTES = 32
# An event loop that runs late handles its timers before it reads. Messages that other
# instances sent in time may be waiting then, so they get this long to be read.
_READ_GRACE_MS = 1.0
# Time reserved for reading and merging a message that another instance sends at the
# last moment.
_MERGE_MARGIN_MS = 1.5


class FanOutRequest:
    """Queries all shards of a route and answers with the parts that arrive in time."""

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
        self._answer_by_ms = self._received_ms + context.settings.answer_within_ms(
            route.objective_ms,
            request.travel_ms,
            len(route.shards) * _SIGNATURE_BYTES + route.top_k * RECORD_BYTES,
        )
        self._collector = PartCollector(
            shards=route.shards, min_coverage=route.min_coverage
        )
        self._fan_out = self._new_fan_out(route.max_attempts)
        # For the shards of a group that another instance did not accept in time. That
        # instance may have sent one attempt to each of them, so one less is allowed.
        self._fallback = self._new_fan_out(route.max_attempts - 1)
        self._delegations: list[Delegation] = []
        self._helpers: list[Peer] = []
        # Shards that a suspect request is sent to once another shard has answered it.
        self._held_shards: tuple[str, ...] = ()
        self._loop = asyncio.get_running_loop()
        self._timers: list[asyncio.TimerHandle] = []
        self._objective_passed = False
        self._is_starting = True
        self._is_answered = False

    def _new_fan_out(self, max_attempts: int) -> ShardFanOut:
        return ShardFanOut(
            context=self._context,
            prepared=self._prepared,
            hedging=self._state.hedging,
            max_attempts=max_attempts,
            retry_until_ms=self._answer_by_ms,
            on_part=self._on_part,
            on_progress=self._answer_if_due,
        )

    @property
    def _request_id(self) -> str:
        return self._prepared.request_id.decode("latin-1")

    def start(self) -> None:
        """Send one attempt to each shard, directly or through other instances."""
        upstreams = self._context.upstreams
        self._responder.on_abandoned = self._on_caller_left
        verdict = self._context.admit_suspect(self._prepared)
        if verdict is Verdict.QUARANTINED:
            self._stop_sending()
            self._answer_rejection(
                self._context.quarantine_left_ms(self._prepared), "quarantined"
            )
            return
        data_centres_by_shard = {
            name: upstreams.serving_data_centres(name) for name in self._route.shards
        }
        if not self._collector.can_succeed(
            sum(map(bool, data_centres_by_shard.values()))
        ):
            self._answer_failure("too_few_upstreams")
            return
        capacity_wait_ms = self._capacity_wait_ms()
        if not self._is_admitted(capacity_wait_ms):
            self._stop_sending()
            self._answer_rejection(capacity_wait_ms, "overload")
            return
        if verdict is Verdict.SUSPECT:
            self._start_canary(data_centres_by_shard)
        else:
            self._start_shards(self._route.shards, data_centres_by_shard)
        self._is_starting = False
        self._start_timers()
        self._answer_if_due()

    def _start_canary(
        self, data_centres_by_shard: Mapping[str, frozenset[str]]
    ) -> None:
        """Send a suspect request to one shard, and hold the others until it answers.

        Source: Dean and Barroso, "The Tail at Scale", CACM 2013 (canary requests).
        """
        canary = next(
            shard for shard in self._route.shards if data_centres_by_shard[shard]
        )
        self._held_shards = tuple(
            shard for shard in self._route.shards if shard != canary
        )
        self._fan_out.start((canary,))

    def _start_held_shards(self) -> None:
        held_shards, self._held_shards = self._held_shards, ()
        upstreams = self._context.upstreams
        self._start_shards(
            held_shards,
            {name: upstreams.serving_data_centres(name) for name in held_shards},
        )

    def _start_shards(
        self,
        shards: tuple[str, ...],
        data_centres_by_shard: Mapping[str, frozenset[str]],
    ) -> None:
        """Send one attempt to each shard, directly or through other instances."""
        peers = self._context.peers
        plan = plan_fan_out(
            shards,
            own_data_centre=self._context.settings.data_centre,
            data_centres_by_shard=data_centres_by_shard,
            helper_counts=peers.usable_counts() if peers else {},
        )
        direct = plan.direct
        for data_centre, group in plan.delegated:
            if not self._delegate_group(data_centre, group):
                direct += group
        self._fan_out.start(direct)

    def _is_admitted(self, capacity_wait_ms: float) -> bool:
        """Return whether to start the request; under overload by a random draw."""
        probability = admission_probability(
            capacity_wait_ms=capacity_wait_ms,
            service_ms=self._state.hedging.service_ms,
            time_left_ms=self._answer_by_ms - self._context.clock.monotonic_ms(),
            priority=self._route.priority,
        )
        return probability >= 1.0 or random.random() < probability

    def _start_timers(self) -> None:
        now_ms = self._context.clock.monotonic_ms()
        deadline_ms = self._prepared.deadline_ms - _DEADLINE_MARGIN_MS
        self._call_later(self._answer_by_ms - now_ms, self._on_objective_reached)
        self._call_later(deadline_ms - now_ms, self._on_deadline)

    def _call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        delay_s = max(0.0, delay_ms) / 1000
        self._timers.append(self._loop.call_later(delay_s, action))

    @property
    def _pending_count(self) -> int:
        """Number of shards whose part is missing but may still arrive."""
        delegated = sum(
            not self._collector.has_part(shard)
            for delegation in self._delegations
            if delegation.is_open
            for shard in delegation.shards
        )
        own = self._fan_out.pending_count + self._fallback.pending_count
        return delegated + own + len(self._held_shards)

    # Parts

    def _on_part(self, shard: str, part: ShardPart) -> bool:
        is_accepted = self._collector.add(shard, part)
        if is_accepted and self._held_shards and not self._is_answered:
            self._start_held_shards()
        return is_accepted

    def _delegate_group(self, data_centre: str, group: tuple[str, ...]) -> bool:
        """Delegate a group to an instance in a data centre.

        Instances that were given a group of this request before are not chosen again.

        Args:
            data_centre: Data centre of the instance.
            group: Shards to delegate.

        Returns:
            Whether there is a usable instance.
        """
        peers = self._context.peers
        peer = peers.choose_peer(data_centre, self._helpers) if peers else None
        if peer is None:
            return False
        self._helpers.append(peer)
        delegation = Delegation(
            shards=group, on_merged=self._on_merged, on_failed=self._on_helper_failed
        )
        self._delegations.append(delegation)
        route, prepared = self._route, self._prepared

        def build_delegate(task_id: int, round_trip_ms: float) -> Delegate:
            now_ms = self._context.clock.monotonic_ms()
            answer_in_ms = self._answer_by_ms - now_ms - round_trip_ms
            return Delegate(
                task_id=task_id,
                request_id=prepared.request_id,
                head=prepared.head,
                body=prepared.body,
                shards=group,
                route=self._state.label,
                route_key=route.key,
                answer_in_ms=max(0.0, answer_in_ms - _MERGE_MARGIN_MS),
                deadline_in_ms=max(0.0, prepared.deadline_ms - now_ms - round_trip_ms),
                max_attempts=route.max_attempts,
                top_k=route.top_k,
                fingerprint=prepared.fingerprint,
            )

        peer.start_task(delegation, build_delegate)
        return True

    def _on_merged(self, delegation: Delegation, merged: Merged) -> None:
        if self._is_answered:
            return
        stamps = {
            delegation.shards[position]: stamp
            for position, stamp in merged.stamps.items()
        }
        if stamps and not self._collector.add_group(stamps, merged.records):
            logger.error(
                "event=merged_parts_refused request=%s shards=%s",
                self._request_id,
                ",".join(stamps),
            )
        self._answer_if_due()

    def _on_helper_failed(self, delegation: Delegation) -> None:
        """Query the shards of a group directly if the group was not accepted.

        An instance that accepted a group may have used all attempts of its shards, so
        these shards are not queried again.
        """
        if self._is_answered or self._objective_passed:
            self._answer_if_due()
            return
        missing = tuple(
            shard for shard in delegation.shards if not self._collector.has_part(shard)
        )
        logger.warning(
            "event=helper_failed request=%s shards=%d accepted=%s",
            self._request_id,
            len(missing),
            delegation.is_accepted,
        )
        if not delegation.is_accepted and self._route.max_attempts > 1:
            self._fallback.start(missing)
        self._answer_if_due()

    # Answers

    def _answer_if_due(self) -> None:
        if self._is_answered or self._is_starting:
            return
        if self._held_shards and not self._fan_out.pending_count:
            # The canary has ended without an answer.
            self._held_shards = ()
        pending = self._pending_count
        if self._collector.should_answer(
            pending=pending, objective_passed=self._objective_passed
        ):
            self._answer_success()
        elif not self._collector.can_succeed(pending):
            self._answer_failure("too_few_parts")

    def _on_objective_reached(self) -> None:
        self._fan_out.allows_retries = self._fallback.allows_retries = False
        if any(delegation.is_open for delegation in self._delegations):
            self._call_later(_READ_GRACE_MS, self._mark_objective_passed)
        else:
            self._mark_objective_passed()

    def _mark_objective_passed(self) -> None:
        self._objective_passed = True
        self._answer_if_due()

    def _on_deadline(self) -> None:
        if not self._is_answered:
            self._answer_failure("timeout")

    def _answer_success(self) -> None:
        collector, header_names = self._collector, self._context.header_names
        headers = [(header_names.part_stamps, b", ".join(collector.stamps()))]
        if collector.missing_count:
            headers.append(
                (header_names.missing_parts, b"%d" % collector.missing_count)
            )
        body = collector.merged_records(self._route.top_k)
        self._stop_sending()
        self._send_answer(HttpResponse(HTTPStatus.OK, headers, body), "answered")

    def _answer_failure(self, cause: str) -> None:
        """Answer with a failure, or a rejection if the request cannot have run."""
        self._stop_sending()
        if not self._may_have_run():
            self._answer_rejection(self._capacity_wait_ms(), cause)
        elif cause == "timeout":
            self._send_answer(HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, []), cause)
        else:
            self._send_answer(HttpResponse(HTTPStatus.BAD_GATEWAY, []), cause)

    def _answer_rejection(self, capacity_wait_ms: float, cause: str) -> None:
        """Answer that the request did not run, with a time for the next try."""
        response = rejection_response(
            capacity_wait_ms=capacity_wait_ms, priority=self._route.priority
        )
        self._send_answer(response, cause)

    def _may_have_run(self) -> bool:
        if self._delegations:
            return True
        return self._fan_out.may_have_run or self._fallback.may_have_run

    def _capacity_wait_ms(self) -> float:
        """Return the expected time in ms until enough shards can start the request."""
        ready_in_ms = self._context.upstreams.ready_in_ms(
            self._route.shards, service_ms=self._state.hedging.service_ms
        )
        return fan_out_capacity_wait_ms(
            ready_in_ms, min_coverage=self._route.min_coverage
        )

    def _send_answer(self, response: HttpResponse, cause: str) -> None:
        self._responder.respond(response)
        duration_ms = self._context.clock.monotonic_ms() - self._received_ms
        self._context.metrics.count_request(
            route=self._state.label,
            outcome=cause,
            duration_ms=duration_ms,
            coverage=self._collector.coverage,
        )
        missing = [*self._fan_out.missing_shards(), *self._fallback.missing_shards()]
        missing += [
            f"{shard}@helper"
            for delegation in self._delegations
            for shard in delegation.shards
            if delegation.is_open and not self._collector.has_part(shard)
        ]
        logger.info(
            "event=request_ended request=%s route=%s outcome=%s status=%d "
            "duration_ms=%.1f coverage=%.3f missing=%s delegated=%d hedges=%d "
            "version=%d",
            self._request_id,
            self._state.label,
            cause,
            response.status,
            duration_ms,
            self._collector.coverage,
            ",".join(missing),
            sum(len(delegation.shards) for delegation in self._delegations),
            self._fan_out.hedge_count + self._fallback.hedge_count,
            self._version,
        )

    def _stop_sending(self) -> None:
        """Send no more attempts; those in flight run on and keep their connections."""
        self._is_answered = True
        for timer in self._timers:
            timer.cancel()
        self._fan_out.stop_sending()
        self._fallback.stop_sending()

    def _on_caller_left(self) -> None:
        logger.info(
            "event=request_ended request=%s route=%s outcome=abandoned_by_caller",
            self._request_id,
            self._state.label,
        )
        self._stop_sending()
        for delegation in self._delegations:
            delegation.cancel()
        delay_s = self._context.settings.abandon_after_ms / 1000
        self._loop.call_later(delay_s, self._abandon_attempts)

    def _abandon_attempts(self) -> None:
        self._fan_out.abandon_attempts()
        self._fallback.abandon_attempts()
