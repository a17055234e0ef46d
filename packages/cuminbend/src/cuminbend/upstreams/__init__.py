"""Admission of work to one upstream at its owner."""
