"""Control and entry instances that a control instance knows."""

from dataclasses import dataclass

from cuminbendd.feed import ControlInfo, EntryInfo


@dataclass(slots=True)
class _PeerEntries:
    """Entry instances that read the feed of another control instance.

    Attributes:
        lost_at_ms: Monotonic time at which the connection to that control instance
            was lost, None while its feed is read.
    """

    entries: tuple[EntryInfo, ...]
    lost_at_ms: float | None = None


class KnownInstances:
    """Holds the entry and control instances that a control instance knows.

    Args:
        own_info: The control instance that holds this object.
        entry_retention_ms: Time for which entry instances stay in the directory after
            the feed of the control instance that they read was lost.
    """

    def __init__(self, *, own_info: ControlInfo, entry_retention_ms: float) -> None:
        self._own_info = own_info
        self._entry_retention_ms = entry_retention_ms
        self._entries: dict[str, EntryInfo] = {}
        self._readers_by_instance: dict[str, object] = {}
        self._peer_entries: dict[str, _PeerEntries] = {}
        self._controls: dict[str, ControlInfo] = {}
        self._live_addresses: set[str] = set()

    # Entry instances

    def set_entry(
        self, entry: EntryInfo, *, is_available: bool, reader: object
    ) -> bool:
        """Record whether an entry instance takes callers.

        Args:
            entry: The entry instance.
            is_available: Whether it takes callers.
            reader: Identifies the stream on which the entry instance reads the feed.

        Returns:
            Whether the directory changed.
        """
        self._readers_by_instance[entry.instance] = reader
        former_entry = self._entries.get(entry.instance)
        if is_available:
            self._entries[entry.instance] = entry
            return former_entry != entry
        return self._entries.pop(entry.instance, None) is not None

    def remove_entry(self, entry: EntryInfo, *, reader: object) -> bool:
        """Remove an entry instance whose stream has ended.

        Does nothing if the entry instance has opened another stream since: ``reader``
        is then no longer the one recorded for it.

        Returns:
            Whether the entry instance was removed.
        """
        if self._readers_by_instance.get(entry.instance) is not reader:
            return False
        del self._readers_by_instance[entry.instance]
        self._entries.pop(entry.instance, None)
        return True

    def connected_entries(self) -> tuple[EntryInfo, ...]:
        """Return the entry instances that read this instance's feed, sorted by name."""
        return tuple(self._entries[name] for name in sorted(self._entries))

    def all_entries(self, now_ms: float) -> tuple[EntryInfo, ...]:
        """Return all entry instances in the directory, sorted by name.

        Those of a lost control instance are left out after ``entry_retention_ms``.
        """
        entries_by_instance = dict(self._entries)
        for peer in self._peer_entries.values():
            is_lost = peer.lost_at_ms is not None
            if is_lost and now_ms - (peer.lost_at_ms or 0.0) > self._entry_retention_ms:
                continue
            for entry in peer.entries:
                entries_by_instance.setdefault(entry.instance, entry)
        return tuple(entries_by_instance[name] for name in sorted(entries_by_instance))

    def set_peer_entries(self, control: str, entries: tuple[EntryInfo, ...]) -> None:
        """Replace the entry instances that read another control instance's feed."""
        self._peer_entries[control] = _PeerEntries(entries)

    # Control instances

    def add_control(self, control: ControlInfo) -> None:
        """Add or update a control instance; this instance itself is ignored."""
        if control.address != self._own_info.address:
            self._controls[control.address] = control

    def known_control_addresses(self) -> list[str]:
        """Return the channel addresses of all other known control instances."""
        return sorted(self._controls)

    def forget_control(self, address: str) -> None:
        """Remove a control instance that was replaced."""
        self._controls.pop(address, None)
        self._peer_entries.pop(address, None)
        self._live_addresses.discard(address)

    def mark_control_live(self, address: str) -> None:
        """Record that the feed of a control instance is being read."""
        self._live_addresses.add(address)
        peer = self._peer_entries.get(address)
        if peer is not None:
            peer.lost_at_ms = None

    def mark_control_lost(self, address: str, now_ms: float) -> None:
        """Record that the feed of a control instance has ended."""
        self._live_addresses.discard(address)
        peer = self._peer_entries.get(address)
        if peer is not None:
            peer.lost_at_ms = now_ms

    def live_controls(self) -> tuple[ControlInfo, ...]:
        """Return this instance and those whose feed it reads, sorted by address."""
        live = [
            info
            for info in self._controls.values()
            if info.address in self._live_addresses
        ]
        return tuple(sorted((self._own_info, *live), key=lambda info: info.address))

    def announce_address_near(self, data_centre: str) -> str:
        """Return the address to which an upstream should send its heartbeats.

        It belongs to a live control instance in the upstream's data centre, or to this
        instance if there is none.
        """
        for info in self.live_controls():
            if info.data_centre == data_centre:
                return info.announce_address
        return self._own_info.announce_address
