"""Tests of the operator command."""
