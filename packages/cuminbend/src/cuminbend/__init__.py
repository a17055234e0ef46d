"""Coordination parts of a shared query tier over many shards.

The library decides; it reaches clocks, disks, peers, upstreams and random numbers
only through the protocols of :mod:`cuminbend.ports`.
"""

__version__ = "0.1.0"
