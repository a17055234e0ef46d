"""Leases, upstream registry and ownership of upstreams."""
