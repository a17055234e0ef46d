"""Tests of the control log."""
