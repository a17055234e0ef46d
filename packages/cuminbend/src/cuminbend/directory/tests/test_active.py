"""Tests of the entry instances that hold connections."""

import pytest

from cuminbend.directory import active_entry_count, choose_active_entries

INSTANCES = {f"{place}{index}": place for place in "abc" for index in range(27)}


@pytest.mark.parametrize(
    ("limits", "count"), [((25, 96), 8), ((62, 550), 20), ((), 4), ((1,), 4)]
)
def test_count_follows_the_tightest_limit(limits: tuple[int, ...], count: int) -> None:
    """Guards against more instances than an upstream has connections for."""
    assert active_entry_count(limits) == count


def test_active_instances_are_spread_evenly() -> None:
    """Guards against a data centre that holds all active instances."""
    chosen = choose_active_entries(INSTANCES, 20)
    assert len(chosen) == 20
    assert all(5 <= sum(name[0] == place for name in chosen) <= 7 for place in "abc")


def test_loss_of_an_instance_changes_little() -> None:
    """Guards against all connections being opened anew when one instance goes."""
    before = choose_active_entries(INSTANCES, 20)
    lost = min(before)
    rest = {name: place for name, place in INSTANCES.items() if name != lost}
    after = choose_active_entries(rest, 20)
    assert len(before - after) <= 2
    standby = min(set(INSTANCES) - before)
    rest = {name: place for name, place in INSTANCES.items() if name != standby}
    assert choose_active_entries(rest, 20) == before


def test_few_instances_are_all_active() -> None:
    """Guards against instances that stand by for no reason."""
    assert choose_active_entries({"x": "a", "y": "a"}, 8) == {"x", "y"}
    assert choose_active_entries({}, 8) == frozenset()
