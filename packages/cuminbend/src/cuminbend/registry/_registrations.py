"""The latest heartbeat of each upstream, merged over all control instances."""

from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum


class UpstreamState(IntEnum):
    """State of an upstream; of two reports with one sequence the greater holds."""

    READY = 0
    LEAVING = 1
    SILENT = 2
    GONE = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """What an upstream said of itself.

    Attributes:
        upstream: Its identity.
        address: ``host:port``.
        cold_left_ms: How much longer it stays cold, counted from when the
            registration was received or read from the table.
        incarnation_ms: Wall-clock ms of the process start, 0 if it does not say.
        sequence: Grows with each heartbeat of an incarnation.
        holder: Control instance that heard the heartbeat; only the holder may
            declare an upstream silent.
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
    def order(self) -> tuple[int, int, int]:
        """Of two registrations of an upstream the one with the greater order holds."""
        return (self.incarnation_ms, self.sequence, int(self.state))


@dataclass(slots=True)
class _Row:
    registration: Registration
    revision: int
    heard_ms: float
    cold_until_ms: float


class RegistrationTable:
    """Registrations with a revision for each change that others have to learn.

    A heartbeat that changes only the sequence gets no revision, so what travels
    between instances is proportional to changes and not to heartbeats.

    Args:
        holder: Name of this control instance.
        silent_after_ms: Time without a heartbeat after which an upstream counts as
            silent.
        keep_gone_ms: Time for which an upstream that left is remembered, so that a
            late heartbeat does not bring it back.
    """

    # Cold times differ by the delay of the heartbeat; a smaller step is no news.
    _COLD_STEP_MS = 400.0

    def __init__(
        self, *, holder: str, silent_after_ms: float, keep_gone_ms: float = 60_000
    ) -> None:
        self._holder = holder
        self._silent_after_ms = silent_after_ms
        self._keep_gone_ms = keep_gone_ms
        self._rows: dict[str, _Row] = {}
        self._by_address: dict[str, str] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._rows)

    def merge(self, registration: Registration, *, now_ms: float) -> bool:
        """Take a heartbeat or a registration of another instance.

        Returns:
            Whether it is the latest of its upstream; a stale one changes nothing.
        """
        row = self._rows.get(registration.upstream)
        if row is not None and not self._is_newer(registration, row, now_ms):
            return False
        is_news = row is None or self._is_news(registration, row, now_ms)
        revision = row.revision if row is not None else 0
        if is_news:
            self.revision += 1
            revision = self.revision
            self._rows.pop(registration.upstream, None)
        self._rows[registration.upstream] = _Row(
            registration=registration,
            revision=revision,
            heard_ms=now_ms,
            cold_until_ms=now_ms + registration.cold_left_ms,
        )
        self._take_address(registration, now_ms)
        return True

    def mark_gone(self, upstream: str, *, now_ms: float) -> None:
        """Note that an upstream said that it leaves for good."""
        row = self._rows.get(upstream)
        if row is None:
            return
        gone = replace(row.registration, state=UpstreamState.GONE, holder=self._holder)
        if row.registration.state is not UpstreamState.GONE:
            self.merge(gone, now_ms=now_ms)

    def restart_silence_timers(self, *, now_ms: float) -> None:
        """Start all waits for heartbeats anew.

        Used when this instance itself could not hear them for a while.
        """
        for row in self._rows.values():
            if row.registration.state < UpstreamState.SILENT:
                row.heard_ms = now_ms

    def take_over_from(self, holder: str, *, now_ms: float) -> None:
        """Look after the upstreams that reported to an instance that is gone.

        They report to another one within a few heartbeats, or are silent.
        """
        for row in self._rows.values():
            if row.registration.holder == holder:
                row.registration = replace(row.registration, holder=self._holder)
                row.heard_ms = now_ms

    def expire(self, *, now_ms: float) -> list[Registration]:
        """Mark upstreams without heartbeats as silent and forget old ones.

        Returns:
            The upstreams that have just become silent.
        """
        silent = []
        for upstream, row in list(self._rows.items()):
            held = row.registration
            age_ms = now_ms - row.heard_ms
            if held.state >= UpstreamState.SILENT and age_ms > self._keep_gone_ms:
                del self._rows[upstream]
                if self._by_address.get(held.address) == upstream:
                    del self._by_address[held.address]
            elif (
                held.state < UpstreamState.SILENT
                and held.holder == self._holder
                and age_ms > self._silent_after_ms
            ):
                silent.append(replace(held, state=UpstreamState.SILENT))
                self.merge(silent[-1], now_ms=now_ms)
        return silent

    def ready_service_counts(self, evacuated: Collection[str] = ()) -> dict[str, int]:
        """Return the number of services with a ready upstream, by data centre."""
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
            now_ms: Monotonic time, from which the cold time left is computed.
            only_held_here: Leave out what another control instance holds; the readers
                that ask this instance get it from there.
        """
        changes = []
        for row in self._latest_first():
            if row.revision <= revision:
                break
            if only_held_here and row.registration.holder != self._holder:
                continue
            changes.append(self._as_of(row, now_ms))
        changes.reverse()
        return changes

    def _latest_first(self) -> Iterator[_Row]:
        # A row is moved to the end with each revision, so revisions ascend.
        return reversed(self._rows.values())

    def _as_of(self, row: _Row, now_ms: float) -> Registration:
        cold_left_ms = max(0.0, row.cold_until_ms - now_ms)
        if cold_left_ms == row.registration.cold_left_ms:
            return row.registration
        return replace(row.registration, cold_left_ms=round(cold_left_ms))

    def _is_newer(self, registration: Registration, row: _Row, now_ms: float) -> bool:
        held = row.registration
        if held.state is UpstreamState.GONE:
            # A late heartbeat of a process that has left must not bring it back.
            return registration.incarnation_ms > held.incarnation_ms
        if held.state is UpstreamState.SILENT and not registration.incarnation_ms:
            # Without an incarnation, a restarted process counts from the start.
            return registration.state is not UpstreamState.SILENT
        return registration.order > held.order

    def _is_news(self, registration: Registration, row: _Row, now_ms: float) -> bool:
        held = row.registration
        moved_cold_ms = abs(row.cold_until_ms - now_ms - registration.cold_left_ms)
        is_cold = registration.cold_left_ms > 0 or row.cold_until_ms > now_ms
        return (
            (is_cold and moved_cold_ms > self._COLD_STEP_MS)
            or held.state is not registration.state
            or held.holder != registration.holder
            or held.address != registration.address
            or held.service != registration.service
            or held.slots != registration.slots
            or held.data_centre != registration.data_centre
            or held.incarnation_ms != registration.incarnation_ms
        )

    def _take_address(self, registration: Registration, now_ms: float) -> None:
        """Mark an earlier upstream at the same address as gone."""
        if registration.state is UpstreamState.GONE:
            return
        former_id = self._by_address.get(registration.address)
        if former_id is None or former_id == registration.upstream:
            self._by_address[registration.address] = registration.upstream
            return
        former = self._rows.get(former_id)
        if former is not None and former.registration.state is not UpstreamState.GONE:
            held = former.registration
            if registration.incarnation_ms < held.incarnation_ms:
                return
            self.mark_gone(former_id, now_ms=now_ms)
        self._by_address[registration.address] = registration.upstream
