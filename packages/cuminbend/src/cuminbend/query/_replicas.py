"""Choice among the replicas of a shard by own observations."""

from collections.abc import Container, Sequence
from dataclasses import dataclass

from cuminbend.messages import UpstreamRecord
from cuminbend.ports import Clock, RandomSource
from cuminbend.query._settings import QuerySettings

# Weight of a new sample in the moving average of an upstream.
_SAMPLE_WEIGHT = 0.2
# Reported load lags or misleads, so a full upstream looks at most this much slower.
_LOAD_WEIGHT = 0.1
# Upstreams remembered before absent ones are looked for.
_FORGET_LIMIT = 1000


@dataclass(slots=True)
class _Observed:
    in_flight: int = 0
    latency_ms: float | None = None
    sampled_at_ms: float = 0.0
    failures: int = 0
    avoid_until_ms: float = 0.0


class ReplicaBoard:
    """Own observations of upstreams, and the choice that follows from them."""

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
        self._observed: dict[str, _Observed] = {}
        self._unreachable: set[str] = set()
        self._forget_at = _FORGET_LIMIT

    def started(self, upstream: str) -> None:
        """Count an attempt in flight."""
        self._of(upstream).in_flight += 1

    def ended(self, upstream: str) -> None:
        """Count an attempt that ended in whatever way."""
        self._of(upstream).in_flight -= 1

    def succeeded(self, upstream: str, latency_ms: float) -> None:
        """Record a reply."""
        observed = self._of(upstream)
        observed.failures = 0
        self._unreachable.discard(upstream)
        observed.avoid_until_ms = 0.0
        self._sample(observed, latency_ms)

    def abandoned(self, upstream: str, waited_ms: float) -> None:
        """Record a cancelled attempt, whose latency is at least ``waited_ms``."""
        observed = self._of(upstream)
        if observed.latency_ms is None or waited_ms > observed.latency_ms:
            self._sample(observed, waited_ms)

    def failed(self, upstream: str, *, is_unreachable: bool) -> None:
        """Avoid an upstream for a time that grows with each failure in a row."""
        observed = self._of(upstream)
        if is_unreachable:
            self._unreachable.add(upstream)
        delay = self._settings.avoid_ms * 2 ** min(observed.failures, 16)
        observed.failures += 1
        observed.avoid_until_ms = self._clock.monotonic_ms() + min(
            delay, self._settings.avoid_max_ms
        )

    def is_avoided(self, upstream: str) -> bool:
        """Tell whether an upstream failed lately."""
        return self._of(upstream).avoid_until_ms > self._clock.monotonic_ms()

    def unreachable(self) -> set[str]:
        """Return the upstreams that could not be reached twice in a row lately."""
        return {
            upstream
            for upstream in self._unreachable
            if self._of(upstream).failures > 1 and self.is_avoided(upstream)
        }

    def choose(
        self, records: Sequence[UpstreamRecord], *, typical_ms: float
    ) -> UpstreamRecord:
        """Return the replica with the least expected latency.

        Upstreams that failed lately are taken only if there is no other. Of more than
        two, two are drawn at random first, so that instances with the same picture do
        not all choose the same one.

        Args:
            records: At least one replica.
            typical_ms: Expected latency of an upstream without own observations.
        """
        now = self._clock.monotonic_ms()
        usable = [
            record
            for record in records
            if not self.is_avoided(record.announcement.upstream)
        ]
        if not usable:
            return min(
                records, key=lambda r: self._of(r.announcement.upstream).avoid_until_ms
            )
        return min(
            self._draw_two(usable), key=lambda r: self._expected_ms(r, typical_ms, now)
        )

    def _draw_two(self, records: list[UpstreamRecord]) -> list[UpstreamRecord]:
        first = records.pop(int(self._random.random() * len(records)))
        if not records:
            return [first]
        return [first, records[int(self._random.random() * len(records))]]

    def _expected_ms(
        self, record: UpstreamRecord, typical_ms: float, now: float
    ) -> float:
        announcement = record.announcement
        observed = self._of(announcement.upstream)
        latency_ms = typical_ms
        if observed.latency_ms is not None:
            # An old sample loses weight, so that a slow upstream is tried again.
            age_ms = now - observed.sampled_at_ms
            weight = 0.5 ** (age_ms / self._settings.forget_ms)
            latency_ms += (observed.latency_ms - typical_ms) * weight
        latency_ms *= 1 + observed.in_flight / max(announcement.slots, 1)
        latency_ms *= 1 + _LOAD_WEIGHT * min(max(announcement.load, 0.0), 1.0)
        if announcement.data_centre != self._local_data_centre:
            latency_ms += self._settings.hop_ms
        return latency_ms

    def _sample(self, observed: _Observed, latency_ms: float) -> None:
        if observed.latency_ms is None:
            observed.latency_ms = latency_ms
        else:
            observed.latency_ms += _SAMPLE_WEIGHT * (latency_ms - observed.latency_ms)
        observed.sampled_at_ms = self._clock.monotonic_ms()

    def _of(self, upstream: str) -> _Observed:
        return self._observed.setdefault(upstream, _Observed())

    def forget_absent(self, known: Container[str]) -> None:
        """Drop idle upstreams that are no longer announced.

        Does nothing until the number of upstreams has doubled since the last time, so
        it may be called with each query.
        """
        if len(self._observed) < self._forget_at:
            return
        for upstream in [name for name in self._observed if name not in known]:
            if not self._observed[upstream].in_flight:
                del self._observed[upstream]
                self._unreachable.discard(upstream)
        self._forget_at = max(_FORGET_LIMIT, 2 * len(self._observed))

    def dump(self) -> dict[str, dict[str, float | None]]:
        """Return the observations by upstream."""
        return {
            name: {
                "in_flight": seen.in_flight,
                "latency_ms": seen.latency_ms,
                "failures": seen.failures,
                "avoid_until_ms": seen.avoid_until_ms,
            }
            for name, seen in sorted(self._observed.items())
        }
