"""Requests suspected of breaking an upstream."""

from collections import OrderedDict

import anyio

from cuminbend.exceptions import SuspectError
from cuminbend.ports import Clock
from cuminbend.upstreams._settings import GateSettings


class SuspectMemory:
    """Suspects and quarantined fingerprints known to this instance.

    The control log decides; the memory only saves a second upstream from a request
    that this instance has just seen break a first one. Entries expire because another
    instance may have cleared the suspect.
    """

    def __init__(self, *, settings: GateSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._entries: OrderedDict[str, tuple[str, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, fingerprint: str, upstream: str) -> None:
        """Remember a suspect; the first upstream named for it stays."""
        first = self.first_upstream(fingerprint) or upstream
        end_ms = self._clock.monotonic_ms() + self._settings.suspect_memory_ms
        self._entries[fingerprint] = (first, end_ms)
        self._entries.move_to_end(fingerprint)
        if len(self._entries) > self._settings.suspect_memory_size:
            self._entries.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Forget a suspect that was answered."""
        self._entries.pop(fingerprint, None)

    def first_upstream(self, fingerprint: str) -> str | None:
        """Return the upstream that a suspect broke, or None if it is no suspect."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return None
        upstream, end_ms = entry
        if end_ms <= self._clock.monotonic_ms():
            del self._entries[fingerprint]
            return None
        return upstream

    def check(self, fingerprint: str) -> None:
        """Refuse a suspect.

        Raises:
            SuspectError: If the fingerprint is a suspect.
        """
        upstream = self.first_upstream(fingerprint)
        if upstream is not None:
            raise SuspectError(fingerprint, first_upstream=upstream)


class CanaryTurn:
    """One canary in flight, on which equal ones wait.

    Attributes:
        answered: Whether the upstream answered it.
        refusal: Why its fingerprint may not be sent anywhere, or None.
        done: Set when it ended in any way.
    """

    def __init__(self) -> None:
        self.answered = False
        self.refusal: str | None = None
        self.done = anyio.Event()
