"""Budgets for extra work, and latency estimates."""
