"""Tests of the channels between instances."""
