"""Tests of the division of a fan-out among entry instances."""

import pytest

from cuminbend.forwarding import plan_fan_out

SHARDS = tuple(f"s{i}" for i in range(12))


def rotating_data_centres(copies: int = 2) -> dict[str, frozenset[str]]:
    """Return the data centres of each shard, shifted by one from shard to shard."""
    return {
        shard: frozenset("abc"[(index + copy) % 3] for copy in range(copies))
        for index, shard in enumerate(SHARDS)
    }


def test_shards_without_a_local_replica_form_one_group() -> None:
    """Guards against one exchange between data centres for each remote shard."""
    plan = plan_fan_out(
        SHARDS,
        own_data_centre="a",
        data_centres_by_shard=rotating_data_centres(),
        helper_counts={"a": 2, "b": 3, "c": 2},
    )
    assert len(plan.direct) == 8
    assert [len(group) for _, group in plan.delegated] == [4]
    assert set(plan.direct) | set(plan.delegated[0][1]) == set(SHARDS)


def test_nothing_is_delegated_if_all_replicas_are_local() -> None:
    """Guards against needless delegation when all shards have a local replica."""
    plan = plan_fan_out(
        SHARDS,
        own_data_centre="a",
        data_centres_by_shard=rotating_data_centres(3),
        helper_counts={"a": 1, "b": 1},
    )
    assert plan.direct == SHARDS
    assert plan.delegated == ()


@pytest.mark.parametrize("helpers", [{}, {"b": 0}, {"a": 4}])
def test_all_shards_are_direct_without_remote_helpers(helpers: dict[str, int]) -> None:
    """Guards against shards without a request while other instances are down."""
    plan = plan_fan_out(
        SHARDS,
        own_data_centre="a",
        data_centres_by_shard=rotating_data_centres(),
        helper_counts=helpers,
    )
    assert sorted(plan.direct) == sorted(SHARDS)
    assert plan.delegated == ()


def test_shard_without_replica_is_direct() -> None:
    """Guards against an omitted shard; its replica may become available in time."""
    data_centres_by_shard = {**rotating_data_centres(), "s0": frozenset[str]()}
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
def test_many_local_shards_are_divided_among_helpers(count: int) -> None:
    """Guards against an instance that sends hundreds of requests in sequence."""
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
