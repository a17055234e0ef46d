"""Tests of searches, and the fakes that they share."""
