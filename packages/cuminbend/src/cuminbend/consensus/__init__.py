"""Replicated log over the disk instances."""
