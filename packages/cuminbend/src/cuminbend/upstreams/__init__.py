"""Admission of requests to upstreams at the instance that owns them."""

from cuminbend.upstreams._base import LeaseView, MemberShares, SuspectView
from cuminbend.upstreams._gate import UpstreamGate
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._suspects import SuspectCache
from cuminbend.upstreams._table import GateTable

__all__ = [
    "GateSettings",
    "GateTable",
    "LeaseView",
    "MemberShares",
    "SuspectCache",
    "SuspectView",
    "UpstreamGate",
]
