"""Fingerprints of searches, and the canaries and crashes recorded for them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

import anyio

from cuminbend.messages import Snapshot
from cuminbend.ports import Clock
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import ShardKey


def order_shards(fingerprint: str, keys: Iterable[ShardKey]) -> list[ShardKey]:
    """Return shards in the canary order, which is the same at every instance."""
    return sorted(keys, key=lambda key: _hash_parts(fingerprint, key[0], str(key[1])))


def order_upstreams(fingerprint: str, upstreams: Iterable[str]) -> list[str]:
    """Return upstreams in the canary order, which is the same at every instance."""
    return sorted(upstreams, key=lambda upstream: _hash_parts(fingerprint, upstream))


def _hash_parts(*parts: str) -> bytes:
    return blake2b("\0".join(parts).encode(), digest_size=8).digest()


@dataclass(frozen=True, slots=True)
class _CanaryPass:
    snapshot: Snapshot
    passed_at_ms: float
    # Upstreams that the request had crashed before; another upstream then answered it.
    crashed_before: frozenset[str]


@dataclass(slots=True)
class _CrashRecord:
    upstreams: set[str] = field(default_factory=set)
    last_crash_at_ms: float = 0.0


class FingerprintTable:
    """Fingerprints that passed a canary, have one in progress, or crashed upstreams."""

    def __init__(self, *, settings: QuerySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._canary_passes: OrderedDict[str, _CanaryPass] = OrderedDict()
        self._crash_records: OrderedDict[str, _CrashRecord] = OrderedDict()
        self._canaries_in_progress: dict[str, anyio.Event] = {}

    def has_passed_canary(self, fingerprint: str, snapshot: Snapshot) -> bool:
        """Return whether an upstream recently answered the fingerprint from a snapshot.

        A request that is harmless on one index may crash upstreams on the next one.
        """
        canary_pass = self._canary_passes.get(fingerprint)
        return (
            canary_pass is not None
            and canary_pass.snapshot == snapshot
            and self._clock.monotonic_ms()
            < canary_pass.passed_at_ms + self._settings.canary_valid_ms
        )

    def was_answered_after_crash(self, fingerprint: str, upstream: str) -> bool:
        """Return whether the fingerprint was answered after it crashed ``upstream``.

        Until the next poll after the answer, the suspects known to this instance may
        still list the fingerprint.
        """
        canary_pass = self._canary_passes.get(fingerprint)
        return canary_pass is not None and upstream in canary_pass.crashed_before

    def record_answered(
        self, fingerprint: str, snapshot: Snapshot, crashed_before: Iterable[str] = ()
    ) -> None:
        """Record that an upstream answered the fingerprint.

        Args:
            fingerprint: Fingerprint of the search.
            snapshot: Snapshot that the answer came from.
            crashed_before: Upstreams that the request is known to have crashed before.
        """
        self._crash_records.pop(fingerprint, None)
        self._canary_passes[fingerprint] = _CanaryPass(
            snapshot, self._clock.monotonic_ms(), frozenset(crashed_before)
        )
        self._canary_passes.move_to_end(fingerprint)
        if len(self._canary_passes) > self._settings.max_fingerprints:
            self._canary_passes.popitem(last=False)

    def extend_canary_pass(self, fingerprint: str) -> None:
        """Renew the canary pass of an answered search, unless it was dropped."""
        canary_pass = self._canary_passes.get(fingerprint)
        if canary_pass is not None:
            self.record_answered(
                fingerprint, canary_pass.snapshot, canary_pass.crashed_before
            )

    def drop_canary_pass(self, fingerprint: str) -> None:
        """Require a canary for the next search with the fingerprint."""
        self._canary_passes.pop(fingerprint, None)

    def record_crash(self, fingerprint: str, upstream: str) -> None:
        """Record that the fingerprint crashed, or may have crashed, an upstream."""
        crash_record = self._crash_records.setdefault(fingerprint, _CrashRecord())
        crash_record.upstreams.add(upstream)
        crash_record.last_crash_at_ms = self._clock.monotonic_ms()
        self._crash_records.move_to_end(fingerprint)
        self.drop_canary_pass(fingerprint)
        if len(self._crash_records) > self._settings.max_fingerprints:
            self._crash_records.popitem(last=False)

    def crashed_upstreams(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams recently recorded as crashed by the fingerprint."""
        crash_record = self._crash_records.get(fingerprint)
        if crash_record is None:
            return frozenset()
        if (
            self._clock.monotonic_ms()
            >= crash_record.last_crash_at_ms + self._settings.crash_retention_ms
        ):
            del self._crash_records[fingerprint]
            return frozenset()
        return frozenset(crash_record.upstreams)

    def canary_end_event(self, fingerprint: str) -> anyio.Event | None:
        """Return the event that is set when the canary in progress ends.

        Returns:
            The event, or None if no canary of the fingerprint is in progress.
        """
        return self._canaries_in_progress.get(fingerprint)

    def begin_canary(self, fingerprint: str) -> None:
        """Mark the canary of a fingerprint as in progress."""
        self._canaries_in_progress[fingerprint] = anyio.Event()

    def end_canary(self, fingerprint: str) -> None:
        """End the canary of a fingerprint and wake the searches that wait for it."""
        self._canaries_in_progress.pop(fingerprint).set()

    def dump(self) -> dict[str, object]:
        """Return counts and crashed upstreams by fingerprint, for a state dump."""
        return {
            "proven": len(self._canary_passes),
            "in_progress": sorted(self._canaries_in_progress),
            "broken": {
                fingerprint: sorted(crash_record.upstreams)
                for fingerprint, crash_record in self._crash_records.items()
            },
        }
