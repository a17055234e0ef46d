"""Tests of limits that an upstream states, summed over all instances."""

import pytest
from cuminbend.forwarding import parse_limit

from cuminbendd.entry.tests._statements import WINDOW_MS, StatementFleet

# The bound holds from this time after the limit was first stated.
GRACE_MS = 4000.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def allowed_in_window(limit_per_s: float) -> float:
    return ALLOWED_FACTOR * limit_per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA


@pytest.mark.parametrize(
    ("instance_count", "limit_per_s", "load_per_s"),
    [(8, 9.1, 30.0), (8, 1.1, 12.0), (8, 0.0, 12.0), (40, 5.0, 60.0), (80, 1.0, 60.0)],
)
def test_stated_limit_holds_for_the_sum_over_instances(
    instance_count: int, limit_per_s: float, load_per_s: float
) -> None:
    """Guards against instances that each keep the limit but pass it together."""
    fleet = StatementFleet(instance_count, limit_per_s)
    fleet.run(20_000.0, load_per_s=load_per_s)
    assert fleet.most_in_window(GRACE_MS) <= allowed_in_window(limit_per_s)


def test_stated_limit_holds_while_instances_restart() -> None:
    """Guards against a limit that new instances, or those left, do not keep."""
    fleet = StatementFleet(8, 5.0)
    fleet.run(6000.0, load_per_s=40.0)
    for name in fleet.names[:4]:
        fleet.replace_instance(name)
        fleet.run(1500.0, load_per_s=40.0)
    assert fleet.most_in_window(GRACE_MS) <= allowed_in_window(5.0)


@pytest.mark.parametrize(("instance_count", "limit_per_s"), [(8, 9.1), (8, 1.1)])
def test_stated_limit_is_used(instance_count: int, limit_per_s: float) -> None:
    """Guards against parts of the limit that are lost among the instances."""
    fleet = StatementFleet(instance_count, limit_per_s)
    fleet.run(5000.0, load_per_s=10 * limit_per_s)
    start_ms = fleet.clock.now_ms
    fleet.run(20_000.0, load_per_s=10 * limit_per_s)
    sent = sum(time_ms > start_ms for time_ms in fleet.arrivals_ms)
    assert sent >= 0.8 * limit_per_s * 20.0


def test_end_of_a_limit_reaches_all_instances() -> None:
    """Guards against an upstream that stays out of use after its need has ended."""
    fleet = StatementFleet(40, 0.0)
    fleet.run(8000.0, load_per_s=60.0)
    fleet.limit_per_s = None
    fleet.run(12_000.0, load_per_s=60.0)
    start_ms = fleet.clock.now_ms
    fleet.run(2000.0, load_per_s=60.0)
    sent = sum(time_ms > start_ms for time_ms in fleet.arrivals_ms)
    assert sent == pytest.approx(120, rel=0.3)
    for directory in fleet.directories.values():
        assert directory.report_statements() == ()


@pytest.mark.parametrize(
    "value", [b"-1", b"nan", b"inf", b"1e400", b"many", b"", b"1,5", b"9" * 400]
)
def test_unusable_statement_limits_nothing(value: bytes) -> None:
    """Guards against a statement that stops an instance or takes an upstream out."""
    assert parse_limit(value) is None


def test_limit_that_changes_with_each_answer_is_kept() -> None:
    """Guards against reports and shares that grow with the changes of a limit."""
    fleet = StatementFleet(8, 5.0)
    for step in range(100):
        fleet.limit_per_s = 5.0 if step % 2 else 50.0
        fleet.run(100.0, load_per_s=40.0)
        for directory in fleet.directories.values():
            assert len(directory.report_statements()) <= 1
