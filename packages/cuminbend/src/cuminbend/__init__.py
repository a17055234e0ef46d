"""Coordination logic of a shared query tier over many shards.

The library has no I/O of its own: it accesses clocks, disks, peers, upstreams and
random numbers only through the protocols of :mod:`cuminbend.ports`.
"""

__version__ = "0.1.0"
