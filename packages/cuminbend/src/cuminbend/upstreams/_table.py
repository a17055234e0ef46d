"""Gates of the upstreams that this instance owns."""

from collections.abc import Callable
from typing import Any

from cuminbend.exceptions import (
    QuarantinedError,
    RunState,
    SuspectError,
    UnavailableError,
)
from cuminbend.messages import (
    Announcement,
    GateHandover,
    OwnedUpstream,
    ShardReply,
    ShardRequest,
    WorkKind,
)
from cuminbend.ports import Clock, ControlPort, RandomSource, UpstreamTransport
from cuminbend.upstreams._base import LeaseView, MemberShares, SuspectView
from cuminbend.upstreams._gate import UpstreamGate
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._suspects import SuspectCache


class GateTable:
    """Creates, finds and releases the gates of the upstreams that this instance owns.

    Args:
        data_centre_in_service: Returns whether a data centre may get requests under the
            configuration in force.
        suspect_view: Latest quarantined and suspect fingerprints known to this
            instance. Without it, canaries are not checked against them.
    """

    def __init__(
        self,
        *,
        settings: GateSettings,
        transport: UpstreamTransport,
        clock: Clock,
        random: RandomSource,
        lease: LeaseView,
        control: ControlPort,
        shares: MemberShares,
        data_centre_in_service: Callable[[str], bool],
        suspect_view: SuspectView | None = None,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._clock = clock
        self._random = random
        self._lease = lease
        self._control = control
        self._shares = shares
        self._data_centre_in_service = data_centre_in_service
        self._suspect_view = suspect_view
        self._suspects = SuspectCache(settings=settings, clock=clock)
        self._gates: dict[str, UpstreamGate] = {}
        self._releasing: dict[str, tuple[OwnedUpstream, Announcement] | None] = {}

    def add_upstream(self, grant: OwnedUpstream, announcement: Announcement) -> None:
        """Create a gate for a granted upstream, or renew the grant of its gate.

        A grant that arrives while the previous grant is being released takes effect
        when the release is complete, so that only one grant has requests in flight.
        """
        if grant.upstream in self._releasing:
            self._releasing[grant.upstream] = (grant, announcement)
            return
        gate = self._gates.get(grant.upstream)
        if gate is None:
            self._gates[grant.upstream] = self._create_gate(grant, announcement)
        else:
            gate.renew_grant(grant)
            gate.update_announcement(announcement)

    def _create_gate(
        self, grant: OwnedUpstream, announcement: Announcement
    ) -> UpstreamGate:
        return UpstreamGate(
            settings=self._settings,
            announcement=announcement,
            grant=grant,
            transport=self._transport,
            clock=self._clock,
            random=self._random,
            lease=self._lease,
            control=self._control,
            shares=self._shares,
            suspects=self._suspects,
            data_centre_in_service=self._data_centre_in_service,
        )

    async def release_upstream(self, upstream: str) -> GateHandover:
        """Release an upstream and return its state for the next owner.

        Raises:
            UnavailableError: If this instance does not own the upstream.
        """
        gate = self._gates.get(upstream)
        if gate is None:
            raise self._not_owner_error(upstream)
        self._releasing.setdefault(upstream, None)
        try:
            handover = await gate.release()
        finally:
            pending_grant = self._releasing.pop(upstream, None)
        if self._gates.get(upstream) is gate:
            del self._gates[upstream]
            if pending_grant is not None:
                self._gates[upstream] = self._create_gate(*pending_grant)
        return handover

    def update_announcement(self, announcement: Announcement) -> None:
        """Pass an announcement of an owned upstream to its gate."""
        gate = self._gates.get(announcement.upstream)
        if gate is not None:
            gate.update_announcement(announcement)

    async def run(self, request: ShardRequest) -> ShardReply:
        """Run a request on an owned upstream; see :meth:`UpstreamGate.run`.

        Raises:
            UnavailableError: If this instance does not own the upstream; the request
                has not run.
            RequestFailedError: If the request fails, with its run state.
        """
        gate = self._gates.get(request.upstream)
        if gate is None:
            raise self._not_owner_error(request.upstream)
        if request.kind is WorkKind.CANARY:
            self._check_canary(request)
        return await gate.run(request)

    def _check_canary(self, request: ShardRequest) -> None:
        """Refuse a canary that has crashed upstreams, or may have done so elsewhere.

        An instance without contact to the leader keeps its lease for a while, but may
        not know that the request crashed upstreams of other instances.
        """
        if self._suspect_view is None:
            return
        fingerprint = request.fingerprint
        if fingerprint in self._suspect_view.quarantined:
            raise QuarantinedError(
                "the request broke two upstreams and is refused everywhere; change it",
                run_state=RunState.RAN,
            )
        if fingerprint in self._suspect_view.suspects:
            first_upstream = self._suspect_view.suspects[fingerprint]
            raise SuspectError(fingerprint, first_upstream=first_upstream)
        settings = self._settings
        if (
            self._lease.remaining_ms()
            < settings.lease_ms - settings.canary_max_lease_age_ms
        ):
            raise UnavailableError(
                "this instance has not heard from the leader lately and cannot tell "
                "whether the request breaks upstreams; ask another replica",
                retry_after_ms=round(settings.not_owner_retry_ms),
            )

    def _not_owner_error(self, upstream: str) -> UnavailableError:
        return UnavailableError(
            f"this instance does not own upstream {upstream}; ask the owner named in "
            "the registry",
            retry_after_ms=round(self._settings.not_owner_retry_ms),
        )

    def on_configuration_changed(self) -> None:
        """Refuse queued requests to data centres that are out of service now."""
        for gate in self._gates.values():
            gate.update_data_centre()

    def dump(self) -> dict[str, Any]:
        """Return the state of all gates for a state dump."""
        return {
            "gates": [gate.dump() for gate in self._gates.values()],
            "releasing": sorted(self._releasing),
            "suspects": len(self._suspects),
        }
