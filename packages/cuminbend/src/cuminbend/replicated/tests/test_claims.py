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
    SMALL_LIMITS,
    StateMachineDriver,
    claim,
    file_text,
    key_created_at,
    outcome,
)

DEFAULT_LIMITS = StateLimits()
VALID_KEY = "018bcfe5-6800-7df0-b3d2-c616cb4ac8b4"


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        # A second claim of the key, and the first one again.
        ([claim("c1"), claim("c2")], "in_progress"),
        ([claim("c1"), claim("c2"), claim("c1")], "granted"),
        ([claim("c1"), claim("c2", digest="e")], "other_body"),
        # The same key of another member or service is independent.
        ([claim("c1"), claim("c2", member="n")], "granted"),
        ([claim("c1"), claim("c2", service="t")], "granted"),
        ([claim("c1"), claim("c2", key=key_created_at(NOW_MS, 1))], "granted"),
        # Claims after the outcome of the first one.
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
        # Only the holder can record an outcome, and only once.
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
        # Creation time in the key.
        ([claim("c1", key=key_created_at(NOW_MS + 60_000))], "granted"),
        ([claim("c1", key=key_created_at(NOW_MS + 60_001))], "from_future"),
        ([claim("c1", key=key_created_at(NOW_MS - 86_400_000))], "granted"),
        ([claim("c1", key=key_created_at(NOW_MS - 86_400_001))], "too_old"),
        # Invalid claims.
        ([claim("c1", key="x")], "refused_result"),
        ([claim("")], "refused_result"),
        ([claim("c1"), outcome("c1", "not_run"), claim("")], "refused_result"),
    ],
)
@pytest.mark.parametrize("restart", [False, True])
def test_claim_result_after_steps(steps, expected, restart):
    # Guards against a key that two claims hold, for different orders of events.
    driver = StateMachineDriver()
    for step in steps:
        result = driver(step)
        if restart:
            driver.restart()
    assert getattr(result, "status", result.kind) == expected


def test_claim_of_lost_holder_becomes_unknown_and_keeps_key():
    # Guards against a claim that stays in progress forever after its holder is lost,
    # and against granting the key of a holder that is only slow to another claim.
    driver = StateMachineDriver()
    key = ("m", "s", key_created_at(NOW_MS))
    driver(claim("c1"))
    assert driver(claim("c2"), 10_000).status is ClaimStatus.IN_PROGRESS
    assert driver(claim("c3"), 1).status is ClaimStatus.UNKNOWN
    assert driver.state.claim_status(*key) is ClaimStatus.UNKNOWN
    assert driver(outcome("c1", body="b")).recorded
    assert driver(claim("c4")).body == "b"
    assert driver.state.claim_status(*key) is ClaimStatus.ANSWERED
    assert driver.state.claim_status("m", "s", key_created_at(NOW_MS, 9)) is None


def test_outcome_from_other_claim_changes_nothing():
    # Guards against an outcome recorded by an instance that does not hold the key.
    driver = StateMachineDriver()
    driver(claim("c1"))
    before = driver.state.snapshot()
    for outcome_name in ("answered", "unknown", "not_run"):
        assert not driver(outcome("c2", outcome_name)).recorded
        assert not driver(
            outcome("c1", outcome_name, key=key_created_at(NOW_MS, 1))
        ).recorded
    assert driver.state.snapshot() == before


@pytest.mark.parametrize("outcome_name", ["answered", "unknown", "not_run"])
def test_expired_key_never_runs_again(outcome_name):
    # Guards against a claim that is dropped while its key is still accepted. That could
    # happen after the retention is raised, or when the clock of a new leader is behind.
    driver = StateMachineDriver()
    driver(ApplyConfiguration("a", 0, file_text(60)))
    driver(claim("c1"))
    driver(outcome("c1", outcome_name))
    at_limit = driver(claim("c2"), 60_000)
    assert at_limit.status is not ClaimStatus.TOO_OLD
    assert driver(claim("c3"), 1).status is ClaimStatus.TOO_OLD
    assert driver.state.dump()["claims"]["claims"] == 0
    driver(ApplyConfiguration("b", 1, file_text(7200)))
    driver.restart()
    assert driver(claim("c4"), -50_000).status is ClaimStatus.TOO_OLD


def test_shorter_retention_drops_claims_at_once():
    # Guards against a shorter retention that applies to keys but not to their claims.
    driver = StateMachineDriver()
    driver(claim("c1"))
    driver(ApplyConfiguration("a", 0, file_text(60)), 70_000)
    assert driver.state.dump()["claims"]["claims"] == 0
    assert driver(claim("c2")).status is ClaimStatus.TOO_OLD


def test_full_claim_table_refuses_new_keys():
    # Guards against dropping a claim to make room for another one, after which the
    # submit with its key could run again.
    driver = StateMachineDriver(SMALL_LIMITS)
    keys = [key_created_at(NOW_MS, number) for number in range(7)]
    results = [driver(claim("c1", key=key)) for key in keys]
    assert [result.kind for result in results[5:]] == ["claim_result", "refused_result"]
    assert driver(claim("c2", key=keys[0])).status is ClaimStatus.IN_PROGRESS


def test_key_can_be_freed_a_limited_number_of_times():
    # Guards against an unbounded list of freed claim ids.
    driver = StateMachineDriver(SMALL_LIMITS)
    for number in range(2):
        driver(claim(f"c{number}"))
        driver(outcome(f"c{number}", "not_run"))
    assert driver(claim("c2")).kind == "refused_result"


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
def test_large_bodies_are_dropped_and_marked(bodies, expected):
    # Guards against unbounded memory, and against a truncated reply returned as a
    # complete one.
    driver = StateMachineDriver(SMALL_LIMITS)
    keys = [key_created_at(NOW_MS, 9 - number) for number in range(len(bodies))]
    for key, body in zip(keys, bodies, strict=True):
        driver(claim("c1", key=key))
        driver(outcome("c1", key=key, body=body, upstream="u1"))
        driver.restart()
    results = [driver(claim("c2", key=key)) for key in keys]
    assert [(result.body, result.body_dropped) for result in results] == expected
    assert {(result.status, result.upstream) for result in results} == {
        ("answered", "u1")
    }


def test_expired_claims_reduce_total_body_size():
    # Guards against a total body size that is not reduced when claims expire. Replies
    # would then be dropped although there is room for them.
    driver = StateMachineDriver(SMALL_LIMITS)
    driver(claim("c1"))
    driver(outcome("c1", body="12345678"))
    driver(claim("c1", key=key_created_at(NOW_MS + 90_000_000)), 90_000_000)
    assert driver.state.dump()["claims"]["bodies_chars"] == 0


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        (VALID_KEY, 0x018BCFE56800),
        (VALID_KEY.upper(), None),
        (VALID_KEY.replace("-7df0-", "-4df0-"), None),
        (VALID_KEY.replace("-b3d2-", "-c3d2-"), None),
        (VALID_KEY.replace("-b3d2-", "-73d2-"), None),
        (VALID_KEY.replace("-", ""), None),
        (f"{{{VALID_KEY}}}", None),
        (VALID_KEY + "\n", None),
        ("", None),
        (str(uuid.UUID(int=0)), None),
    ],
)
def test_key_creation_ms(key, expected):
    # Guards against accepting a key without a creation time, or two spellings of a key.
    assert key_creation_ms(key) == expected


def test_timeouts_exceed_budget_and_lease():
    # Guards against timeouts so short that a submit or run counts as lost while its
    # holder may still wait for the reply. The holder waits at most for the request
    # budget (2000 ms) plus the lease (3000 ms).
    assert (
        min(
            DEFAULT_LIMITS.in_progress_timeout_ms, DEFAULT_LIMITS.suspect_run_timeout_ms
        )
        > 2000 + 3000
    )
