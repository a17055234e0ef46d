"""Tests of claims on idempotency keys."""

import uuid

import pytest

from cuminbend.replicated import (
    ApplyConfiguration,
    ClaimStatus,
    StateLimits,
    key_creation_ms,
)
from cuminbend.replicated.tests._helpers import (
    NOW_MS,
    SMALL,
    Machine,
    claim,
    file_text,
    key_at,
    outcome,
)

LIMITS = StateLimits()
UUID7 = "018bcfe5-6800-7df0-b3d2-c616cb4ac8b4"


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        # A second claim of the key, and the first one again.
        ([claim("c1"), claim("c2")], "in_progress"),
        ([claim("c1"), claim("c2"), claim("c1")], "granted"),
        ([claim("c1"), claim("c2", digest="e")], "other_body"),
        # Another scope is another key.
        ([claim("c1"), claim("c2", member="n")], "granted"),
        ([claim("c1"), claim("c2", service="t")], "granted"),
        ([claim("c1"), claim("c2", key=key_at(NOW_MS, 1))], "granted"),
        # Outcomes.
        ([claim("c1"), outcome("c1"), claim("c2")], "answered"),
        ([claim("c1"), outcome("c1"), claim("c1")], "answered"),
        ([claim("c1"), outcome("c1", "unknown"), claim("c2")], "unknown"),
        ([claim("c1"), outcome("c1", "unknown"), claim("c1")], "unknown"),
        ([claim("c1"), outcome("c1", "not_run"), claim("c2")], "granted"),
        (
            [claim("c1"), outcome("c1", "unknown"), outcome("c1"), claim("c2")],
            "unknown",
        ),
        # A claim id that was freed or refused never gets the key, even as a duplicate.
        ([claim("c1"), outcome("c1", "not_run"), claim("c1")], "in_progress"),
        (
            [claim("c1"), claim("c2"), outcome("c1", "not_run"), claim("c2")],
            "in_progress",
        ),
        # Only the holder records, and only once.
        ([claim("c1"), outcome("c2", "not_run"), claim("c3")], "in_progress"),
        ([claim("c1"), outcome("", "not_run"), claim("c3")], "in_progress"),
        (
            [claim("c1"), outcome("c1"), outcome("c1", "not_run"), claim("c2")],
            "answered",
        ),
        (
            [
                claim("c1"),
                outcome("c1", "not_run"),
                claim("c2"),
                outcome("c1", "answered"),
                claim("c3"),
            ],
            "in_progress",
        ),
        # Another digest is refused until the key expires, also while it is free.
        (
            [claim("c1"), outcome("c1", "not_run"), claim("c2", digest="e")],
            "other_body",
        ),
        # Time in the key.
        ([claim("c1", key=key_at(NOW_MS + 60_000))], "granted"),
        ([claim("c1", key=key_at(NOW_MS + 60_001))], "from_future"),
        ([claim("c1", key=key_at(NOW_MS - 86_400_000))], "granted"),
        ([claim("c1", key=key_at(NOW_MS - 86_400_001))], "too_old"),
        # Not a claim at all.
        ([claim("c1", key="x")], "refused_result"),
        ([claim("")], "refused_result"),
        ([claim("c1"), outcome("c1", "not_run"), claim("")], "refused_result"),
    ],
)
@pytest.mark.parametrize("restart", [False, True])
def test_claim(steps, expected, restart):
    # Guards against a key that two claims hold, in each order of events.
    machine = Machine()
    for step in steps:
        result = machine(step)
        if restart:
            machine.restart()
    assert getattr(result, "status", result.kind) == expected


def test_lost_holder_answers_unknown_and_keeps_the_key():
    # Guards against a claim that looks as if it were in progress for ever, and
    # against giving away the key of an instance that is only slow.
    machine = Machine()
    key = ("m", "s", key_at(NOW_MS))
    machine(claim("c1"))
    assert machine(claim("c2"), 10_000).status is ClaimStatus.IN_PROGRESS
    assert machine(claim("c3"), 1).status is ClaimStatus.UNKNOWN
    assert machine.state.claim_status(*key) is ClaimStatus.UNKNOWN
    assert machine(outcome("c1", body="b")).recorded
    assert machine(claim("c4")).body == "b"
    assert machine.state.claim_status(*key) is ClaimStatus.ANSWERED
    assert machine.state.claim_status("m", "s", key_at(NOW_MS, 9)) is None


def test_foreign_record_changes_nothing():
    # Guards against a record of an instance that has lost or never had the key.
    machine = Machine()
    machine(claim("c1"))
    before = machine.state.snapshot()
    for how in ("answered", "unknown", "not_run"):
        assert not machine(outcome("c2", how)).recorded
        assert not machine(outcome("c1", how, key=key_at(NOW_MS, 1))).recorded
    assert machine.state.snapshot() == before


@pytest.mark.parametrize("how", ["answered", "unknown", "not_run"])
def test_expired_key_never_runs_again(how):
    # Guards against a claim dropped before its key is refused, also when a longer
    # retention would let the key in again or the clock of a new leader is behind.
    machine = Machine()
    machine(ApplyConfiguration("a", 0, file_text(60)))
    machine(claim("c1"))
    machine(outcome("c1", how))
    at_limit = machine(claim("c2"), 60_000)
    assert at_limit.status is not ClaimStatus.TOO_OLD
    assert machine(claim("c3"), 1).status is ClaimStatus.TOO_OLD
    assert machine.state.dump()["claims"]["claims"] == 0
    machine(ApplyConfiguration("b", 1, file_text(7200)))
    machine.restart()
    assert machine(claim("c4"), -50_000).status is ClaimStatus.TOO_OLD


def test_shorter_retention_drops_claims_at_once():
    # Guards against claims and keys that expire by different rules.
    machine = Machine()
    machine(claim("c1"))
    machine(ApplyConfiguration("a", 0, file_text(60)), 70_000)
    assert machine.state.dump()["claims"]["claims"] == 0
    assert machine(claim("c2")).status is ClaimStatus.TOO_OLD


def test_table_of_claims_is_bounded():
    # Guards against dropping a claim to make room, which would let its key run again.
    machine = Machine(SMALL)
    keys = [key_at(NOW_MS, number) for number in range(7)]
    results = [machine(claim("c1", key=key)) for key in keys]
    assert [item.kind for item in results[5:]] == ["claim_result", "refused_result"]
    assert machine(claim("c2", key=keys[0])).status is ClaimStatus.IN_PROGRESS


def test_key_is_freed_a_bounded_number_of_times():
    # Guards against an unbounded list of freed claim ids.
    machine = Machine(SMALL)
    for number in range(2):
        machine(claim(f"c{number}"))
        machine(outcome(f"c{number}", "not_run"))
    assert machine(claim("c2")).kind == "refused_result"


@pytest.mark.parametrize(
    ("bodies", "expected"),
    [
        (["12345678"], [("12345678", False)]),
        (["123456789"], [("", True)]),
        (["1234567", "12345"], [("1234567", False), ("12345", False)]),
        (["1234567", "123456"], [("", True), ("123456", False)]),
        (["12345", "1234", "1234"], [("", True), ("1234", False), ("1234", False)]),
        (["", "12345678", "12345678"], [("", False), ("", True), ("12345678", False)]),
    ],
)
def test_large_bodies_are_dropped_to_a_marker(bodies, expected):
    # Guards against unbounded memory, and against half a reply passed off as whole.
    machine = Machine(SMALL)
    keys = [key_at(NOW_MS, 9 - number) for number in range(len(bodies))]
    for key, body in zip(keys, bodies, strict=True):
        machine(claim("c1", key=key))
        machine(outcome("c1", key=key, body=body, upstream="u1"))
        machine.restart()
    results = [machine(claim("c2", key=key)) for key in keys]
    assert [(item.body, item.body_dropped) for item in results] == expected
    assert {(item.status, item.upstream) for item in results} == {("answered", "u1")}


def test_dropped_claims_give_their_bodies_back():
    # Guards against a sum of body sizes that only grows.
    machine = Machine(SMALL)
    machine(claim("c1"))
    machine(outcome("c1", body="12345678"))
    machine(claim("c1", key=key_at(NOW_MS + 90_000_000)), 90_000_000)
    assert machine.state.dump()["claims"]["bodies_chars"] == 0


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        (UUID7, 0x018BCFE56800),
        (UUID7.upper(), None),
        (UUID7.replace("-7df0-", "-4df0-"), None),
        (UUID7.replace("-b3d2-", "-c3d2-"), None),
        (UUID7.replace("-b3d2-", "-73d2-"), None),
        (UUID7.replace("-", ""), None),
        (f"{{{UUID7}}}", None),
        (UUID7 + "\n", None),
        ("", None),
        (str(uuid.UUID(int=0)), None),
    ],
)
def test_key_time(key, expected):
    # Guards against a key without a time, and against two spellings of one key.
    assert key_creation_ms(key) == expected


def test_in_progress_bound_covers_budget_and_lease():
    # Guards against calling a submit lost while its holder may wait for the reply.
    assert min(LIMITS.in_progress_ms, LIMITS.suspect_run_ms) > 2000 + 3000
