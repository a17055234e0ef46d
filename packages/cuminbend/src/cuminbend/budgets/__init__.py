"""Token, rate and window budgets for work, and quantiles of recent latencies."""

from cuminbend.budgets._latency import LatencyQuantiles
from cuminbend.budgets._rate import RateBudget
from cuminbend.budgets._tokens import TokenBudget
from cuminbend.budgets._window import WindowBudget

__all__ = ["LatencyQuantiles", "RateBudget", "TokenBudget", "WindowBudget"]
