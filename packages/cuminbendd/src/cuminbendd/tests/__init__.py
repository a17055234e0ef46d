"""Failure tests over real daemon processes."""
