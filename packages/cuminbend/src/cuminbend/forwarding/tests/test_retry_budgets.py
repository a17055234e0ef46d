"""Tests of retry budgets over all instances, on virtual time."""

import random

import pytest

from cuminbend.forwarding import RetryBudgets, RetryBudgetSettings
from cuminbend.ports.tests._clock import SettableClock

WINDOW_MS = 10_000.0
RATIO = 0.2
STEP_MS = 100.0


class Fleet:
    """Instances that share the budget of one service.

    Attributes:
        requests_ms: Times of all requests.
        extras_ms: Times of all extra attempts.
    """

    def __init__(self, count: int, *, slack: float, standby: int = 0) -> None:
        self.clock = SettableClock()
        self.settings = RetryBudgetSettings(
            ratio=RATIO, slack=slack, window_ms=WINDOW_MS
        )
        self.total = count + standby
        self.active = [self.new_instance(count) for _ in range(count)]
        self.standby = [self.new_instance(self.total) for _ in range(standby)]
        self.requests_ms: list[float] = []
        self.extras_ms: list[float] = []

    def new_instance(self, count: int) -> RetryBudgets:
        budgets = RetryBudgets(settings=self.settings, clock=self.clock)
        budgets.set_instance_count(count)
        return budgets

    def set_counts(self, count: int) -> None:
        for budgets in self.active:
            budgets.set_instance_count(count)

    def run(self, until_ms: float, *, spend_share: float, rng: random.Random) -> None:
        """Send requests and spend every available token with a probability."""
        while self.clock.now_ms < until_ms:
            self.clock.now_ms += STEP_MS
            for budgets in self.active:
                if rng.random() < 0.1:
                    budgets.record_request("s")
                    self.requests_ms.append(self.clock.now_ms)
                while rng.random() < spend_share and budgets.try_spend("s"):
                    self.extras_ms.append(self.clock.now_ms)

    def check_every_window(self) -> None:
        for end_ms in sorted(set(self.extras_ms)):
            extra_count = self._count(self.extras_ms, end_ms)
            request_count = self._count(self.requests_ms, end_ms)
            assert extra_count <= RATIO * request_count + self.settings.slack, end_ms

    @staticmethod
    def _count(times_ms: list[float], end_ms: float) -> int:
        return sum(end_ms - WINDOW_MS < time_ms <= end_ms for time_ms in times_ms)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("count", "slack"), [(6, 52.0), (40, 430.0), (18, 202.0)])
def test_retry_budgets_bound_the_sum_over_all_instances(
    count: int, slack: float, seed: int
) -> None:
    """Guards against a bound that holds per instance but not over all of them."""
    rng = random.Random(seed)
    fleet = Fleet(count, slack=slack)
    for end_s in range(2, 60, 2):
        share = rng.choice((0.0, 0.3, 1.0))
        fleet.run(end_s * 1000, spend_share=share, rng=rng)
    assert len(fleet.extras_ms) > slack
    fleet.check_every_window()


@pytest.mark.parametrize("lost_share", [0.2, 0.55])
def test_instances_killed_together_do_not_spend_their_slack_twice(
    lost_share: float,
) -> None:
    """Guards against restarts that each add a full part of the slack.

    Half of the instances are killed right after they have spent all tokens, the others
    learn of it, and the restarted ones are back a second later.
    """
    rng = random.Random(1)
    fleet = Fleet(40, slack=430.0)
    fleet.run(12_000, spend_share=0.0, rng=rng)
    fleet.run(14_000, spend_share=1.0, rng=rng)
    lost_count = int(lost_share * 40)
    fleet.active = fleet.active[lost_count:]
    fleet.set_counts(40 - lost_count)
    fleet.run(15_000, spend_share=1.0, rng=rng)
    fleet.active += [fleet.new_instance(40) for _ in range(lost_count)]
    fleet.set_counts(40)
    fleet.run(45_000, spend_share=1.0, rng=rng)
    fleet.check_every_window()


def test_standby_instances_take_over_slowly() -> None:
    """Guards against standby instances that spend the slack of lost ones again."""
    rng = random.Random(1)
    fleet = Fleet(40, slack=430.0, standby=155)
    fleet.run(12_000, spend_share=0.0, rng=rng)
    fleet.run(14_000, spend_share=1.0, rng=rng)
    fleet.active = fleet.active[20:] + fleet.standby[:20]
    fleet.set_counts(40)
    fleet.run(45_000, spend_share=1.0, rng=rng)
    fleet.check_every_window()


def test_slack_is_available_again_in_the_next_window() -> None:
    """Guards against a slack that only requests restore.

    The load pattern is that of the large deployment: 40 instances with one request a
    second for the shard each, and a fault from 12 s to 42 s. Tokens that only
    requests earn allow 0.18 extra attempts for each request then.
    """
    rng = random.Random(1)
    fleet = Fleet(40, slack=430.0)
    fleet.run(12_000, spend_share=0.0, rng=rng)
    before_count = len(fleet.requests_ms)
    fleet.run(42_000, spend_share=1.0, rng=rng)
    request_count = len(fleet.requests_ms) - before_count
    earned_count = RATIO * request_count
    assert len(fleet.extras_ms) > earned_count + 2 * 430 * 0.6
    fleet.check_every_window()


def test_restarted_instance_starts_with_part_of_its_slack() -> None:
    """Guards against restarts that each add a full part of the slack."""
    clock = SettableClock()
    budgets = RetryBudgets(
        settings=RetryBudgetSettings(ratio=0.2, slack=52.0), clock=clock
    )
    budgets.set_instance_count(6)
    spent = sum(budgets.try_spend("s") for _ in range(100))
    assert spent <= 52 / 6 / 4 + 1
    clock.now_ms = WINDOW_MS
    spent += sum(budgets.try_spend("s") for _ in range(100))
    assert 5 <= spent <= 52 / 6
