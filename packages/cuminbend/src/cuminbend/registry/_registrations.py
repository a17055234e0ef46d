"""The latest heartbeat of each upstream, merged over all control instances."""

from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum


class UpstreamState(IntEnum):
    """State of an upstream.

    Of two reports with the same incarnation and sequence, the one with the greater
    state replaces the other.
    """

    READY = 0
    LEAVING = 1
    SILENT = 2
    GONE = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """State that an upstream reported in a heartbeat.

    Attributes:
        upstream: Identity of the upstream.
        address: ``host:port``.
        slots: Number of requests that the upstream runs at the same time.
        cold_left_ms: How much longer the upstream stays cold, counted from when the
            registration was received or read from the table.
        incarnation_ms: Wall-clock time of the process start in ms since the epoch, or
            0 if the upstream does not report it.
        sequence: Grows with each heartbeat of an incarnation.
        holder: Control instance that received the heartbeat. Only the holder may
            declare the upstream silent.
    """

    upstream: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: UpstreamState
    cold_left_ms: float
    incarnation_ms: int
    sequence: int
    holder: str

    @property
    def order(self) -> tuple[int, bool, int, int]:
        """Sort key; of two registrations of an upstream, the greater one is valid.

        A departure is final for its incarnation: it has no sequence of its own, and
        another control instance may have received a later heartbeat before it.
        """
        is_gone = self.state is UpstreamState.GONE
        return (self.incarnation_ms, is_gone, self.sequence, int(self.state))


@dataclass(slots=True)
class _Row:
    registration: Registration
    revision: int
    silence_start_ms: float
    cold_until_ms: float


class RegistrationTable:
    """Registrations, with a revision for each change that other instances must get.

    A heartbeat that changes only the sequence gets no revision, so the traffic between
    instances is proportional to the number of changes and not of heartbeats.

    Args:
        holder: Name of this control instance.
        silent_after_ms: Time without a heartbeat after which an upstream counts as
            silent.
        gone_retention_ms: Time for which an upstream that left or is silent is kept, so
            that a late heartbeat does not register it again.

    Attributes:
        revision: Number of the last change.
    """

    # The end of the cold time, computed from each heartbeat, varies with the delay of
    # the heartbeat. Smaller differences get no revision.
    _MIN_COLD_CHANGE_MS = 400.0

    def __init__(
        self, *, holder: str, silent_after_ms: float, gone_retention_ms: float = 60_000
    ) -> None:
        self._holder = holder
        self._silent_after_ms = silent_after_ms
        self._gone_retention_ms = gone_retention_ms
        self._rows: dict[str, _Row] = {}
        self._upstreams_by_address: dict[str, str] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, upstream: object) -> bool:
        return upstream in self._rows

    def merge(self, registration: Registration, *, now_ms: float) -> bool:
        """Store a heartbeat, or a registration received from another instance.

        Returns:
            Whether the registration is the latest of its upstream; a stale one changes
            nothing.
        """
        row = self._rows.get(registration.upstream)
        if row is not None and not self._is_newer(registration, row, now_ms):
            return False
        is_change = row is None or self._needs_revision(registration, row, now_ms)
        revision = row.revision if row is not None else 0
        if is_change:
            self.revision += 1
            revision = self.revision
            self._rows.pop(registration.upstream, None)
        self._rows[registration.upstream] = _Row(
            registration=registration,
            revision=revision,
            silence_start_ms=now_ms,
            cold_until_ms=now_ms + registration.cold_left_ms,
        )
        self._assign_address(registration, now_ms)
        return True

    def mark_gone(self, upstream: str, *, now_ms: float) -> Registration | None:
        """Mark an upstream as gone after it announced that it ends.

        Returns:
            Its registration, or None if the upstream is unknown.
        """
        row = self._rows.get(upstream)
        if row is None:
            return None
        if row.registration.state is UpstreamState.GONE:
            return row.registration
        gone = replace(row.registration, state=UpstreamState.GONE, holder=self._holder)
        self.merge(gone, now_ms=now_ms)
        return gone

    def restart_silence_timers(self, *, now_ms: float) -> None:
        """Measure the time without a heartbeat from now on, for all upstreams.

        Called after a period in which this instance itself could not receive
        heartbeats.
        """
        for row in self._rows.values():
            if row.registration.state < UpstreamState.SILENT:
                row.silence_start_ms = now_ms

    def take_over_from(self, holder: str, *, now_ms: float) -> None:
        """Become the holder of the upstreams that reported to a lost instance.

        Those that are ready report to another instance within a few heartbeats, or
        become silent. The others may never report again, so they get a revision: the
        lost instance may not have sent their last change to every other instance.
        """
        for upstream, row in list(self._rows.items()):
            if row.registration.holder != holder:
                continue
            row.registration = replace(row.registration, holder=self._holder)
            row.silence_start_ms = now_ms
            if row.registration.state is not UpstreamState.READY:
                self.revision += 1
                row.revision = self.revision
                self._rows[upstream] = self._rows.pop(upstream)

    def expire(self, *, now_ms: float) -> list[Registration]:
        """Mark upstreams without heartbeats as silent and drop expired registrations.

        Registrations of silent and gone upstreams expire after ``gone_retention_ms``.

        Returns:
            Registrations of the upstreams that this call marked as silent.
        """
        silent = []
        for upstream, row in list(self._rows.items()):
            current = row.registration
            age_ms = now_ms - row.silence_start_ms
            if (
                current.state >= UpstreamState.SILENT
                and age_ms > self._gone_retention_ms
            ):
                del self._rows[upstream]
                if self._upstreams_by_address.get(current.address) == upstream:
                    del self._upstreams_by_address[current.address]
            elif (
                current.state < UpstreamState.SILENT
                and current.holder == self._holder
                and age_ms > self._silent_after_ms
            ):
                silent.append(replace(current, state=UpstreamState.SILENT))
                self.merge(silent[-1], now_ms=now_ms)
        return silent

    def ready_service_counts(self, evacuated: Collection[str] = ()) -> dict[str, int]:
        """Return the number of services with a ready upstream, by data centre.

        Evacuated data centres and data centres without a ready upstream are left out.
        """
        pairs = {
            (row.registration.data_centre, row.registration.service)
            for row in self._rows.values()
            if row.registration.state is UpstreamState.READY
            and row.registration.data_centre not in evacuated
        }
        return dict(Counter(data_centre for data_centre, _ in pairs))

    def changes_since(
        self, revision: int, *, now_ms: float, only_held_here: bool = False
    ) -> list[Registration]:
        """Return the registrations changed after a revision, the oldest change first.

        Args:
            revision: Revision of this table that the reader has.
            now_ms: Monotonic time by which the remaining cold time is computed.
            only_held_here: Leave out registrations that another control instance holds;
                the reader gets these from their holder.
        """
        changes = []
        for row in self._rows_by_latest_change():
            if row.revision <= revision:
                break
            if only_held_here and row.registration.holder != self._holder:
                continue
            changes.append(self._registration_at(row, now_ms))
        changes.reverse()
        return changes

    def _rows_by_latest_change(self) -> Iterator[_Row]:
        # Each new revision moves its row to the end, so revisions ascend.
        return reversed(self._rows.values())

    def _registration_at(self, row: _Row, now_ms: float) -> Registration:
        cold_left_ms = max(0.0, row.cold_until_ms - now_ms)
        if cold_left_ms == row.registration.cold_left_ms:
            return row.registration
        return replace(row.registration, cold_left_ms=round(cold_left_ms))

    def _is_newer(self, registration: Registration, row: _Row, now_ms: float) -> bool:
        current = row.registration
        if current.state is UpstreamState.GONE:
            # A late heartbeat of a process that has ended must not register it again.
            return registration.incarnation_ms > current.incarnation_ms
        if current.state is UpstreamState.SILENT and not registration.incarnation_ms:
            # Without an incarnation, a restarted process is not recognised, and its
            # sequence starts again at a lower number.
            return registration.state is not UpstreamState.SILENT
        return registration.order > current.order

    def _needs_revision(
        self, registration: Registration, row: _Row, now_ms: float
    ) -> bool:
        current = row.registration
        cold_difference_ms = abs(row.cold_until_ms - now_ms - registration.cold_left_ms)
        is_cold = registration.cold_left_ms > 0 or row.cold_until_ms > now_ms
        return (
            (is_cold and cold_difference_ms > self._MIN_COLD_CHANGE_MS)
            or current.state is not registration.state
            or current.holder != registration.holder
            or current.address != registration.address
            or current.service != registration.service
            or current.slots != registration.slots
            or current.data_centre != registration.data_centre
            or current.incarnation_ms != registration.incarnation_ms
        )

    def _assign_address(self, registration: Registration, now_ms: float) -> None:
        """Assign an address to its latest upstream and mark the earlier one as gone."""
        if registration.state is UpstreamState.GONE:
            return
        previous_upstream = self._upstreams_by_address.get(registration.address)
        if previous_upstream is None or previous_upstream == registration.upstream:
            self._upstreams_by_address[registration.address] = registration.upstream
            return
        previous_row = self._rows.get(previous_upstream)
        if (
            previous_row is not None
            and previous_row.registration.state is not UpstreamState.GONE
        ):
            current = previous_row.registration
            if registration.incarnation_ms < current.incarnation_ms:
                return
            self.mark_gone(previous_upstream, now_ms=now_ms)
        self._upstreams_by_address[registration.address] = registration.upstream
