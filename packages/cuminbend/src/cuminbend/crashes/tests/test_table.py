"""Tests of crash histories and their verdicts."""

import pytest

from cuminbend.crashes import Crash, CrashTable, Verdict, allows_another_attempt

FULL, PARTIAL = False, True


def crash(
    process: int,
    *,
    service: str = "s",
    is_partial: bool = False,
    fingerprint: str = "f",
) -> Crash:
    return Crash(
        fingerprint=fingerprint,
        upstream=f"{service}-{process}",
        incarnation_ms=1,
        service=service,
        is_partial=is_partial,
    )


@pytest.mark.parametrize(
    ("crashes", "expected"),
    [
        ([], Verdict.CLEAR),
        ([("a", FULL)], Verdict.SUSPECT),
        ([("a", FULL), ("b", FULL), ("c", FULL)], Verdict.QUARANTINED),
        # Three shards lost a replica at once while the others answered.
        ([("a", PARTIAL), ("b", PARTIAL), ("c", PARTIAL)], Verdict.CLEAR),
        # Only the replicas of one shard cannot run the request.
        ([("a", PARTIAL), ("a", PARTIAL)], Verdict.SUSPECT),
        ([("a", PARTIAL), ("a", PARTIAL), ("a", PARTIAL)], Verdict.QUARANTINED),
    ],
)
def test_verdict_follows_from_the_processes_that_ended(
    crashes: list[tuple[str, bool]], expected: Verdict
) -> None:
    """Guards against harmless requests that a loss of many upstreams quarantines."""
    table = CrashTable()
    for number, (service, is_partial) in enumerate(crashes):
        table.record(crash(number, service=service, is_partial=is_partial))
    assert table.history("f").verdict is expected


def test_process_counts_once() -> None:
    """Guards against reports of several instances that add up to a quarantine."""
    table = CrashTable()
    assert [table.record(crash(1)) for _ in range(4)] == [True, False, False, False]
    assert table.history("f").verdict is Verdict.SUSPECT


def test_answer_clears_the_crashes_of_its_service() -> None:
    """Guards against a frequent request that collects unrelated crashes over time."""
    table = CrashTable()
    for number in range(10):
        table.record(crash(number))
        assert table.history("f").verdict is Verdict.SUSPECT
        table.record_answer("f", "s")
        assert table.history("f").verdict is Verdict.CLEAR


def test_quarantine_is_kept_when_many_requests_become_suspects() -> None:
    """Guards against a loss of many upstreams that ends the quarantine of a request."""
    table = CrashTable(max_fingerprints=20)
    for number in range(3):
        table.record(crash(number))
    for number in range(100):
        table.record(crash(9, fingerprint=f"other-{number}"))
    assert table.history("f").verdict is Verdict.QUARANTINED
    assert len(table.histories()) == 20


def test_changes_contain_cleared_histories() -> None:
    """Guards against readers that never learn that a request was cleared."""
    table = CrashTable()
    table.record(crash(1))
    revision = table.revision
    table.record(crash(1, fingerprint="g"))
    table.record_answer("f", "s")
    changes = {item.fingerprint: item for item in table.changes_since(revision)}
    assert set(changes) == {"f", "g"}
    assert changes["f"].crashes == ()


@pytest.mark.parametrize(
    ("verdict", "was_answered", "broken_count", "has_open_attempts", "expected"),
    [
        (Verdict.CLEAR, False, 0, True, True),
        (Verdict.CLEAR, False, 1, False, True),
        (Verdict.CLEAR, False, 1, True, False),
        (Verdict.CLEAR, False, 2, False, False),
        (Verdict.CLEAR, True, 5, True, True),
        (Verdict.SUSPECT, False, 0, False, False),
        (Verdict.SUSPECT, True, 2, True, True),
        (Verdict.QUARANTINED, True, 0, False, False),
    ],
)
def test_second_attempt_waits_for_an_answer(
    verdict: Verdict,
    was_answered: bool,
    broken_count: int,
    has_open_attempts: bool,
    expected: bool,
) -> None:
    """Guards against second attempts that crash the replicas that are left."""
    assert (
        allows_another_attempt(
            verdict,
            was_answered=was_answered,
            broken_count=broken_count,
            has_open_attempts=has_open_attempts,
        )
        is expected
    )
