"""Parts of a fan-out: what is in, whether to answer, and the merged records."""

from collections.abc import Mapping
from dataclasses import dataclass

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True)
class ShardPart:
    """The answer of one shard.

    Attributes:
        stamp: Signature under which the upstream answered.
        body: Records of 16 bytes in any order; a shorter remainder is no record.
    """

    stamp: bytes
    body: bytes


def merge_greatest_records(bodies: list[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, the greatest first.

    Records are compared byte by byte; equal ones all count.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])


class PartCollector:
    """Collects the parts of one request and decides when to answer.

    An answer's worth grows with the square of the coverage and drops to a small
    fraction after the objective. Before the objective it therefore pays to wait for
    every shard; at the objective it pays to answer with what is in, if that is a
    success at all; after it nothing is won by waiting for more than a success needs.

    Args:
        shards: Names of the shards of one configuration.
        min_coverage: Smallest share of the shards that makes a success.
    """

    def __init__(self, *, shards: tuple[str, ...], min_coverage: float) -> None:
        self._total = len(shards)
        self._min_coverage = min_coverage
        self._stamps: dict[str, bytes] = {}
        self._seen: set[bytes] = set()
        self._bodies: list[bytes] = []

    @property
    def missing(self) -> int:
        """Shards that are not in."""
        return self._total - len(self._stamps)

    @property
    def coverage(self) -> float:
        """Share of the shards that are in."""
        return len(self._stamps) / self._total

    @property
    def is_success(self) -> bool:
        """Whether enough shards are in for a success."""
        return bool(self._stamps) and self.coverage >= self._min_coverage - 1e-9

    def add(self, shard: str, part: ShardPart) -> bool:
        """Add a part; return False if it repeats a shard or another part's stamp."""
        return self.add_group({shard: part.stamp}, part.body)

    def add_group(self, stamps: Mapping[str, bytes], records: bytes) -> bool:
        """Add the merged records of several shards, all of them or none.

        Args:
            stamps: Signature of each shard's part.
            records: The greatest records of these parts, at least as many as the
                whole answer may hold.

        Returns:
            False if a shard or a signature is in already.
        """
        new = set(stamps.values())
        if len(new) < len(stamps) or not self._seen.isdisjoint(new):
            return False
        if not self._stamps.keys().isdisjoint(stamps):
            return False
        self._seen |= new
        self._stamps.update(stamps)
        self._bodies.append(records)
        return True

    def has(self, shard: str) -> bool:
        """Return whether a shard is in."""
        return shard in self._stamps

    def can_succeed(self, pending: int) -> bool:
        """Return whether ``pending`` more shards could make it a success."""
        reachable = (len(self._stamps) + pending) / self._total
        return reachable >= self._min_coverage - 1e-9

    def should_answer(self, *, pending: int, objective_passed: bool) -> bool:
        """Return whether to answer now with the parts that are in."""
        if not self.is_success:
            return False
        return pending == 0 or objective_passed

    def stamps(self) -> list[bytes]:
        """Return the signatures of the parts that are in."""
        return list(self._stamps.values())

    def merged_records(self, top_k: int) -> bytes:
        """Return the ``top_k`` greatest records of the parts that are in."""
        return merge_greatest_records(self._bodies, top_k)
