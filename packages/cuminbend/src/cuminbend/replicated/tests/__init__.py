"""Tests of :mod:`cuminbend.replicated`."""
