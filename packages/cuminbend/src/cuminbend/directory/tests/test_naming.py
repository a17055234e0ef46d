"""Tests of the entry instances that callers are told to use."""

import random

import pytest

from cuminbend.directory import EntryCandidate, choose_entry_addresses

PLACES = "aaabbc"


def entries(busy: str = "", places: str = PLACES) -> list[EntryCandidate]:
    return [
        EntryCandidate(f"{place}{index}", place, place in busy)
        for index, place in enumerate(places)
    ]


@pytest.mark.parametrize(
    ("served", "busy", "places", "named"),
    [
        # Shards have replicas in a and b only.
        ({"a": 50, "b": 49, "c": 2}, "", PLACES, "aaabb"),
        ({"a": 50, "b": 50, "c": 50}, "", PLACES, "aaabbc"),
        # The upstreams of a are taken out: b alone has too few entry instances.
        ({"a": 0, "b": 50, "c": 2}, "", PLACES, "aaabbc"),
        ({"a": 50, "b": 50, "c": 2}, "ab", PLACES, "aaabbc"),
        ({}, "", PLACES, "aaabbc"),
        # Only instances far from the upstreams are left.
        ({"a": 50, "b": 50, "c": 2}, "", "cc", "cc"),
    ],
)
def test_instances_near_the_upstreams_are_named(
    served: dict[str, int], busy: str, places: str, named: str
) -> None:
    """Guards against fan-outs between data centres, and against too few instances."""
    found = choose_entry_addresses(
        entries(busy, places),
        ready_service_counts=served,
        limit=64,
        random=random.Random(1),
    )
    assert "".join(sorted(address[0] for address in found)) == named


def test_callers_are_spread_over_more_instances_than_fit() -> None:
    """Guards against the same few instances in every answer."""
    rng = random.Random(1)
    many = entries(places="a" * 100)
    named = [
        set(choose_entry_addresses(many, ready_service_counts={}, limit=64, random=rng))
        for _ in "xyz"
    ]
    assert all(len(found) == 64 for found in named)
    assert len(set.union(*named)) > 90
