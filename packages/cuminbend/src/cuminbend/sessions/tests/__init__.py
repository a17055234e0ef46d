"""Tests of leases, registry and ownership."""
