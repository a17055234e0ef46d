"""Tests of the choice of the active entry instances."""

import pytest

from cuminbend.directory import active_entry_count, choose_active_entries

DATA_CENTRE_BY_INSTANCE = {
    f"{data_centre}{index}": data_centre for data_centre in "abc" for index in range(27)
}


@pytest.mark.parametrize(
    ("limits", "count"), [((25, 96), 8), ((62, 550), 20), ((), 4), ((1,), 4)]
)
def test_count_follows_smallest_limit(limits: tuple[int, ...], count: int) -> None:
    """Guards against more active instances than an upstream accepts connections."""
    assert active_entry_count(limits) == count


def test_active_instances_are_spread_evenly() -> None:
    """Guards against all active instances in one data centre."""
    chosen = choose_active_entries(DATA_CENTRE_BY_INSTANCE, 20)
    assert len(chosen) == 20
    assert all(
        5 <= sum(name[0] == data_centre for name in chosen) <= 7
        for data_centre in "abc"
    )


def test_loss_of_an_instance_changes_few_others() -> None:
    """Guards against reopening most connections after the loss of one instance."""
    before = choose_active_entries(DATA_CENTRE_BY_INSTANCE, 20)
    lost = min(before)
    remaining = {
        name: data_centre
        for name, data_centre in DATA_CENTRE_BY_INSTANCE.items()
        if name != lost
    }
    after = choose_active_entries(remaining, 20)
    assert len(before - after) <= 2
    standby = min(set(DATA_CENTRE_BY_INSTANCE) - before)
    remaining = {
        name: data_centre
        for name, data_centre in DATA_CENTRE_BY_INSTANCE.items()
        if name != standby
    }
    assert choose_active_entries(remaining, 20) == before


def test_few_instances_are_all_active() -> None:
    """Guards against standby instances while there are fewer than the limit."""
    assert choose_active_entries({"x": "a", "y": "a"}, 8) == {"x", "y"}
    assert choose_active_entries({}, 8) == frozenset()
