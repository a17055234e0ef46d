"""Requests that crash the upstreams that run them."""

from cuminbend.crashes._fingerprints import compute_fingerprint

__all__ = ["compute_fingerprint"]
