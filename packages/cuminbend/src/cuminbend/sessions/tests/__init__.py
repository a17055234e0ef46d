"""Tests of :mod:`cuminbend.sessions`."""
