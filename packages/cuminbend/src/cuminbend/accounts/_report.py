"""What a report of the accounts contains."""

from dataclasses import dataclass

__all__ = [
    "COVERAGE_BOUNDS",
    "LATENCY_BOUNDS_MS",
    "Histogram",
    "MemberReport",
    "RefusalCount",
    "ServiceReport",
]

# Fine around 300 ms, the latency target of the members, and up to the longest
# request budget (2000 ms).
LATENCY_BOUNDS_MS = (
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    30.0,
    50.0,
    75.0,
    100.0,
    150.0,
    200.0,
    250.0,
    300.0,
    400.0,
    500.0,
    750.0,
    1000.0,
    1500.0,
    2000.0,
)

# An answer with full coverage falls into the bucket of 1.0 and no other answer does.
COVERAGE_BOUNDS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 0.999999, 1.0)


@dataclass(frozen=True, slots=True)
class Histogram:
    """Counts per bucket.

    Attributes:
        bounds: Inclusive upper bound of each bucket, ascending.
        counts: One count per bound, and a last one for values above all bounds.
        total: Sum of all values.
    """

    bounds: tuple[float, ...]
    counts: tuple[int, ...]
    total: float

    @property
    def count(self) -> int:
        """Number of values."""
        return sum(self.counts)


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """Requests that failed in one way.

    Attributes:
        kind: Class name of the error, with the kind of an upstream error after a dot.
    """

    kind: str
    run_state: str
    count: int


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """Account of one member at one service or group of services.

    Attributes:
        answers_in_time: Answers within the deadline of their request.
        answers_late: Answers after it.
        replays: Submits answered from the record of an earlier run.
        first_attempts: Requests to upstreams besides hedges and retries.
        hedges: Additional requests sent while another was in flight.
        retries: Requests sent after another had failed.
        extra_load: Hedges and retries per first attempt.
        slot_ms: Slot time used, including time lent by other members.
        borrowed_slot_ms: Part of ``slot_ms`` that was the share of others.
        lent_slot_ms: Slot time of the member's share that others used.
    """

    service: str
    answers_in_time: int
    answers_late: int
    replays: int
    first_attempts: int
    hedges: int
    retries: int
    extra_load: float
    slot_ms: float
    borrowed_slot_ms: float
    lent_slot_ms: float
    coverage: Histogram
    latency_ms: Histogram
    refusals: tuple[RefusalCount, ...]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Account of one member: the sum over all services, and each service."""

    member: str
    total: ServiceReport
    services: tuple[ServiceReport, ...]
