"""Tests of the forwarding decisions."""
