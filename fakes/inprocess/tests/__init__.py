"""Whole sessions of instances on virtual time."""
