"""Who is there: control instances, and the entry instances of the directory."""

from dataclasses import dataclass

from cuminbendd.feed import ControlInfo, EntryInfo


@dataclass(slots=True)
class _PeerEntries:
    """Entry instances that read the feed of another control instance."""

    entries: tuple[EntryInfo, ...]
    lost_ms: float | None = None


class Members:
    """Instances known to a control instance, with what was heard of them.

    Args:
        own: The instance itself.
        lost_entries_ms: Time for which the entry instances of a control instance
            that is gone stay in the directory.
    """

    def __init__(self, *, own: ControlInfo, lost_entries_ms: float) -> None:
        self._own = own
        self._lost_entries_ms = lost_entries_ms
        self._entries: dict[str, EntryInfo] = {}
        self._readers: dict[str, object] = {}
        self._peer_entries: dict[str, _PeerEntries] = {}
        self._controls: dict[str, ControlInfo] = {}
        self._live: set[str] = set()

    # Entry instances

    def set_entry(
        self, entry: EntryInfo, *, is_available: bool, reader: object
    ) -> bool:
        """Note whether an entry instance takes callers; return whether that is news."""
        self._readers[entry.instance] = reader
        held = self._entries.get(entry.instance)
        if is_available:
            self._entries[entry.instance] = entry
            return held != entry
        return self._entries.pop(entry.instance, None) is not None

    def remove_entry(self, entry: EntryInfo, *, reader: object) -> None:
        """Note that a stream has ended; the instance may read another one by now."""
        if self._readers.get(entry.instance) is reader:
            del self._readers[entry.instance]
            self._entries.pop(entry.instance, None)

    def own_entries(self) -> tuple[EntryInfo, ...]:
        """Return the entry instances that read the feed here."""
        return tuple(self._entries[name] for name in sorted(self._entries))

    def all_entries(self, now_ms: float) -> tuple[EntryInfo, ...]:
        """Return all entry instances that take callers."""
        known = dict(self._entries)
        for peer in self._peer_entries.values():
            is_lost = peer.lost_ms is not None
            if is_lost and now_ms - (peer.lost_ms or 0.0) > self._lost_entries_ms:
                continue
            for entry in peer.entries:
                known.setdefault(entry.instance, entry)
        return tuple(known[name] for name in sorted(known))

    def set_peer_entries(self, control: str, entries: tuple[EntryInfo, ...]) -> None:
        """Take the entry instances that read another control instance's feed."""
        self._peer_entries[control] = _PeerEntries(entries)

    # Control instances

    def add_control(self, control: ControlInfo) -> None:
        """Note a control instance that made itself known."""
        if control.address != self._own.address:
            self._controls[control.address] = control

    def known_controls(self) -> list[str]:
        """Return the addresses of all other control instances ever heard of."""
        return sorted(self._controls)

    def forget_control(self, address: str) -> None:
        """Forget a control instance that was replaced."""
        self._controls.pop(address, None)
        self._peer_entries.pop(address, None)
        self._live.discard(address)

    def set_live(self, address: str) -> None:
        """Note that the feed of a control instance is being read."""
        self._live.add(address)
        peer = self._peer_entries.get(address)
        if peer is not None:
            peer.lost_ms = None

    def set_lost(self, address: str, now_ms: float) -> None:
        """Note that the feed of a control instance has ended."""
        self._live.discard(address)
        peer = self._peer_entries.get(address)
        if peer is not None:
            peer.lost_ms = now_ms

    def live_controls(self) -> tuple[ControlInfo, ...]:
        """Return the control instances that can be reached, with this one."""
        live = [info for info in self._controls.values() if info.address in self._live]
        return tuple(sorted((self._own, *live), key=lambda info: info.address))

    def announce_address_near(self, data_centre: str) -> str:
        """Return where an upstream of a data centre should send its heartbeats."""
        for info in self.live_controls():
            if info.data_centre == data_centre:
                return info.announce_address
        return self._own.announce_address
