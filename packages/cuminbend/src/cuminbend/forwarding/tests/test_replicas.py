"""Tests of placement: each replays observations and asserts who gets the next one."""

import random

import pytest

from cuminbend.forwarding import (
    PlacementSettings,
    Replica,
    ReplicaGroup,
    ReplicaState,
)

SETTINGS = PlacementSettings()


def replica(name: str, data_centre: str = "a") -> Replica:
    return Replica(
        settings=SETTINGS,
        upstream=name,
        incarnation_ms=1,
        service="s",
        address=("127.0.0.1", 1),
        data_centre=data_centre,
        slots=2,
    )


def group(*replicas: Replica) -> ReplicaGroup:
    found = ReplicaGroup(service="s", data_centre="a")
    for item in replicas:
        found.add(item)
    return found


def chosen(
    replicas: ReplicaGroup, now_ms: float = 0.0, times: int = 20
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for _ in range(times):
        found = replicas.choose_replica(now_ms=now_ms)
        name = found.upstream if found else "none"
        counts[name] = counts.get(name, 0) + 1
    return counts


def test_equal_replicas_share_the_work() -> None:
    """Guards against a herd on the first replica of a list."""
    counts = chosen(group(replica("x"), replica("y")))
    assert counts == {"x": 10, "y": 10}


def test_own_data_centre_is_preferred_until_it_is_busy() -> None:
    """Guards against needless traffic between data centres, and against overload."""
    near, far = replica("near"), replica("far", "b")
    replicas = group(near, far)
    assert chosen(replicas) == {"near": 20}
    near.in_flight = 6
    assert chosen(replicas) == {"far": 20}


def test_paused_replica_gets_no_more() -> None:
    """Guards against queries that wait for a searcher in a pause."""
    paused, other = replica("paused"), replica("other", "b")
    paused.in_flight = paused.overdue = 1
    assert chosen(group(paused, other)) == {"other": 20}
    paused.overdue = SETTINGS.max_overdue
    assert chosen(group(paused)) == {"none": 20}


def test_failing_replica_with_good_health_is_avoided_and_tried_again() -> None:
    """Guards against a grey replica that looks idle because it fails fast."""
    grey, other = replica("grey"), replica("other", "b")
    replicas = group(grey, other)
    for _ in range(6):
        grey.record_error(now_ms=0)
    assert chosen(replicas) == {"other": 20}
    assert chosen(replicas, now_ms=60_000) == {"grey": 20}


def test_shedding_replica_loses_its_share() -> None:
    """Guards against a replica that sheds three in five and keeps half of the work.

    Replays the load of a service of which one replica sheds without being full:
    each rejection costs an extra attempt from the retry budget.
    """
    shedding, other = replica("shedding"), replica("other", "b")
    replicas = group(shedding, other)
    rng = random.Random(1)
    rejected, now_ms = 0, 0.0
    for _ in range(400):
        now_ms += 130.0
        chosen_first = replicas.choose_replica(now_ms=now_ms)
        if chosen_first is shedding and rng.random() < 0.6:
            rejected += 1
            shedding.record_rejection(now_ms=now_ms, pause_ms=40)
        elif chosen_first is not None:
            chosen_first.record_answer(latency_ms=10, median_ms=10, now_ms=now_ms)
    assert rejected < 0.2 * 400


def test_slow_replica_is_avoided_and_tried_again() -> None:
    """Guards against a replica at a fraction of its speed that keeps its share."""
    slow, other = replica("slow"), replica("other", "b")
    replicas = group(slow, other)
    for _ in range(6):
        slow.record_answer(latency_ms=120, median_ms=10, now_ms=0)
    assert chosen(replicas) == {"other": 20}
    assert chosen(replicas, now_ms=60_000) == {"slow": 20}


def test_broken_connections_back_off_with_growing_pauses() -> None:
    """Guards against connection attempts at a dead searcher for each request."""
    broken = replica("broken")
    replicas = group(broken)
    pauses = []
    now_ms = 0.0
    for _ in range(6):
        broken.record_unanswered_attempt(now_ms=now_ms)
        pauses.append(broken.backoff_until_ms - now_ms)
        assert replicas.choose_replica(now_ms=now_ms) is None
        now_ms = broken.backoff_until_ms
        assert replicas.choose_replica(now_ms=now_ms) is broken
    assert pauses == sorted(pauses)
    assert pauses[-1] == SETTINGS.backoff_max_ms
    broken.record_answer(latency_ms=1, median_ms=1, now_ms=now_ms)
    broken.record_unanswered_attempt(now_ms=now_ms)
    assert broken.backoff_until_ms - now_ms == SETTINGS.backoff_min_ms


@pytest.mark.parametrize("condition", ["leaving", "cold", "evacuated", "excluded"])
def test_replicas_that_take_no_new_work(condition: str) -> None:
    """Guards against work for a replica that must not get any."""
    only = replica("only")
    replicas = group(only)
    excluded, evacuated = [], []
    if condition == "leaving":
        only.state = ReplicaState.LEAVING
    elif condition == "cold":
        only.cold_until_ms = 10.0
    elif condition == "evacuated":
        evacuated = ["a"]
    else:
        excluded = ["only"]
    found = replicas.choose_replica(now_ms=0, excluded=excluded, evacuated=evacuated)
    assert found is None


def test_cold_replica_gets_one_at_a_time() -> None:
    """Guards against a burst on a replica that bears only a little."""
    cold = replica("cold")
    cold.cold_until_ms = 10.0
    replicas = group(cold)
    assert replicas.choose_cold_replica(now_ms=0) is cold
    cold.in_flight = 1
    assert replicas.choose_cold_replica(now_ms=0) is None
    cold.in_flight = 0
    assert replicas.choose_cold_replica(now_ms=0, evacuated=["a"]) is None


def test_reported_queue_counts_while_it_is_fresh() -> None:
    """Guards against placement that ignores what other instances send."""
    queued, other = replica("queued"), replica("other", "b")
    replicas = group(queued, other)
    queued.record_load(running=2, queued=6, now_ms=0)
    assert chosen(replicas, now_ms=10) == {"other": 20}
    assert chosen(replicas, now_ms=500) == {"queued": 20}


@pytest.mark.parametrize(
    ("in_flight", "running", "queued", "now_ms", "is_free"),
    [
        pytest.param(0, 1, 0, 0, True, id="a slot is left"),
        pytest.param(0, 2, 0, 0, False, id="all slots are in use"),
        pytest.param(0, 1, 1, 0, False, id="others wait"),
        pytest.param(2, 0, 0, 0, False, id="own requests fill it"),
        pytest.param(0, 2, 5, 500, True, id="the report is old"),
    ],
)
def test_only_free_leaves_out_where_a_request_would_wait(
    in_flight: int, running: int, queued: int, now_ms: float, is_free: bool
) -> None:
    """Guards against hedges to replicas that are as busy as the first one."""
    item = replica("x")
    item.in_flight = in_flight
    item.record_load(running=running, queued=queued, now_ms=0)
    found = group(item).choose_replica(now_ms=now_ms, only_free=True)
    assert (found is item) == is_free
