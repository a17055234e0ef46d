"""Tests of the record of ended processes, by replay of what instances see."""

import pytest

from cuminbend.forwarding import EndedProcesses


def record(
    ended: EndedProcesses, kind: str, incarnation_ms: int, now_ms: float
) -> None:
    if kind == "observed":
        ended.record_observed("u", incarnation_ms, now_ms=now_ms)
    else:
        ended.record_reported("u", incarnation_ms, now_ms=now_ms)


@pytest.mark.parametrize(
    ("events", "incarnation_ms", "expected_until_ms"),
    [
        ([], 1, 0.0),
        ([("observed", 1, 100.0)], 1, 10_100.0),
        ([("reported", 1, 100.0)], 1, 10_100.0),
        # The next process of the same upstream lives.
        ([("observed", 1, 100.0)], 2, 0.0),
        # A report that comes again does not prolong the time.
        ([("observed", 1, 100.0), ("reported", 1, 9000.0)], 1, 10_100.0),
        # The process was used again after the time, and has ended after all.
        ([("observed", 1, 100.0), ("observed", 1, 11_000.0)], 1, 21_000.0),
        # A late report of an earlier process changes nothing.
        ([("observed", 2, 100.0), ("reported", 1, 200.0)], 2, 10_100.0),
        ([("observed", 2, 100.0), ("observed", 1, 200.0)], 2, 10_100.0),
    ],
)
def test_ends_of_processes(
    events: list[tuple[str, int, float]], incarnation_ms: int, expected_until_ms: float
) -> None:
    """Guards against requests to a new process in the name of the one that ended."""
    ended = EndedProcesses()
    for kind, ended_incarnation_ms, now_ms in events:
        record(ended, kind, ended_incarnation_ms, now_ms)
    assert ended.ended_until_ms("u", incarnation_ms) == expected_until_ms


def test_number_of_processes_is_bounded() -> None:
    """Guards against memory that grows with each upstream that ever ended."""
    ended = EndedProcesses()
    for number in range(5000):
        ended.record_observed(f"u{number}", 1, now_ms=0.0)
    assert not ended.ended_until_ms("u0", 1)
    assert ended.ended_until_ms("u4999", 1)
