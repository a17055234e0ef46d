"""Counters of one instance per member and service."""

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

# Names of refused requests come from callers and need not be declared.
DEFAULT_MAX_ROWS = 10_000
OTHER = "(other)"


class _Buckets:
    """A histogram under construction."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def merge(self, other: "_Buckets") -> None:
        self.counts = [a + b for a, b in zip(self.counts, other.counts, strict=True)]
        self.total += other.total

    def freeze(self) -> Histogram:
        return Histogram(self.bounds, tuple(self.counts), self.total)


class _Row:
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
        self.coverage = _Buckets(COVERAGE_BOUNDS)
        self.latency_ms = _Buckets(LATENCY_BOUNDS_MS)

    def answered(self, latency_ms: float, deadline_ms: float) -> None:
        if latency_ms <= deadline_ms:
            self.in_time += 1
        else:
            self.late += 1
        self.latency_ms.add(latency_ms)

    def merge(self, other: "_Row") -> None:
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

    def freeze(self, service: str) -> ServiceReport:
        hedges = self.attempts[WorkKind.HEDGE]
        retries = self.attempts[WorkKind.RETRY]
        first = self.attempts.total() - hedges - retries
        return ServiceReport(
            service=service,
            answers_in_time=self.in_time,
            answers_late=self.late,
            replays=self.replays,
            first_attempts=first,
            hedges=hedges,
            retries=retries,
            extra_load=(hedges + retries) / first if first else 0.0,
            slot_ms=self.slot_ms,
            borrowed_slot_ms=self.borrowed_slot_ms,
            lent_slot_ms=self.lent_slot_ms,
            coverage=self.coverage.freeze(),
            latency_ms=self.latency_ms.freeze(),
            refusals=tuple(
                RefusalCount(kind, run_state, count)
                for (kind, run_state), count in sorted(self.refusals.items())
            ),
        )


class MemberAccounts:
    """Counts what each member got from this instance, since the process started.

    Args:
        max_rows: Pairs of member and service counted apart. Pairs beyond it are
            counted together under the name ``(other)``.
    """

    def __init__(self, *, max_rows: int = DEFAULT_MAX_ROWS) -> None:
        self._max_rows = max_rows
        self._rows: dict[tuple[str, str], _Row] = {}

    def _row(self, member: str, service: str) -> _Row:
        row = self._rows.get((member, service))
        if row is None:
            if len(self._rows) >= self._max_rows:
                member = service = OTHER
            row = self._rows.setdefault((member, service), _Row())
        return row

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

        Latency and deadline count from the arrival of the request; coverage is the
        share of the shards answered in full, 0 to 1.
        """
        row = self._row(member, service)
        row.answered(latency_ms, deadline_ms)
        row.coverage.add(coverage)

    def count_submit(
        self,
        *,
        member: str,
        service: str,
        latency_ms: float,
        deadline_ms: float,
        replayed: bool = False,
    ) -> None:
        """Count an answered submit; ``replayed`` if the record answered it."""
        row = self._row(member, service)
        row.answered(latency_ms, deadline_ms)
        row.replays += replayed

    def count_attempt(self, *, member: str, service: str, kind: WorkKind) -> None:
        """Count a request that is sent to an upstream."""
        self._row(member, service).attempts[kind] += 1

    def count_failure(
        self, *, member: str, service: str, error: RequestFailedError
    ) -> None:
        """Count a request that failed, by the kind of error and its run state."""
        kind = type(error).__name__
        if isinstance(error, UpstreamError):
            kind = f"{kind}.{error.kind.value}"
        self._row(member, service).refusals[kind, error.run_state.value] += 1

    def slot_used(
        self, *, member: str, service: str, slot_ms: float, lender: str | None = None
    ) -> None:
        """Count the time that a request of a member held a slot of an upstream.

        ``lender`` is the member whose unused share was used, or None.
        """
        row = self._row(member, service)
        row.slot_ms += slot_ms
        if lender is not None and lender != member:
            row.borrowed_slot_ms += slot_ms
            self._row(lender, service).lent_slot_ms += slot_ms

    def report(self) -> tuple[MemberReport, ...]:
        """Return all counts, sorted by member and service."""
        by_member: dict[str, list[tuple[str, _Row]]] = {}
        for (member, service), row in sorted(
            self._rows.items(), key=lambda item: item[0]
        ):
            by_member.setdefault(member, []).append((service, row))
        return tuple(
            MemberReport(
                member=member,
                total=_sum(row for _, row in rows).freeze(""),
                services=tuple(row.freeze(service) for service, row in rows),
            )
            for member, rows in by_member.items()
        )


def _sum(rows: Iterable[_Row]) -> _Row:
    total = _Row()
    for row in rows:
        total.merge(row)
    return total
