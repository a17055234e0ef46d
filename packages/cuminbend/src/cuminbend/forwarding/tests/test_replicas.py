"""Tests of the choice of a replica for given observations."""

import random

import pytest

from cuminbend.forwarding import (
    PlacementSettings,
    Replica,
    ReplicaGroup,
    ReplicaState,
)

SETTINGS = PlacementSettings()


def make_replica(name: str, data_centre: str = "a") -> Replica:
    return Replica(
        settings=SETTINGS,
        upstream=name,
        incarnation_ms=1,
        service="s",
        address=("127.0.0.1", 1),
        data_centre=data_centre,
        slots=2,
    )


def make_group(*replicas: Replica) -> ReplicaGroup:
    group = ReplicaGroup(service="s", data_centre="a")
    for replica in replicas:
        group.add(replica)
    return group


def count_choices(
    replicas: ReplicaGroup, now_ms: float = 0.0, times: int = 20
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for _ in range(times):
        found = replicas.choose_replica(now_ms=now_ms)
        name = found.upstream if found else "none"
        counts[name] = counts.get(name, 0) + 1
    return counts


def test_equal_replicas_share_the_work() -> None:
    """Guards against sending all requests to the first replica of a list."""
    counts = count_choices(make_group(make_replica("x"), make_replica("y")))
    assert counts == {"x": 10, "y": 10}


def test_own_data_centre_is_preferred_until_busy() -> None:
    """Guards against needless traffic between data centres, and against overload."""
    local, remote = make_replica("local"), make_replica("remote", "b")
    replicas = make_group(local, remote)
    assert count_choices(replicas) == {"local": 20}
    local.in_flight = 6
    assert count_choices(replicas) == {"remote": 20}


def test_paused_replica_gets_no_more_requests() -> None:
    """Guards against requests that wait for a paused searcher."""
    paused, other = make_replica("paused"), make_replica("other", "b")
    paused.in_flight = paused.overdue = 1
    assert count_choices(make_group(paused, other)) == {"other": 20}
    paused.overdue = SETTINGS.max_overdue
    assert count_choices(make_group(paused)) == {"none": 20}


def test_failing_replica_is_avoided_and_tried_again() -> None:
    """Guards against preferring a failing replica that looks idle as it fails fast."""
    failing, other = make_replica("failing"), make_replica("other", "b")
    replicas = make_group(failing, other)
    for _ in range(6):
        failing.record_error(now_ms=0)
    assert count_choices(replicas) == {"other": 20}
    assert count_choices(replicas, now_ms=60_000) == {"failing": 20}


def test_rejecting_replica_gets_fewer_requests() -> None:
    """Guards against a replica that rejects three in five and keeps half of the work.

    One replica of the service rejects requests without being full. Each rejection costs
    an extra attempt from the retry budget.
    """
    rejecting, other = make_replica("rejecting"), make_replica("other", "b")
    replicas = make_group(rejecting, other)
    rng = random.Random(1)
    rejected_count, now_ms = 0, 0.0
    for _ in range(400):
        now_ms += 130.0
        chosen = replicas.choose_replica(now_ms=now_ms)
        if chosen is rejecting and rng.random() < 0.6:
            rejected_count += 1
            rejecting.record_rejection(now_ms=now_ms, pause_ms=40)
        elif chosen is not None:
            chosen.record_answer(latency_ms=10, median_ms=10, now_ms=now_ms)
    assert rejected_count < 0.2 * 400


def test_slow_replica_is_avoided_and_tried_again() -> None:
    """Guards against a replica that became slow and keeps its share of requests."""
    slow, other = make_replica("slow"), make_replica("other", "b")
    replicas = make_group(slow, other)
    for _ in range(6):
        slow.record_answer(latency_ms=120, median_ms=10, now_ms=0)
    assert count_choices(replicas) == {"other": 20}
    assert count_choices(replicas, now_ms=60_000) == {"slow": 20}


def test_failed_connections_back_off_exponentially() -> None:
    """Guards against an attempt to connect to a stopped searcher for each request."""
    broken = make_replica("broken")
    replicas = make_group(broken)
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
def test_unavailable_replica_is_not_chosen(condition: str) -> None:
    """Guards against requests to a replica that must not get any."""
    only = make_replica("only")
    replicas = make_group(only)
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


def test_cold_replica_gets_one_request_at_a_time() -> None:
    """Guards against a burst of requests to a cold replica."""
    cold = make_replica("cold")
    cold.cold_until_ms = 10.0
    replicas = make_group(cold)
    assert replicas.choose_cold_replica(now_ms=0) is cold
    cold.in_flight = 1
    assert replicas.choose_cold_replica(now_ms=0) is None
    cold.in_flight = 0
    assert replicas.choose_cold_replica(now_ms=0, evacuated=["a"]) is None


def test_reported_queue_counts_while_recent() -> None:
    """Guards against a choice that ignores the requests of other instances."""
    queued, other = make_replica("queued"), make_replica("other", "b")
    replicas = make_group(queued, other)
    queued.record_load(running=2, queued=6, now_ms=0)
    assert count_choices(replicas, now_ms=10) == {"other": 20}
    assert count_choices(replicas, now_ms=500) == {"queued": 20}


@pytest.mark.parametrize(
    ("in_flight", "running", "queued", "now_ms", "is_free"),
    [
        pytest.param(0, 1, 0, 0, True, id="free slot"),
        pytest.param(0, 2, 0, 0, False, id="all slots are in use"),
        pytest.param(0, 1, 1, 0, False, id="queued requests"),
        pytest.param(2, 0, 0, 0, False, id="full of own requests"),
        pytest.param(0, 2, 5, 500, True, id="old report"),
    ],
)
def test_only_free_excludes_replicas_with_a_queue(
    in_flight: int, running: int, queued: int, now_ms: float, is_free: bool
) -> None:
    """Guards against hedges to replicas that are as busy as the first one."""
    candidate = make_replica("x")
    candidate.in_flight = in_flight
    candidate.record_load(running=running, queued=queued, now_ms=0)
    chosen = make_group(candidate).choose_replica(now_ms=now_ms, only_free=True)
    assert (chosen is candidate) == is_free
