"""Tests of upstreams that say that they leave, or ask for a pause."""

import pytest
from cuminbend.forwarding import parse_pause_ms

from cuminbendd.entry.tests._statements import ANSWER_MS, StatementFleet

# After a leaving upstream has told an instance, that instance may send for this time.
DRAIN_MS = 3000.0
# Requests that were under way when an instance was told arrive within this time.
UNDER_WAY_MS = 500.0
MAX_REQUESTS_IN_A_PAUSE = 2
LOAD_PER_S = 80.0


def test_leaving_upstream_gets_nothing_where_another_takes_the_requests() -> None:
    """Guards against requests to an upstream that is about to end."""
    fleet = StatementFleet(8, upstream_count=2)
    fleet.run(1000.0, load_per_s=LOAD_PER_S)
    fleet.is_leaving = True
    fleet.run(5000.0, load_per_s=LOAD_PER_S)
    for name, told_ms in fleet.told_ms_by_instance.items():
        assert max(fleet.arrivals_ms_by_instance[name]) <= told_ms + ANSWER_MS


def test_instances_learn_from_one_that_an_upstream_leaves() -> None:
    """Guards against each instance that finds out with a request of its own."""
    fleet = StatementFleet(80, upstream_count=2)
    fleet.run(1000.0, load_per_s=LOAD_PER_S)
    fleet.is_leaving = True
    fleet.run(600.0, load_per_s=LOAD_PER_S)
    learned_ms = fleet.clock.now_ms
    fleet.run(5000.0, load_per_s=LOAD_PER_S)
    assert max(fleet.arrivals_ms) <= learned_ms
    assert len(fleet.told_ms_by_instance) < 40


def test_leaving_upstream_without_another_is_used_for_a_time() -> None:
    """Guards against rejections while it still serves, and requests after that."""
    fleet = StatementFleet(4)
    fleet.is_leaving = True
    fleet.run(8000.0, load_per_s=LOAD_PER_S)
    for name, told_ms in fleet.told_ms_by_instance.items():
        last_ms = max(fleet.arrivals_ms_by_instance[name])
        assert told_ms + 1000.0 < last_ms <= told_ms + DRAIN_MS


def test_new_process_of_a_leaving_upstream_is_used() -> None:
    """Guards against a statement that outlives the process that made it."""
    fleet = StatementFleet(4)
    fleet.is_leaving = True
    fleet.run(4000.0, load_per_s=LOAD_PER_S)
    fleet.is_leaving = False
    fleet.restart_upstreams()
    start_ms = fleet.clock.now_ms
    fleet.run(1000.0, load_per_s=LOAD_PER_S)
    assert sum(time_ms > start_ms for time_ms in fleet.arrivals_ms) > 40


@pytest.mark.parametrize("upstream_count", [1, 2])
def test_pause_is_kept_by_each_instance(upstream_count: int) -> None:
    """Guards against requests to an upstream that asked for none.

    Answers to earlier requests arrive during the pause.
    """
    fleet = StatementFleet(8, upstream_count=upstream_count)
    fleet.run(1000.0, load_per_s=LOAD_PER_S)
    fleet.pause_s = 3.0
    fleet.run(200.0, load_per_s=LOAD_PER_S)
    fleet.pause_s = None
    fleet.run(5000.0, load_per_s=LOAD_PER_S)
    assert fleet.told_ms_by_instance
    for name, told_ms in fleet.told_ms_by_instance.items():
        in_pause = [
            time_ms
            for time_ms in fleet.arrivals_ms_by_instance[name]
            if told_ms + UNDER_WAY_MS <= time_ms < told_ms + 3000.0
        ]
        assert len(in_pause) <= MAX_REQUESTS_IN_A_PAUSE
        assert fleet.arrivals_ms_by_instance[name][-1] > told_ms + 3000.0


def test_rejection_in_a_pause_states_its_end() -> None:
    """Guards against callers who come back before the upstream takes requests."""
    fleet = StatementFleet(1)
    fleet.pause_s = 3.0
    fleet.run(500.0, load_per_s=LOAD_PER_S)
    directory = fleet.directories["e0"]
    (told_ms,) = fleet.told_ms_by_instance.values()
    (ready_in_ms,) = directory.ready_in_ms(["s"], service_ms=10.0)
    assert fleet.clock.now_ms + ready_in_ms >= told_ms + 3000.0


@pytest.mark.parametrize(
    ("value", "expected_ms"),
    [
        (b"2", 2000.0),
        (b"0.25", 250.0),
        (b"3600", 300_000.0),
        (b"1e300", 300_000.0),
        (b"0", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_pause_is_bounded(value: bytes, expected_ms: float | None) -> None:
    """Guards against a statement that takes an upstream out of service for good."""
    assert parse_pause_ms(value) == expected_ms
