"""Tests of the admission gates."""
