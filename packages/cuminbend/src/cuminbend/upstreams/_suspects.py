"""Requests suspected of crashing an upstream."""

from collections import OrderedDict

import anyio

from cuminbend.exceptions import SuspectError
from cuminbend.ports import Clock
from cuminbend.upstreams._settings import GateSettings


class SuspectCache:
    """Suspects that this instance has recorded recently.

    The control log is authoritative. The cache only prevents a request that has just
    crashed one upstream from being sent to a second one of this instance. Entries
    expire because another instance may have cleared the suspect.
    """

    def __init__(self, *, settings: GateSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._entries: OrderedDict[str, tuple[str, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, fingerprint: str, upstream: str) -> None:
        """Add a suspect; a suspect that is cached keeps its first upstream."""
        first = self.first_upstream(fingerprint) or upstream
        end_ms = self._clock.monotonic_ms() + self._settings.suspect_cache_ttl_ms
        self._entries[fingerprint] = (first, end_ms)
        self._entries.move_to_end(fingerprint)
        if len(self._entries) > self._settings.suspect_cache_size:
            self._entries.popitem(last=False)

    def remove(self, fingerprint: str) -> None:
        """Remove a suspect that was answered, if it is cached."""
        self._entries.pop(fingerprint, None)

    def first_upstream(self, fingerprint: str) -> str | None:
        """Return the upstream that a suspect crashed, or None if it is no suspect."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return None
        upstream, end_ms = entry
        if end_ms <= self._clock.monotonic_ms():
            del self._entries[fingerprint]
            return None
        return upstream

    def raise_if_suspect(self, fingerprint: str) -> None:
        """Refuse a request whose fingerprint is a suspect.

        Raises:
            SuspectError: If the fingerprint is a suspect.
        """
        upstream = self.first_upstream(fingerprint)
        if upstream is not None:
            raise SuspectError(fingerprint, first_upstream=upstream)


class CanaryRun:
    """A canary in flight, for which canaries with the same fingerprint wait.

    Attributes:
        was_answered: Whether the upstream answered the canary.
        refusal_reason: Why no upstream may get the fingerprint, or None.
        done: Event that is set when the canary has ended, with or without an answer.
    """

    def __init__(self) -> None:
        self.was_answered = False
        self.refusal_reason: str | None = None
        self.done = anyio.Event()
