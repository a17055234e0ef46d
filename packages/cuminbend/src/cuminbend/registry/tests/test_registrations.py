"""Tests of the order of heartbeats and of what travels between instances."""

from dataclasses import replace

import pytest

from cuminbend.registry import Registration, RegistrationTable, UpstreamState

READY = Registration(
    upstream="i-1",
    service="shard",
    address="10.0.0.1:80",
    data_centre="a",
    slots=2,
    state=UpstreamState.READY,
    cold_left_ms=0.0,
    incarnation_ms=1000,
    sequence=5,
    holder="one",
)


def table(holder: str = "one") -> RegistrationTable:
    return RegistrationTable(holder=holder, silent_after_ms=5000)


def held(rows: RegistrationTable, now_ms: float = 0) -> dict[str, Registration]:
    return {row.upstream: row for row in rows.changes_since(0, now_ms=now_ms)}


@pytest.mark.parametrize(
    ("late", "is_taken"),
    [
        ({"sequence": 4}, False),
        ({"sequence": 5}, False),
        ({"sequence": 6}, True),
        ({"incarnation_ms": 999, "sequence": 99}, False),
        ({"incarnation_ms": 2000, "sequence": 1}, True),
        ({"sequence": 5, "state": UpstreamState.LEAVING}, True),
    ],
)
def test_heartbeats_are_ordered(late: dict[str, int], is_taken: bool) -> None:
    """Guards against a late heartbeat that undoes a newer one."""
    rows = table()
    rows.merge(READY, now_ms=0)
    assert rows.merge(replace(READY, **late), now_ms=1) is is_taken


def test_late_heartbeat_does_not_bring_back_what_left() -> None:
    """Guards against work for a process that has said that it ends."""
    rows = table()
    rows.merge(READY, now_ms=0)
    rows.mark_gone("i-1", now_ms=10)
    assert not rows.merge(replace(READY, sequence=6), now_ms=20)
    assert held(rows)["i-1"].state is UpstreamState.GONE
    assert rows.merge(replace(READY, incarnation_ms=2000, sequence=1), now_ms=30)


def test_only_changes_get_a_revision() -> None:
    """Guards against control traffic that grows with heartbeats."""
    rows = table()
    rows.merge(READY, now_ms=0)
    revision = rows.revision
    for sequence in range(6, 100):
        rows.merge(replace(READY, sequence=sequence), now_ms=sequence)
    assert rows.revision == revision
    rows.merge(replace(READY, sequence=100, state=UpstreamState.LEAVING), now_ms=100)
    changes = rows.changes_since(revision, now_ms=100)
    assert [row.state for row in changes] == [UpstreamState.LEAVING]


def test_address_of_another_process_ends_the_former_one() -> None:
    """Guards against requests for a searcher whose address was used again."""
    rows = table()
    rows.merge(READY, now_ms=0)
    successor = replace(READY, upstream="i-2", incarnation_ms=5000, service="other")
    rows.merge(successor, now_ms=1)
    assert held(rows)["i-1"].state is UpstreamState.GONE
    # A heartbeat of the former one, delayed by a cut, must not end the successor.
    rows.merge(replace(READY, sequence=9), now_ms=2)
    assert held(rows)["i-2"].state is UpstreamState.READY


def test_only_the_holder_declares_silence() -> None:
    """Guards against an upstream marked silent that reports elsewhere."""
    rows = table()
    rows.merge(replace(READY, holder="two"), now_ms=0)
    assert rows.expire(now_ms=20_000) == []
    rows.take_over_from("two", now_ms=20_000)
    assert rows.expire(now_ms=24_000) == []
    assert [row.upstream for row in rows.expire(now_ms=26_000)] == ["i-1"]
    rows.merge(replace(READY, sequence=6), now_ms=26_100)
    assert held(rows)["i-1"].state is UpstreamState.READY


def test_pause_of_the_instance_itself_is_no_silence() -> None:
    """Guards against all upstreams marked silent after a frozen process wakes."""
    rows = table()
    rows.merge(READY, now_ms=0)
    rows.restart_silence_timers(now_ms=9000)
    assert rows.expire(now_ms=9001) == []


def test_cold_time_runs_while_a_registration_is_stored() -> None:
    """Guards against a reader that joins late and counts the cold start anew."""
    rows = table()
    rows.merge(replace(READY, cold_left_ms=3000.0), now_ms=0)
    assert held(rows, now_ms=1000)["i-1"].cold_left_ms == 2000
    revision = rows.revision
    rows.merge(replace(READY, cold_left_ms=1800.0, sequence=6), now_ms=1200)
    assert rows.revision == revision
    # It turned cold again without a new start.
    rows.merge(replace(READY, cold_left_ms=3000.0, sequence=7), now_ms=2000)
    assert rows.revision == revision + 1


def test_reader_on_a_peer_gets_what_is_held_there() -> None:
    """Guards against every change travelling once over each pair of instances."""
    rows = table()
    rows.merge(READY, now_ms=0)
    rows.merge(
        replace(READY, upstream="i-2", address="10.0.0.2:80", holder="two"), now_ms=0
    )
    changes = rows.changes_since(0, now_ms=0, only_held_here=True)
    assert [row.upstream for row in changes] == ["i-1"]


def test_restart_without_incarnation_is_taken_after_silence() -> None:
    """Guards against a searcher that stays unknown because it counts anew."""
    rows = table()
    anonymous = replace(READY, incarnation_ms=0)
    rows.merge(anonymous, now_ms=0)
    assert not rows.merge(replace(anonymous, sequence=1), now_ms=100)
    rows.expire(now_ms=6000)
    assert rows.merge(replace(anonymous, sequence=1), now_ms=6100)
    assert held(rows)["i-1"].state is UpstreamState.READY
