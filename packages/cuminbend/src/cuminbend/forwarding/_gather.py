"""Collection of the parts of a fan-out, and merging of their records."""

from collections.abc import Mapping
from dataclasses import dataclass

RECORD_BYTES = 16
# Tolerance for rounding when a coverage is compared with the smallest allowed one.
_COVERAGE_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class ShardPart:
    """The answer of one shard.

    Attributes:
        stamp: Signature of the upstream's answer.
        body: Records of 16 bytes in any order; a shorter remainder is ignored.
    """

    stamp: bytes
    body: bytes


def merge_greatest_records(bodies: list[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, the greatest first.

    Records are compared byte by byte; duplicates are kept.
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

    The value of an answer grows with the square of its coverage and drops to a small
    fraction after the latency objective. Before the objective the best choice is
    therefore to wait for every shard. At the objective it is to answer with the parts
    received, if they are enough for a success. After the objective, waiting for more
    parts than a success needs has no benefit.

    Args:
        shards: Names of the shards of one configuration.
        min_coverage: Smallest share of the shards that makes a success.
    """

    def __init__(self, *, shards: tuple[str, ...], min_coverage: float) -> None:
        self._shard_count = len(shards)
        self._min_coverage = min_coverage
        self._stamps: dict[str, bytes] = {}
        self._seen_stamps: set[bytes] = set()
        self._bodies: list[bytes] = []

    @property
    def missing_count(self) -> int:
        """Number of shards without a part."""
        return self._shard_count - len(self._stamps)

    @property
    def coverage(self) -> float:
        """Share of the shards with a part, 0 to 1."""
        return len(self._stamps) / self._shard_count

    @property
    def is_success(self) -> bool:
        """Whether enough parts were added for a success."""
        return (
            bool(self._stamps)
            and self.coverage >= self._min_coverage - _COVERAGE_TOLERANCE
        )

    def add(self, shard: str, part: ShardPart) -> bool:
        """Add a part; return False if its shard or stamp was added before."""
        return self.add_group({shard: part.stamp}, part.body)

    def add_group(self, stamps: Mapping[str, bytes], records: bytes) -> bool:
        """Add the merged records of several shards, or add nothing.

        Args:
            stamps: Signature of each shard's part.
            records: The greatest records of these parts, at least as many as the
                whole answer may hold, or all of them.

        Returns:
            False if a shard or a signature was added before; nothing is added then.
        """
        new_stamps = set(stamps.values())
        if len(new_stamps) < len(stamps) or not self._seen_stamps.isdisjoint(
            new_stamps
        ):
            return False
        if not self._stamps.keys().isdisjoint(stamps):
            return False
        self._seen_stamps |= new_stamps
        self._stamps.update(stamps)
        self._bodies.append(records)
        return True

    def has_part(self, shard: str) -> bool:
        """Return whether the part of a shard was added."""
        return shard in self._stamps

    def can_succeed(self, pending: int) -> bool:
        """Return whether parts of ``pending`` more shards could make a success."""
        reachable = (len(self._stamps) + pending) / self._shard_count
        return reachable >= self._min_coverage - _COVERAGE_TOLERANCE

    def should_answer(self, *, pending: int, objective_passed: bool) -> bool:
        """Return whether to answer now with the parts that were added.

        Args:
            pending: Number of shards that may still answer.
            objective_passed: Whether the latency objective has passed.
        """
        if not self.is_success:
            return False
        return pending == 0 or objective_passed

    def stamps(self) -> list[bytes]:
        """Return the signatures of the parts that were added."""
        return list(self._stamps.values())

    def merged_records(self, top_k: int) -> bytes:
        """Return the ``top_k`` greatest records of the parts that were added."""
        return merge_greatest_records(self._bodies, top_k)
