"""Tests of token budgets and latency quantiles."""

import random

import pytest

from cuminbend.budgets import LatencyQuantiles, TokenBudget


@pytest.mark.parametrize(("ratio", "burst"), [(0.04, 3), (0.1, 10), (0.33, 2)])
def test_extra_work_never_exceeds_ratio_and_burst(ratio: float, burst: float) -> None:
    """Guards against retry storms because of a budget that grants too many tokens."""
    budget = TokenBudget(ratio=ratio, burst=burst)
    spent_count = 0
    for regular_count in range(1, 2001):
        budget.earn()
        spent_count += budget.try_spend()
        assert spent_count <= ratio * regular_count + burst + 1e-6
    assert spent_count >= ratio * 2000 - 1


def test_ratio_earns_whole_tokens_in_spite_of_rounding() -> None:
    """Guards against a lost token because ten times 0.1 adds up to less than 1."""
    budget = TokenBudget(ratio=0.1, burst=5, initial=0)
    for _ in range(10):
        budget.earn()
    assert budget.try_spend()
    assert not budget.try_spend()


def test_quantiles_match_sorted_window() -> None:
    """Guards against a sorted copy that differs from the samples in the window."""
    rng = random.Random(5)
    quantiles = LatencyQuantiles(window=50)
    samples: list[float] = []
    assert quantiles.p95_ms is None
    for _ in range(400):
        samples.append(float(rng.randrange(20)))
        quantiles.record(samples[-1])
        recent = sorted(samples[-50:])
        count = len(recent)
        assert quantiles.p50_ms == recent[-(-count // 2) - 1]
        assert quantiles.p95_ms == recent[-(-count * 95 // 100) - 1]
