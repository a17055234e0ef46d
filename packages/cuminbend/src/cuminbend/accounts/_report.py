"""Data classes of the report on members."""

from dataclasses import dataclass

__all__ = [
    "COVERAGE_BOUNDS",
    "LATENCY_BOUNDS_MS",
    "Histogram",
    "MemberReport",
    "RefusalCount",
    "ServiceReport",
]

# Finer buckets around 300 ms, the latency target of the members. The highest bound is
# the longest request budget (2000 ms).
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

# Only answers with full coverage fall into the bucket with bound 1.0.
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
    """Number of failed requests with one kind of error and one run state.

    Attributes:
        kind: Class name of the error; for an upstream error followed by a dot and the
            kind of the upstream error.
        run_state: Value of :class:`cuminbend.exceptions.RunState`.
    """

    kind: str
    run_state: str
    count: int


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """Counts of one member at one service or group of services.

    Attributes:
        service: Service or group; empty in the sum over all services.
        answers_in_time: Answers within the deadline of their request.
        answers_late: Answers after the deadline of their request.
        replays: Submits answered with the recorded reply of an earlier run.
        first_attempts: Requests to upstreams other than hedges and retries.
        hedges: Additional requests sent while another was in flight.
        retries: Requests sent after another had failed.
        extra_load: Hedges and retries per first attempt, 0 without first attempts.
        slot_ms: Slot time used, including time lent by other members.
        borrowed_slot_ms: Part of ``slot_ms`` from the shares of other members.
        lent_slot_ms: Slot time of the member's share that other members used.
        coverage: Shares of the shards answered in full, one value per search.
        latency_ms: Latencies of the answers.
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
    """Counts of one member: the sum over all services, and each service."""

    member: str
    total: ServiceReport
    services: tuple[ServiceReport, ...]
