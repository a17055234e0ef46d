"""Instances of the library in one process, with fakes at its ports.

Sessions, gates, queries and submits are the real ones. Clock, network, control log
and upstreams are fakes on the virtual time of trio's MockClock.
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
