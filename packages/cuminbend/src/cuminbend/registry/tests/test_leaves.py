"""Tests of the table of acknowledged leaves."""

import pytest

from cuminbend.registry import Leave, LeaveTable, Registration, UpstreamState


def leave(
    upstream: str = "u",
    *,
    state: UpstreamState = UpstreamState.GONE,
    incarnation_ms: int = 1,
    sequence: int = 1,
    at_ms: float = 0.0,
) -> Leave:
    registration = Registration(
        upstream=upstream,
        service="s",
        address="127.0.0.1:1",
        data_centre="a",
        slots=1,
        state=state,
        cold_left_ms=0.0,
        incarnation_ms=incarnation_ms,
        sequence=sequence,
        holder="c1",
    )
    return Leave(registration=registration, recorded_at_ms=at_ms)


@pytest.mark.parametrize(
    ("second", "is_recorded"),
    [
        (leave(), False),
        (leave(incarnation_ms=2), True),
        # An order that a frozen instance held back concerns an earlier process.
        (leave(incarnation_ms=0), False),
        # A departure is final for its process.
        (leave(state=UpstreamState.LEAVING, sequence=9), False),
    ],
)
def test_latest_leave_stays(second: Leave, is_recorded: bool) -> None:
    """Guards against a leave that replaces a later one of the same upstream."""
    table = LeaveTable()
    table.record(leave())
    revision = table.revision
    assert table.record(second) is is_recorded
    assert table.changes_since(revision) == ([second] if is_recorded else [])


def test_leaves_expire() -> None:
    """Guards against snapshots that grow with each upstream that ever left."""
    table = LeaveTable()
    for number in range(10):
        table.record(leave(f"u{number}", at_ms=number * 60_000.0))
    assert [item.registration.upstream for item in table.leaves()] == ["u7", "u8", "u9"]
    for number in range(30_000):
        table.record(leave(f"v{number}", at_ms=540_000.0))
    assert len(table.leaves()) == 20_000
