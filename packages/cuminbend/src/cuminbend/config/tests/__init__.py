"""Tests of :mod:`cuminbend.config`."""
