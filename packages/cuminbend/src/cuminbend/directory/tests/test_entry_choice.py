"""Tests of the choice of the entry instances that callers connect to."""

import random

import pytest

from cuminbend.directory import EntryCandidate, choose_entry_addresses

# One letter for the data centre of each entry instance.
DATA_CENTRES = "aaabbc"


def make_entries(
    busy: str = "", data_centres: str = DATA_CENTRES
) -> list[EntryCandidate]:
    return [
        EntryCandidate(f"{data_centre}{index}", data_centre, data_centre in busy)
        for index, data_centre in enumerate(data_centres)
    ]


@pytest.mark.parametrize(
    ("ready_service_counts", "busy", "data_centres", "expected_data_centres"),
    [
        # Shards have replicas in a and b only.
        ({"a": 50, "b": 49, "c": 2}, "", DATA_CENTRES, "aaabb"),
        ({"a": 50, "b": 50, "c": 50}, "", DATA_CENTRES, "aaabbc"),
        # a has no ready upstreams, and b alone has too few entry instances.
        ({"a": 0, "b": 50, "c": 2}, "", DATA_CENTRES, "aaabbc"),
        ({"a": 50, "b": 50, "c": 2}, "ab", DATA_CENTRES, "aaabbc"),
        ({}, "", DATA_CENTRES, "aaabbc"),
        # Only instances far from the upstreams are left.
        ({"a": 50, "b": 50, "c": 2}, "", "cc", "cc"),
    ],
)
def test_instances_near_upstreams_are_chosen(
    ready_service_counts: dict[str, int],
    busy: str,
    data_centres: str,
    expected_data_centres: str,
) -> None:
    """Guards against fan-outs between data centres, and against too few instances."""
    addresses = choose_entry_addresses(
        make_entries(busy, data_centres),
        ready_service_counts=ready_service_counts,
        limit=64,
        random=random.Random(1),
    )
    assert "".join(sorted(address[0] for address in addresses)) == expected_data_centres


def test_callers_are_spread_over_more_instances_than_fit() -> None:
    """Guards against the same few instances in every answer."""
    rng = random.Random(1)
    many_entries = make_entries(data_centres="a" * 100)
    address_sets = [
        set(
            choose_entry_addresses(
                many_entries, ready_service_counts={}, limit=64, random=rng
            )
        )
        for _ in "xyz"
    ]
    assert all(len(addresses) == 64 for addresses in address_sets)
    assert len(set.union(*address_sets)) > 90
