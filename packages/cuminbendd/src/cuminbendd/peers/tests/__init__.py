"""Tests of gRPC between instances."""
