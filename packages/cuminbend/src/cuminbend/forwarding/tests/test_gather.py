"""Tests of the merge, of when a fan-out answers, of hedge delays and budgets."""

import random

import pytest

from cuminbend.forwarding import (
    HedgeDelay,
    PartCollector,
    RetryBudgets,
    RetryBudgetSettings,
    ShardPart,
    merge_greatest_records,
)

SHARDS = tuple(f"s{i}" for i in range(10))


def test_merge_keeps_the_greatest_and_all_equal_ones() -> None:
    """Guards against records lost or invented by the merge."""
    rng = random.Random(1)
    bodies = [
        b"".join(rng.randbytes(1) * 16 for _ in range(20)) + rng.randbytes(i % 16)
        for i in range(8)
    ]
    records = [b[i : i + 16] for b in bodies for i in range(0, 320, 16)]
    expected = sorted(records, reverse=True)[:30]
    assert merge_greatest_records(bodies, 30) == b"".join(expected)
    assert merge_greatest_records([b"short"], 5) == b""


@pytest.mark.parametrize(
    ("parts", "pending", "objective_passed", "answers"),
    [
        (10, 0, False, True),
        (9, 1, False, False),
        (9, 1, True, True),
        (9, 0, False, True),
        (8, 2, True, False),
        (8, 0, True, False),
    ],
)
def test_when_to_answer(
    parts: int, pending: int, objective_passed: bool, answers: bool
) -> None:
    """Guards against waiting past the objective, and against too little coverage."""
    gather = PartCollector(shards=SHARDS, min_coverage=0.9)
    for index in range(parts):
        assert gather.add(SHARDS[index], ShardPart(b"%d" % index, b""))
    due = gather.should_answer(pending=pending, objective_passed=objective_passed)
    assert due is answers
    assert gather.missing == 10 - parts
    assert gather.can_succeed(pending) is (parts + pending >= 9)


def test_part_counts_once() -> None:
    """Guards against coverage counted twice after a hedge or a crossed answer."""
    gather = PartCollector(shards=SHARDS, min_coverage=0.5)
    assert gather.add("s0", ShardPart(b"x", b""))
    assert not gather.add("s0", ShardPart(b"y", b""))
    assert not gather.add("s1", ShardPart(b"x", b""))
    assert gather.missing == 9


def test_hedge_delay_follows_the_tail_up_to_a_share_of_the_objective() -> None:
    """Guards against hedges of ordinary attempts, and against hedges sent too late."""
    rng = random.Random(1)
    delay = HedgeDelay(objective_ms=100)
    for _ in range(400):
        delay.record(rng.uniform(8, 12))
    assert 11 < delay.delay_ms < 18
    for _ in range(400):
        delay.record(rng.choice((10.0, 10.0, 10.0, 300.0)))
    assert delay.delay_ms == pytest.approx(34.0)


def test_retry_budgets_keep_the_sum_bound() -> None:
    """Guards against a bound that holds per instance but not over all of them.

    Six instances, each with its own requests, spend all they can; over any window of
    10 s the sum stays within ratio x requests + slack.
    """
    settings = RetryBudgetSettings(ratio=0.2, slack=52.0)
    instances = [RetryBudgets(settings=settings) for _ in range(6)]
    for budgets in instances:
        budgets.set_instance_count(6)
    rng = random.Random(1)
    requests: list[int] = []
    extras: list[int] = []
    for _ in range(60):
        sent, extra = 0, 0
        for budgets in instances:
            for _ in range(rng.randrange(12)):
                budgets.record_request("s")
                sent += 1
            while rng.random() < 0.9 and budgets.try_spend("s"):
                extra += 1
        requests.append(sent)
        extras.append(extra)
    for start in range(50):
        window = slice(start, start + 10)
        assert sum(extras[window]) <= 0.2 * sum(requests[window]) + 52


def test_restarted_instance_has_little_slack() -> None:
    """Guards against restarts that each bring a whole slack of their own."""
    budgets = RetryBudgets(settings=RetryBudgetSettings(ratio=0.2, slack=52.0))
    budgets.set_instance_count(6)
    spent = sum(budgets.try_spend("s") for _ in range(100))
    assert spent <= 52 / 6 / 4 + 1
