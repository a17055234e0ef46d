"""Tests of how a fan-out is divided among entry instances."""

import pytest

from cuminbend.forwarding import plan_fan_out

SHARDS = tuple(f"s{i}" for i in range(12))


def rotating(copies: int = 2) -> dict[str, frozenset[str]]:
    """Place the replicas of consecutive shards in consecutive data centres."""
    return {
        shard: frozenset("abc"[(index + copy) % 3] for copy in range(copies))
        for index, shard in enumerate(SHARDS)
    }


def test_shards_without_a_near_replica_travel_as_one_group() -> None:
    """Guards against one exchange between data centres for each remote shard."""
    plan = plan_fan_out(
        SHARDS,
        own_data_centre="a",
        data_centres_by_shard=rotating(),
        helper_counts={"a": 2, "b": 3, "c": 2},
    )
    assert len(plan.direct) == 8
    assert [len(group) for _, group in plan.delegated] == [4]
    assert set(plan.direct) | set(plan.delegated[0][1]) == set(SHARDS)


def test_nothing_is_delegated_without_need() -> None:
    """Guards against a detour where the own data centre has all replicas."""
    plan = plan_fan_out(
        SHARDS,
        own_data_centre="a",
        data_centres_by_shard=rotating(3),
        helper_counts={"a": 1, "b": 1},
    )
    assert plan.direct == SHARDS
    assert plan.delegated == ()


@pytest.mark.parametrize("helpers", [{}, {"b": 0}, {"a": 4}])
def test_without_helpers_everything_is_asked_directly(helpers: dict[str, int]) -> None:
    """Guards against shards that nobody asks while other instances are down."""
    plan = plan_fan_out(
        SHARDS,
        own_data_centre="a",
        data_centres_by_shard=rotating(),
        helper_counts=helpers,
    )
    assert sorted(plan.direct) == sorted(SHARDS)
    assert plan.delegated == ()


def test_shard_without_any_replica_is_asked_directly() -> None:
    """Guards against a shard that is forgotten; its replica may come back in time."""
    data_centres_by_shard = {**rotating(), "s0": frozenset[str]()}
    plan = plan_fan_out(
        SHARDS,
        own_data_centre="a",
        data_centres_by_shard=data_centres_by_shard,
        helper_counts={"b": 1, "c": 1},
    )
    delegated = [shard for _, group in plan.delegated for shard in group]
    assert sorted((*plan.direct, *delegated)) == sorted(SHARDS)
    assert "s0" in plan.direct


@pytest.mark.parametrize("count", [41, 90, 510])
def test_many_shards_are_divided_within_the_data_centre(count: int) -> None:
    """Guards against an instance that sends hundreds of requests in a row."""
    shards = tuple(f"s{i}" for i in range(count))
    data_centres_by_shard = dict.fromkeys(shards, frozenset("a"))
    plan = plan_fan_out(
        shards,
        own_data_centre="a",
        data_centres_by_shard=data_centres_by_shard,
        helper_counts={"a": 30},
    )
    sizes = [len(plan.direct), *(len(group) for _, group in plan.delegated)]
    assert max(sizes) <= 20
    assert sum(sizes) == count
    delegated = [shard for _, group in plan.delegated for shard in group]
    assert len({*plan.direct, *delegated}) == count
