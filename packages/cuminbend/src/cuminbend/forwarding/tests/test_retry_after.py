"""Tests of the time after which a rejected caller should come back."""

import random

import pytest

from cuminbend.forwarding import (
    PlacementSettings,
    Replica,
    ReplicaGroup,
    ReplicaState,
    fan_out_capacity_wait_ms,
    retry_after_ms,
)


def replica(name: str, **changes: object) -> Replica:
    item = Replica(
        settings=PlacementSettings(),
        upstream=name,
        incarnation_ms=1,
        service="s",
        address=("127.0.0.1", 1),
        data_centre="a",
        slots=2,
    )
    for key, value in changes.items():
        setattr(item, key, value)
    return item


@pytest.mark.parametrize(
    ("changes", "expected_ms"),
    [
        pytest.param({}, 0.0, id="it is idle"),
        pytest.param({"in_flight": 3}, 20.0, id="two of four wait"),
        pytest.param(
            {"running": 2, "queued": 4, "reported_ms": 950.0},
            50.0,
            id="others fill it",
        ),
        pytest.param(
            {"running": 2, "queued": 4, "reported_ms": 0.0}, 0.0, id="long ago"
        ),
        pytest.param({"in_flight": 3, "slowness": 4.0}, 80.0, id="it is slow"),
        pytest.param({"backoff_until_ms": 1300.0}, 300.0, id="it is avoided"),
        pytest.param({"cold_until_ms": 2500.0}, 1500.0, id="it is cold"),
    ],
)
def test_time_until_a_replica_has_room(
    changes: dict[str, object], expected_ms: float
) -> None:
    """Guards against a fixed time that has nothing to do with the queue."""
    group = ReplicaGroup(service="s", data_centre="a")
    group.add(replica("x", **changes))
    assert group.ready_in_ms(now_ms=1000.0, service_ms=20.0) == expected_ms


def test_first_replica_with_room_decides() -> None:
    """Guards against waiting for replicas that take no work."""
    group = ReplicaGroup(service="s", data_centre="a")
    group.add(replica("busy", in_flight=7))
    group.add(replica("avoided", backoff_until_ms=1040.0))
    group.add(replica("leaving", state=ReplicaState.LEAVING))
    group.add(replica("out", data_centre="b"))
    found_ms = group.ready_in_ms(now_ms=1000.0, service_ms=20.0, evacuated=["b"])
    assert found_ms == 40.0
    empty = ReplicaGroup(service="s", data_centre="a")
    assert empty.ready_in_ms(now_ms=0.0, service_ms=20.0) is None


@pytest.mark.parametrize(
    ("min_coverage", "expected_ms"), [(0.0, 1.0), (0.5, 2.0), (0.75, 3.0), (1.0, 9.0)]
)
def test_fan_out_waits_for_the_shards_that_it_needs(
    min_coverage: float, expected_ms: float
) -> None:
    """Guards against a wait for a shard that is down and not needed."""
    found_ms = fan_out_capacity_wait_ms([9.0, 1.0, 3.0, 2.0], min_coverage=min_coverage)
    assert found_ms == expected_ms


def test_callers_return_spread_and_the_urgent_first() -> None:
    """Guards against a second peak, and against returning before there is room."""
    rng = random.Random(1)
    times = {
        priority: [
            retry_after_ms(400.0, priority=priority, rng=rng) for _ in range(200)
        ]
        for priority in (0, 1, 2)
    }
    for found in times.values():
        assert min(found) >= 400.0
        assert max(found) - min(found) > 150.0
    means = [sum(found) / len(found) for found in times.values()]
    assert means == sorted(means)
    assert retry_after_ms(0.0, priority=0, rng=rng) == 30.0
