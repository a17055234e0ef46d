"""Tests of whole clusters on virtual time."""
