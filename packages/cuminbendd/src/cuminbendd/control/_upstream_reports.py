"""Heartbeats and leaves that upstreams report to a control instance."""

import logging
from collections.abc import Callable

from cuminbend.exceptions import UnavailableError
from cuminbend.ports import Clock
from cuminbend.registry import Registration, RegistrationTable

from cuminbendd.control._leaves import LeaveConfirmations
from cuminbendd.control._messages import LeaveReply, LeaveRequest
from cuminbendd.metrics import Metrics

logger = logging.getLogger(__name__)

_RETRY_AFTER_MS = 200


class UpstreamReports:
    """Records what upstreams report, and passes changes on.

    Args:
        registrations: Registrations that this control instance knows.
        leaves: Passes leaves to the other control instances.
        clock: Source of time.
        metrics: Counters of the instance.
        is_current: Returns whether this instance is in touch with its group.
        announce_address_near: Returns the address to which an upstream in a data centre
            should send its heartbeats.
        notify_readers: Sends changes to the readers of this instance's feed.
    """

    def __init__(
        self,
        *,
        registrations: RegistrationTable,
        leaves: LeaveConfirmations,
        clock: Clock,
        metrics: Metrics,
        is_current: Callable[[], bool],
        announce_address_near: Callable[[str], str],
        notify_readers: Callable[[], None],
    ) -> None:
        self._registrations = registrations
        self._leaves = leaves
        self._clock = clock
        self._metrics = metrics
        self._is_current = is_current
        self._announce_address_near = announce_address_near
        self._notify_readers = notify_readers

    def record_heartbeat(self, registration: Registration) -> str:
        """Record a heartbeat of an upstream.

        Returns:
            The address to which the upstream should send its next heartbeats.

        Raises:
            UnavailableError: If this instance is not in touch with the group and may be
                unable to pass the heartbeat on. The heartbeat is recorded nevertheless.
        """
        previous_revision = self._registrations.revision
        now_ms = self._clock.monotonic_ms()
        if not self._registrations.merge(registration, now_ms=now_ms):
            logger.info(
                "event=heartbeat_stale upstream=%s incarnation_ms=%d sequence=%d",
                registration.upstream,
                registration.incarnation_ms,
                registration.sequence,
            )
        if self._registrations.revision != previous_revision:
            logger.info(
                "event=upstream_%s upstream=%s service=%s address=%s data_centre=%s "
                "incarnation_ms=%d sequence=%d cold_left_ms=%.0f",
                registration.state.name.lower(),
                registration.upstream,
                registration.service,
                registration.address,
                registration.data_centre,
                registration.incarnation_ms,
                registration.sequence,
                registration.cold_left_ms,
            )
            self._notify_readers()
        self._metrics.count_events("heartbeat")
        # The heartbeat is recorded before this check, so that after a restart of the
        # whole group all upstreams are known as soon as there is a leader.
        self._check_current()
        return self._announce_address_near(registration.data_centre)

    async def record_leave(self, registration: Registration) -> str:
        """Record a heartbeat of a leaving upstream at a majority of the group.

        Returns:
            The address to which the upstream should send its next heartbeats.

        Raises:
            UnavailableError: If this instance is not in touch with the group, or a
                majority did not record the heartbeat in time. This instance has
                recorded it nevertheless.
        """
        next_address = self.record_heartbeat(registration)
        await self._leaves.confirm(registration.upstream, registration)
        return next_address

    async def record_departure(self, upstream: str) -> None:
        """Record at a majority of the group that an upstream has left for good.

        Raises:
            UnavailableError: If this instance is not in touch with the group; the
                departure is not recorded then. If a majority did not record it in time,
                or no instance that replied knows the upstream; this instance has
                recorded the departure if it knows the upstream.
        """
        self._check_current()
        now_ms = self._clock.monotonic_ms()
        registration = self._registrations.mark_gone(upstream, now_ms=now_ms)
        self._notify_readers()
        confirmed = await self._leaves.confirm(upstream, registration)
        if registration is None:
            self._merge_registration(confirmed)
        logger.info("event=upstream_withdrawn upstream=%s", upstream)

    def record_peer_leave(self, request: LeaveRequest) -> LeaveReply:
        """Record a leave that another control instance is about to acknowledge."""
        if request.registration is not None:
            self._merge_registration(request.registration)
            return LeaveReply(registration=request.registration)
        now_ms = self._clock.monotonic_ms()
        gone = self._registrations.mark_gone(request.upstream, now_ms=now_ms)
        self._notify_readers()
        return LeaveReply(registration=gone)

    def _merge_registration(self, registration: Registration) -> None:
        self._registrations.merge(registration, now_ms=self._clock.monotonic_ms())
        self._notify_readers()

    def _check_current(self) -> None:
        if not self._is_current():
            raise UnavailableError(
                "this instance is not in touch with its control group; send the "
                "message to another one",
                retry_after_ms=_RETRY_AFTER_MS,
            )
