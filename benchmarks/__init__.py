"""Benchmarks: one module per question, run by ``make bench``."""
