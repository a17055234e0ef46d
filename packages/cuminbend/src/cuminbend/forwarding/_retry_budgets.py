"""Budget of attempts beyond the first, per service, over all instances."""

from dataclasses import dataclass

from cuminbend.budgets import TokenBudget


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetSettings:
    """Bound that all instances keep together.

    Attributes:
        ratio: Extra attempts allowed per request for the service.
        slack: Extra attempts allowed in a window on top of that.
        usable_share: Share of both that is used; the rest covers instances that count
            each other late and requests whose connection failed.
    """

    ratio: float = 0.1
    slack: float = 10.0
    usable_share: float = 0.9


class RetryBudgets:
    """One token budget per service.

    Each instance earns from its own requests and holds an equal part of the slack, so
    the sum over all instances keeps the bound without any exchange. An instance that
    starts holds a quarter of its part, because one that was killed may have just
    spent its own.
    """

    _INITIAL_SHARE = 0.25

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._instances = 1
        self._budgets: dict[str, TokenBudget] = {}

    def set_instance_count(self, instances: int) -> None:
        """Divide the slack among ``instances``."""
        if instances == self._instances:
            return
        self._instances = instances
        for budget in self._budgets.values():
            budget.burst = self._burst()

    def record_request(self, service: str) -> None:
        """Note a request for a service."""
        self._of(service).earn()

    def has_token(self, service: str) -> bool:
        """Return whether one extra attempt is allowed."""
        return self._of(service).has_token

    def try_spend(self, service: str) -> bool:
        """Return whether one extra attempt is allowed, and count it."""
        return self._of(service).try_spend()

    def tokens(self, service: str) -> float:
        """Return the extra attempts that are left."""
        return self._of(service).tokens

    def fewest_tokens(self) -> float:
        """Return the extra attempts left for the service that has fewest."""
        return min((budget.tokens for budget in self._budgets.values()), default=0.0)

    def _burst(self) -> float:
        settings = self._settings
        return max(
            1.0, settings.slack * settings.usable_share / max(1, self._instances)
        )

    def _of(self, service: str) -> TokenBudget:
        budget = self._budgets.get(service)
        if budget is None:
            burst = self._burst()
            budget = TokenBudget(
                ratio=self._settings.ratio * self._settings.usable_share,
                burst=burst,
                initial=burst * self._INITIAL_SHARE,
            )
            self._budgets[service] = budget
        return budget
