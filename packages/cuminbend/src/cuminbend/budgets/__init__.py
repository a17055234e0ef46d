"""Budgets for extra work and estimates of latency."""

from cuminbend.budgets._latency import LatencyQuantiles
from cuminbend.budgets._tokens import TokenBudget

__all__ = ["LatencyQuantiles", "TokenBudget"]
