"""Tests of :mod:`cuminbend.submit`."""
