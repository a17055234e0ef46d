"""Budgets of attempts after the first one, per service and over all instances."""

import math
from collections import deque
from dataclasses import dataclass

from cuminbend.budgets import TokenBudget, WindowBudget
from cuminbend.ports import Clock

# Part of an instance's slack that it may spend within the first window after its start,
# because a killed instance that it replaces may have just spent its own part.
_INITIAL_SHARE = 0.1
# Part of an instance's slack up to which tokens earned by requests can accumulate. The
# rest is spent per window.
_EARNED_SHARE = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetSettings:
    """Bound on the extra attempts of all instances together.

    In each window of ``window_ms`` a service gets at most ``ratio`` times its requests
    plus ``slack`` extra attempts.

    Attributes:
        ratio: Extra attempts allowed per request for the service.
        slack: Extra attempts allowed in each window in addition to the ratio.
        window_ms: Length of the window.
        usable_share: Share of ratio and slack that is used. The rest covers instances
            that learn late of a change in the number of instances, and requests whose
            connection failed.
    """

    ratio: float = 0.1
    slack: float = 10.0
    window_ms: float = 10_000.0
    usable_share: float = 0.9


class RetryBudgets:
    """One budget per service.

    Each instance earns tokens from its own requests and gets an equal part of the
    slack for each window, so the sum over all instances keeps the bound without
    communication. The load pattern it answers is a fault of some seconds at upstreams
    of many shards: an instance with few requests for each shard earns almost no tokens,
    but may spend its part of the slack again in each window.

    When instances leave, the others wait for one window before they take over their
    part, because those that left may have just spent it.

    Args:
        settings: Bound over all instances.
        clock: Source of time.
    """

    def __init__(self, *, settings: RetryBudgetSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._start_ms = clock.monotonic_ms()
        self._instance_count = 1
        self._former_counts: deque[tuple[float, int]] = deque()
        self._slack_part = 0.0
        self._slack_part_until_ms = 0.0
        self._budgets: dict[str, _ServiceBudget] = {}

    def set_instance_count(self, instances: int) -> None:
        """Set the number of instances among which the slack is divided."""
        if instances == self._instance_count:
            return
        self._former_counts.append((self._clock.monotonic_ms(), self._instance_count))
        self._instance_count = instances
        self._slack_part_until_ms = 0.0

    def record_request(self, service: str) -> None:
        """Earn tokens for a request to a service."""
        earned = self._budget_of(service).earned
        earned.burst = max(1.0, self._current_slack_part() * _EARNED_SHARE)
        earned.earn()

    def has_token(self, service: str) -> bool:
        """Return whether one extra attempt is allowed."""
        budget = self._budget_of(service)
        return budget.earned.has_token or self._remaining_slack(budget) > 0

    def try_spend(self, service: str) -> bool:
        """Spend a token for one extra attempt; return False if there is none."""
        budget = self._budget_of(service)
        if budget.earned.try_spend():
            return True
        if not self._remaining_slack(budget):
            return False
        budget.slack.spend(now_ms=self._clock.monotonic_ms())
        return True

    def tokens(self, service: str) -> float:
        """Return the number of extra attempts left for a service."""
        budget = self._budget_of(service)
        return budget.earned.tokens + self._remaining_slack(budget)

    def fewest_tokens(self) -> float:
        """Return the number of extra attempts left for the service with the fewest.

        Returns:
            The number, or 0 if no service had a request yet.
        """
        return min(map(self.tokens, self._budgets), default=0.0)

    def _remaining_slack(self, budget: "_ServiceBudget") -> int:
        limit = int(self._current_slack_part() * (1 - _EARNED_SHARE))
        return budget.slack.remaining(limit, now_ms=self._clock.monotonic_ms())

    def _current_slack_part(self) -> float:
        """Return the part of the slack that this instance may spend per window."""
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._slack_part_until_ms:
            self._update_slack_part(now_ms)
        return self._slack_part

    def _update_slack_part(self, now_ms: float) -> None:
        settings = self._settings
        window_ms = settings.window_ms
        while self._former_counts and self._former_counts[0][0] <= now_ms - window_ms:
            self._former_counts.popleft()
        counts = [1, self._instance_count, *(count for _, count in self._former_counts)]
        self._slack_part = settings.slack * settings.usable_share / max(counts)
        changes_ms = [time_ms + window_ms for time_ms, _ in self._former_counts]
        if now_ms < self._start_ms + window_ms:
            self._slack_part *= _INITIAL_SHARE
            changes_ms.append(self._start_ms + window_ms)
        self._slack_part_until_ms = min(changes_ms, default=math.inf)

    def _budget_of(self, service: str) -> "_ServiceBudget":
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._budgets[service] = _ServiceBudget(
                earned=TokenBudget(
                    ratio=settings.ratio * settings.usable_share, burst=1.0, initial=0.0
                ),
                slack=WindowBudget(window_ms=settings.window_ms),
            )
        return budget


@dataclass(slots=True)
class _ServiceBudget:
    """Budgets of one service.

    Attributes:
        earned: Tokens earned by requests.
        slack: Part of the slack, per window.
    """

    earned: TokenBudget
    slack: WindowBudget
