"""The gates of all upstreams that this instance owns."""

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
from cuminbend.upstreams._suspects import SuspectMemory


class GateTable:
    """Creates, releases and finds gates; listens to changes of ownership.

    Args:
        data_centre_in_service: Whether a data centre may get work under the
            configuration in force.
        suspect_view: Quarantine and suspects as this instance last heard of them.
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
        self._suspects = SuspectMemory(settings=settings, clock=clock)
        self._gates: dict[str, UpstreamGate] = {}
        self._releasing: dict[str, tuple[OwnedUpstream, Announcement] | None] = {}

    def add_upstream(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        """Start to own an upstream, or renew a grant of one that is owned.

        A grant that arrives while the former one is being released takes effect when
        the release is complete, so that both never have work in flight.
        """
        if owned.upstream in self._releasing:
            self._releasing[owned.upstream] = (owned, announcement)
            return
        gate = self._gates.get(owned.upstream)
        if gate is None:
            self._gates[owned.upstream] = self._create(owned, announcement)
        else:
            gate.regranted(owned)
            gate.update_announcement(announcement)

    def _create(self, owned: OwnedUpstream, announcement: Announcement) -> UpstreamGate:
        return UpstreamGate(
            settings=self._settings,
            announcement=announcement,
            grant=owned,
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
            waiting = self._releasing.pop(upstream, None)
        if self._gates.get(upstream) is gate:
            del self._gates[upstream]
            if waiting is not None:
                self._gates[upstream] = self._create(*waiting)
        return handover

    def update_announcement(self, announcement: Announcement) -> None:
        """Pass on what an owned upstream announces of itself."""
        gate = self._gates.get(announcement.upstream)
        if gate is not None:
            gate.update_announcement(announcement)

    async def run(self, request: ShardRequest) -> ShardReply:
        """Run a request on an owned upstream; see :meth:`UpstreamGate.run`.

        Raises:
            UnavailableError: Not run, if this instance does not own the upstream.
            RequestFailedError: With the true run state.
        """
        gate = self._gates.get(request.upstream)
        if gate is None:
            raise self._not_owner_error(request.upstream)
        if request.kind is WorkKind.CANARY:
            self._check_canary(request)
        return await gate.run(request)

    def _check_canary(self, request: ShardRequest) -> None:
        """Refuse a canary that is known to break upstreams, or might be.

        An instance that was cut off still has its lease for a while, but may not have
        heard that the request broke upstreams elsewhere.
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
            first = self._suspect_view.suspects[fingerprint]
            raise SuspectError(fingerprint, first_upstream=first)
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
        """Drop queued work for data centres that are out of service now."""
        for gate in self._gates.values():
            gate.data_centre_changed()

    def dump(self) -> dict[str, Any]:
        """Return the state of all gates for a state dump."""
        return {
            "gates": [gate.dump() for gate in self._gates.values()],
            "releasing": sorted(self._releasing),
            "suspects": len(self._suspects),
        }
