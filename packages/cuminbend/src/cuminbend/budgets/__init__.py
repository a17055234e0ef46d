"""Token budgets for extra work, and quantiles of recent latencies."""

from cuminbend.budgets._latency import LatencyQuantiles
from cuminbend.budgets._tokens import TokenBudget

__all__ = ["LatencyQuantiles", "TokenBudget"]
