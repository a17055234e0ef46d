"""Searches at the entry instance."""
