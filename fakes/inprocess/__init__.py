"""Instances of the library in one process, with fakes at its ports.

Sessions, gates, queries and submits run the production code. The clock, the network,
the control log and the upstreams are fakes on the virtual time of trio's MockClock.
"""

from inprocess._clock import VirtualClock, run_virtual
from inprocess._cluster import FakeCluster, FakeInstance
from inprocess._upstreams import FakeUpstream, FakeUpstreams

__all__ = [
    "FakeCluster",
    "FakeInstance",
    "FakeUpstream",
    "FakeUpstreams",
    "VirtualClock",
    "run_virtual",
]
