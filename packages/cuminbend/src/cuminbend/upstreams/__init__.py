"""Admission of work to one upstream at its owner."""

from cuminbend.upstreams._base import LeaseView, MemberShares, SuspectView
from cuminbend.upstreams._gate import UpstreamGate
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._suspects import SuspectMemory
from cuminbend.upstreams._table import GateTable

__all__ = [
    "GateSettings",
    "GateTable",
    "LeaseView",
    "MemberShares",
    "SuspectMemory",
    "SuspectView",
    "UpstreamGate",
]
