"""Budgets of attempts after the first one, per service and over all instances."""

from dataclasses import dataclass

from cuminbend.budgets import TokenBudget


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetSettings:
    """Bound on the extra attempts of all instances together.

    Attributes:
        ratio: Extra attempts allowed per request for the service.
        slack: Extra attempts allowed over any period in addition to the ratio.
        usable_share: Share of ratio and slack that is used. The rest covers instances
            that learn late of a change in the number of instances, and requests whose
            connection failed.
    """

    ratio: float = 0.1
    slack: float = 10.0
    usable_share: float = 0.9


class RetryBudgets:
    """One token budget per service.

    Each instance earns tokens from its own requests and gets an equal part of the
    slack, so the sum over all instances keeps the bound without communication. An
    instance starts with a quarter of its part, because a killed instance that it
    replaces may have just spent its own part.
    """

    _INITIAL_SHARE = 0.25

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._instance_count = 1
        self._budgets: dict[str, TokenBudget] = {}

    def set_instance_count(self, instances: int) -> None:
        """Set the number of instances among which the slack is divided."""
        if instances == self._instance_count:
            return
        self._instance_count = instances
        for budget in self._budgets.values():
            budget.burst = self._burst_per_instance()

    def record_request(self, service: str) -> None:
        """Earn tokens for a request to a service."""
        self._budget_of(service).earn()

    def has_token(self, service: str) -> bool:
        """Return whether one extra attempt is allowed."""
        return self._budget_of(service).has_token

    def try_spend(self, service: str) -> bool:
        """Spend a token for one extra attempt; return False if there is none."""
        return self._budget_of(service).try_spend()

    def tokens(self, service: str) -> float:
        """Return the number of extra attempts left for a service."""
        return self._budget_of(service).tokens

    def fewest_tokens(self) -> float:
        """Return the number of extra attempts left for the service with the fewest.

        Returns:
            The number, or 0 if no service had a request yet.
        """
        return min((budget.tokens for budget in self._budgets.values()), default=0.0)

    def _burst_per_instance(self) -> float:
        settings = self._settings
        return max(
            1.0, settings.slack * settings.usable_share / max(1, self._instance_count)
        )

    def _budget_of(self, service: str) -> TokenBudget:
        budget = self._budgets.get(service)
        if budget is None:
            burst = self._burst_per_instance()
            budget = TokenBudget(
                ratio=self._settings.ratio * self._settings.usable_share,
                burst=burst,
                initial=burst * self._INITIAL_SHARE,
            )
            self._budgets[service] = budget
        return budget
