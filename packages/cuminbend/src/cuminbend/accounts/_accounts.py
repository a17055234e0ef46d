"""Request counters of one instance, per member and service."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable

from cuminbend.accounts._report import (
    COVERAGE_BOUNDS,
    LATENCY_BOUNDS_MS,
    Histogram,
    MemberReport,
    RefusalCount,
    ServiceReport,
)
from cuminbend.exceptions import RequestFailedError, UpstreamError
from cuminbend.messages import WorkKind

__all__ = ["MemberAccounts"]

# Refused requests are counted under the names that callers send. These names need not
# be declared, so the number of rows needs a limit.
DEFAULT_MAX_ROWS = 10_000
OTHER_NAME = "(other)"


class _HistogramBuilder:
    """Mutable counts from which a :class:`Histogram` is built."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def merge(self, other: "_HistogramBuilder") -> None:
        self.counts = [a + b for a, b in zip(self.counts, other.counts, strict=True)]
        self.total += other.total

    def build_histogram(self) -> Histogram:
        return Histogram(self.bounds, tuple(self.counts), self.total)


class _ServiceCounts:
    """Counters of one member at one service."""

    __slots__ = (
        "attempts",
        "borrowed_slot_ms",
        "coverage",
        "in_time",
        "late",
        "latency_ms",
        "lent_slot_ms",
        "refusals",
        "replays",
        "slot_ms",
    )

    def __init__(self) -> None:
        self.in_time = 0
        self.late = 0
        self.replays = 0
        self.attempts: Counter[WorkKind] = Counter()
        self.refusals: Counter[tuple[str, str]] = Counter()
        self.slot_ms = 0.0
        self.borrowed_slot_ms = 0.0
        self.lent_slot_ms = 0.0
        self.coverage = _HistogramBuilder(COVERAGE_BOUNDS)
        self.latency_ms = _HistogramBuilder(LATENCY_BOUNDS_MS)

    def count_answer(self, latency_ms: float, deadline_ms: float) -> None:
        if latency_ms <= deadline_ms:
            self.in_time += 1
        else:
            self.late += 1
        self.latency_ms.add(latency_ms)

    def merge(self, other: "_ServiceCounts") -> None:
        self.in_time += other.in_time
        self.late += other.late
        self.replays += other.replays
        self.attempts.update(other.attempts)
        self.refusals.update(other.refusals)
        self.slot_ms += other.slot_ms
        self.borrowed_slot_ms += other.borrowed_slot_ms
        self.lent_slot_ms += other.lent_slot_ms
        self.coverage.merge(other.coverage)
        self.latency_ms.merge(other.latency_ms)

    def build_report(self, service: str) -> ServiceReport:
        hedges = self.attempts[WorkKind.HEDGE]
        retries = self.attempts[WorkKind.RETRY]
        first_attempts = self.attempts.total() - hedges - retries
        return ServiceReport(
            service=service,
            answers_in_time=self.in_time,
            answers_late=self.late,
            replays=self.replays,
            first_attempts=first_attempts,
            hedges=hedges,
            retries=retries,
            extra_load=(hedges + retries) / first_attempts if first_attempts else 0.0,
            slot_ms=self.slot_ms,
            borrowed_slot_ms=self.borrowed_slot_ms,
            lent_slot_ms=self.lent_slot_ms,
            coverage=self.coverage.build_histogram(),
            latency_ms=self.latency_ms.build_histogram(),
            refusals=tuple(
                RefusalCount(kind, run_state, count)
                for (kind, run_state), count in sorted(self.refusals.items())
            ),
        )


class MemberAccounts:
    """Counts the requests of each member at this instance since the process started.

    Args:
        max_rows: Number of pairs of member and service that are counted separately.
            Further pairs are counted together under the name ``(other)``.
    """

    def __init__(self, *, max_rows: int = DEFAULT_MAX_ROWS) -> None:
        self._max_rows = max_rows
        self._rows: dict[tuple[str, str], _ServiceCounts] = {}

    def _get_counts(self, member: str, service: str) -> _ServiceCounts:
        counts = self._rows.get((member, service))
        if counts is None:
            if len(self._rows) >= self._max_rows:
                member = service = OTHER_NAME
            counts = self._rows.setdefault((member, service), _ServiceCounts())
        return counts

    def count_search(
        self,
        *,
        member: str,
        service: str,
        latency_ms: float,
        deadline_ms: float,
        coverage: float,
    ) -> None:
        """Count an answered search of a service or group.

        Latency and deadline are measured from the arrival of the request. ``coverage``
        is the share of the shards that were answered in full, 0 to 1.
        """
        counts = self._get_counts(member, service)
        counts.count_answer(latency_ms, deadline_ms)
        counts.coverage.add(coverage)

    def count_submit(
        self,
        *,
        member: str,
        service: str,
        latency_ms: float,
        deadline_ms: float,
        replayed: bool = False,
    ) -> None:
        """Count an answered submit.

        ``replayed`` tells whether the recorded reply of an earlier run was returned.
        """
        counts = self._get_counts(member, service)
        counts.count_answer(latency_ms, deadline_ms)
        counts.replays += replayed

    def count_attempt(self, *, member: str, service: str, kind: WorkKind) -> None:
        """Count a request sent to an upstream."""
        self._get_counts(member, service).attempts[kind] += 1

    def count_failure(
        self, *, member: str, service: str, error: RequestFailedError
    ) -> None:
        """Count a failed request by the kind of its error and its run state."""
        kind = type(error).__name__
        if isinstance(error, UpstreamError):
            kind = f"{kind}.{error.kind.value}"
        self._get_counts(member, service).refusals[kind, error.run_state.value] += 1

    def count_slot_time(
        self, *, member: str, service: str, slot_ms: float, lender: str | None = None
    ) -> None:
        """Add the time for which a request of a member occupied a slot of an upstream.

        ``lender`` is the member whose unused share the slot belonged to, or None.
        """
        counts = self._get_counts(member, service)
        counts.slot_ms += slot_ms
        if lender is not None and lender != member:
            counts.borrowed_slot_ms += slot_ms
            self._get_counts(lender, service).lent_slot_ms += slot_ms

    def report(self) -> tuple[MemberReport, ...]:
        """Return all counts, sorted by member and service."""
        by_member: dict[str, list[tuple[str, _ServiceCounts]]] = {}
        for (member, service), counts in sorted(
            self._rows.items(), key=lambda item: item[0]
        ):
            by_member.setdefault(member, []).append((service, counts))
        return tuple(
            MemberReport(
                member=member,
                total=_sum_counts(counts for _, counts in rows).build_report(""),
                services=tuple(
                    counts.build_report(service) for service, counts in rows
                ),
            )
            for member, rows in by_member.items()
        )


def _sum_counts(rows: Iterable[_ServiceCounts]) -> _ServiceCounts:
    total = _ServiceCounts()
    for counts in rows:
        total.merge(counts)
    return total
