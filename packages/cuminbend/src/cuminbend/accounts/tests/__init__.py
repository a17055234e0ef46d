"""Tests of :mod:`cuminbend.accounts`."""
