"""Fingerprints of searches, and what this instance knows about them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

import anyio

from cuminbend.messages import Snapshot
from cuminbend.ports import Clock
from cuminbend.query._settings import QuerySettings
from cuminbend.query._snapshots import ShardKey


def compute_fingerprint(target: str, body: bytes) -> str:
    """Return the digest of what upstreams see of a search.

    The member is left out, because the same body breaks upstreams whoever sends it.
    """
    name = target.encode()
    digest = blake2b(digest_size=16)
    digest.update(len(name).to_bytes(4, "big") + name + body)
    return digest.hexdigest()


def order_shards(fingerprint: str, keys: Iterable[ShardKey]) -> list[ShardKey]:
    """Return shards in the canary order, which is the same at every instance."""
    return sorted(keys, key=lambda key: _rank(fingerprint, key[0], str(key[1])))


def order_upstreams(fingerprint: str, upstreams: Iterable[str]) -> list[str]:
    """Return upstreams in the canary order, which is the same at every instance."""
    return sorted(upstreams, key=lambda upstream: _rank(fingerprint, upstream))


def _rank(*parts: str) -> bytes:
    return blake2b("\0".join(parts).encode(), digest_size=8).digest()


@dataclass(frozen=True, slots=True)
class _Proof:
    snapshot: Snapshot
    at_ms: float
    # Upstreams known as broken at the time; the reply shows that another one is not.
    cleared: frozenset[str]


@dataclass(slots=True)
class _Broken:
    upstreams: set[str] = field(default_factory=set)
    at_ms: float = 0.0


class FingerprintBook:
    """Fingerprints proven, in progress, or found to break upstreams."""

    def __init__(self, *, settings: QuerySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._proven: OrderedDict[str, _Proof] = OrderedDict()
        self._broken: OrderedDict[str, _Broken] = OrderedDict()
        self._in_progress: dict[str, anyio.Event] = {}

    def is_proven(self, fingerprint: str, snapshot: Snapshot) -> bool:
        """Tell whether an upstream answered the fingerprint from a snapshot lately.

        A request that was harmless on one index may break upstreams on the next one.
        """
        proof = self._proven.get(fingerprint)
        return (
            proof is not None
            and proof.snapshot == snapshot
            and self._clock.monotonic_ms() < proof.at_ms + self._settings.proven_ms
        )

    def is_cleared(self, fingerprint: str, upstream: str) -> bool:
        """Tell whether the fingerprint was answered after it broke ``upstream``.

        The list of suspects of this instance lags behind by a poll.
        """
        proof = self._proven.get(fingerprint)
        return proof is not None and upstream in proof.cleared

    def record_answered(
        self, fingerprint: str, snapshot: Snapshot, broken: Iterable[str] = ()
    ) -> None:
        """Remember that an upstream answered the fingerprint.

        ``broken`` names the upstreams that it was known to have broken before.
        """
        self._broken.pop(fingerprint, None)
        self._proven[fingerprint] = _Proof(
            snapshot, self._clock.monotonic_ms(), frozenset(broken)
        )
        self._proven.move_to_end(fingerprint)
        if len(self._proven) > self._settings.proven_limit:
            self._proven.popitem(last=False)

    def extend_proof(self, fingerprint: str) -> None:
        """Prolong the proof of a search that was answered, unless it was dropped."""
        proof = self._proven.get(fingerprint)
        if proof is not None:
            self.record_answered(fingerprint, proof.snapshot, proof.cleared)

    def drop_proof(self, fingerprint: str) -> None:
        """Have the next search with the fingerprint tried by a canary."""
        self._proven.pop(fingerprint, None)

    def record_broken(self, fingerprint: str, upstream: str) -> None:
        """Remember that the fingerprint broke, or may have broken, an upstream."""
        broken = self._broken.setdefault(fingerprint, _Broken())
        broken.upstreams.add(upstream)
        broken.at_ms = self._clock.monotonic_ms()
        self._broken.move_to_end(fingerprint)
        self.drop_proof(fingerprint)
        if len(self._broken) > self._settings.proven_limit:
            self._broken.popitem(last=False)

    def broken_upstreams(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams that the fingerprint broke lately from here."""
        broken = self._broken.get(fingerprint)
        if broken is None:
            return frozenset()
        if self._clock.monotonic_ms() >= broken.at_ms + self._settings.broken_ms:
            del self._broken[fingerprint]
            return frozenset()
        return frozenset(broken.upstreams)

    def in_progress(self, fingerprint: str) -> anyio.Event | None:
        """Return the event set when the canary in progress ends, if there is one."""
        return self._in_progress.get(fingerprint)

    def begin(self, fingerprint: str) -> None:
        """Mark the canary of a fingerprint as in progress."""
        self._in_progress[fingerprint] = anyio.Event()

    def end(self, fingerprint: str) -> None:
        """Wake the searches that wait for the canary of a fingerprint."""
        self._in_progress.pop(fingerprint).set()

    def dump(self) -> dict[str, object]:
        """Return counts, and the fingerprints that broke upstreams."""
        return {
            "proven": len(self._proven),
            "in_progress": sorted(self._in_progress),
            "broken": {
                fingerprint: sorted(broken.upstreams)
                for fingerprint, broken in self._broken.items()
            },
        }
