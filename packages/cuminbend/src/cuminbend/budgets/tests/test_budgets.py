"""Budgets and latency estimates."""

import random

import pytest

from cuminbend.budgets import LatencyQuantiles, TokenBudget


@pytest.mark.parametrize(("ratio", "burst"), [(0.04, 3), (0.1, 10), (0.33, 2)])
def test_extra_work_never_exceeds_ratio_and_burst(ratio: float, burst: float) -> None:
    """Guards against retry storms through a budget that leaks tokens."""
    budget = TokenBudget(ratio=ratio, burst=burst)
    spent = 0
    for regular in range(1, 2001):
        budget.earn()
        spent += budget.try_spend()
        assert spent <= ratio * regular + burst + 1e-6
    assert spent >= ratio * 2000 - 1


def test_ratio_earns_whole_tokens_in_spite_of_rounding() -> None:
    """Guards against a token that is lost because 25 times 0.04 is not quite 1."""
    budget = TokenBudget(ratio=0.1, burst=5, initial=0)
    for _ in range(10):
        budget.earn()
    assert budget.try_spend()
    assert not budget.try_spend()


def test_quantiles_follow_the_window() -> None:
    """Guards against a sorted copy that drifts from the window."""
    source = random.Random(5)
    estimate = LatencyQuantiles(window=50)
    samples: list[float] = []
    assert estimate.p95_ms is None
    for _ in range(400):
        samples.append(float(source.randrange(20)))
        estimate.record(samples[-1])
        recent = sorted(samples[-50:])
        count = len(recent)
        assert estimate.p50_ms == recent[-(-count // 2) - 1]
        assert estimate.p95_ms == recent[-(-count * 95 // 100) - 1]
