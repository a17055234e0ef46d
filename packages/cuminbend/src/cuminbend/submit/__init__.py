"""Submits that run at most once."""
