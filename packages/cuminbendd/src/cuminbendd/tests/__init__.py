"""Tests of the daemon, most of them with real processes, and of logs and metrics."""
