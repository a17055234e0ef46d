"""Selection of replicas by latencies and failures observed at this instance."""

from collections.abc import Container, Sequence
from dataclasses import dataclass

from cuminbend.messages import UpstreamRecord
from cuminbend.ports import Clock, RandomSource
from cuminbend.query._settings import QuerySettings

# Weight of a new sample in the moving average of an upstream's latency.
_SAMPLE_WEIGHT = 0.2
# Reported load may be outdated or wrong, so the expected latency of a full upstream
# increases by no more than this share.
_LOAD_WEIGHT = 0.1
# Number of known upstreams below which absent ones are not removed.
_MIN_FORGET_THRESHOLD = 1000
# The time for which an upstream is avoided stops doubling after this many failures.
_MAX_AVOID_DOUBLINGS = 16


@dataclass(slots=True)
class _UpstreamStats:
    in_flight: int = 0
    latency_ms: float | None = None
    sampled_at_ms: float = 0.0
    failures: int = 0
    avoid_until_ms: float = 0.0


class ReplicaStats:
    """Latencies and failures of upstreams, and the selection of replicas by them."""

    def __init__(
        self,
        *,
        settings: QuerySettings,
        clock: Clock,
        random: RandomSource,
        local_data_centre: str,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random
        self._local_data_centre = local_data_centre
        self._stats: dict[str, _UpstreamStats] = {}
        self._unreachable: set[str] = set()
        self._forget_threshold = _MIN_FORGET_THRESHOLD

    def record_start(self, upstream: str) -> None:
        """Count an attempt in flight."""
        self._get_stats(upstream).in_flight += 1

    def record_end(self, upstream: str) -> None:
        """Count the end of an attempt, with any outcome."""
        self._get_stats(upstream).in_flight -= 1

    def record_success(self, upstream: str, latency_ms: float) -> None:
        """Record a reply."""
        stats = self._get_stats(upstream)
        stats.failures = 0
        self._unreachable.discard(upstream)
        stats.avoid_until_ms = 0.0
        self._add_sample(stats, latency_ms)

    def record_slow_attempt(self, upstream: str, waited_ms: float) -> None:
        """Record an attempt without a reply whose latency is at least ``waited_ms``."""
        stats = self._get_stats(upstream)
        if stats.latency_ms is None or waited_ms > stats.latency_ms:
            self._add_sample(stats, waited_ms)

    def record_failure(self, upstream: str, *, is_unreachable: bool) -> None:
        """Avoid an upstream for a time that doubles with each consecutive failure."""
        stats = self._get_stats(upstream)
        if is_unreachable:
            self._unreachable.add(upstream)
        delay_ms = self._settings.avoid_ms * 2 ** min(
            stats.failures, _MAX_AVOID_DOUBLINGS
        )
        stats.failures += 1
        stats.avoid_until_ms = self._clock.monotonic_ms() + min(
            delay_ms, self._settings.avoid_max_ms
        )

    def is_avoided(self, upstream: str) -> bool:
        """Return whether an upstream is avoided after a recent failure."""
        return self._get_stats(upstream).avoid_until_ms > self._clock.monotonic_ms()

    def unreachable_upstreams(self) -> set[str]:
        """Return the upstreams that are avoided because they were unreachable.

        Each of them failed at least twice in a row and was unreachable in at least
        one of these failures.
        """
        return {
            upstream
            for upstream in self._unreachable
            if self._get_stats(upstream).failures > 1 and self.is_avoided(upstream)
        }

    def choose_replica(
        self, records: Sequence[UpstreamRecord], *, typical_ms: float
    ) -> UpstreamRecord:
        """Return the replica with the lowest expected latency.

        Upstreams that failed recently are chosen only if there are no others; the one
        whose avoidance ends first is then returned. If more than two other replicas
        are left, two of them are drawn at random and compared, so that instances with
        the same observations do not all choose the same one.

        Args:
            records: At least one replica.
            typical_ms: Expected latency of an upstream that was not observed yet.
        """
        now = self._clock.monotonic_ms()
        usable = [
            record
            for record in records
            if not self.is_avoided(record.announcement.upstream)
        ]
        if not usable:
            return min(
                records,
                key=lambda r: self._get_stats(r.announcement.upstream).avoid_until_ms,
            )
        return min(
            self._draw_candidates(usable),
            key=lambda r: self._expected_latency_ms(r, typical_ms, now),
        )

    def _draw_candidates(self, records: list[UpstreamRecord]) -> list[UpstreamRecord]:
        first = records.pop(int(self._random.random() * len(records)))
        if not records:
            return [first]
        return [first, records[int(self._random.random() * len(records))]]

    def _expected_latency_ms(
        self, record: UpstreamRecord, typical_ms: float, now: float
    ) -> float:
        announcement = record.announcement
        stats = self._get_stats(announcement.upstream)
        latency_ms = typical_ms
        if stats.latency_ms is not None:
            # The weight of a sample decays, so that a slow upstream is tried again.
            age_ms = now - stats.sampled_at_ms
            weight = 0.5 ** (age_ms / self._settings.latency_half_life_ms)
            latency_ms += (stats.latency_ms - typical_ms) * weight
        latency_ms *= 1 + stats.in_flight / max(announcement.slots, 1)
        latency_ms *= 1 + _LOAD_WEIGHT * min(max(announcement.load, 0.0), 1.0)
        if announcement.data_centre != self._local_data_centre:
            latency_ms += self._settings.remote_penalty_ms
        return latency_ms

    def _add_sample(self, stats: _UpstreamStats, latency_ms: float) -> None:
        if stats.latency_ms is None:
            stats.latency_ms = latency_ms
        else:
            stats.latency_ms += _SAMPLE_WEIGHT * (latency_ms - stats.latency_ms)
        stats.sampled_at_ms = self._clock.monotonic_ms()

    def _get_stats(self, upstream: str) -> _UpstreamStats:
        return self._stats.setdefault(upstream, _UpstreamStats())

    def forget_absent(self, known: Container[str]) -> None:
        """Remove idle upstreams that are no longer announced.

        Does nothing until the number of upstreams has doubled since the last removal,
        so it may be called for each search.

        Args:
            known: Names of the announced upstreams.
        """
        if len(self._stats) < self._forget_threshold:
            return
        for upstream in [name for name in self._stats if name not in known]:
            if not self._stats[upstream].in_flight:
                del self._stats[upstream]
                self._unreachable.discard(upstream)
        self._forget_threshold = max(_MIN_FORGET_THRESHOLD, 2 * len(self._stats))

    def dump(self) -> dict[str, dict[str, float | None]]:
        """Return the observations by upstream, for a state dump."""
        return {
            name: {
                "in_flight": entry.in_flight,
                "latency_ms": entry.latency_ms,
                "failures": entry.failures,
                "avoid_until_ms": entry.avoid_until_ms,
            }
            for name, entry in sorted(self._stats.items())
        }
