"""Request counts and histograms per member."""

from cuminbend.accounts._accounts import MemberAccounts
from cuminbend.accounts._report import (
    COVERAGE_BOUNDS,
    LATENCY_BOUNDS_MS,
    Histogram,
    MemberReport,
    RefusalCount,
    ServiceReport,
)

__all__ = [
    "COVERAGE_BOUNDS",
    "LATENCY_BOUNDS_MS",
    "Histogram",
    "MemberAccounts",
    "MemberReport",
    "RefusalCount",
    "ServiceReport",
]
