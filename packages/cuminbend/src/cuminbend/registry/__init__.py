"""Registry of the upstreams that announce themselves by heartbeats."""

from cuminbend.registry._leave_quorum import LeaveQuorum
from cuminbend.registry._leaves import Leave, LeaveTable
from cuminbend.registry._registrations import (
    Registration,
    RegistrationTable,
    UpstreamState,
)
from cuminbend.registry._statements import StatementTable, UpstreamStatement

__all__ = [
    "Leave",
    "LeaveQuorum",
    "LeaveTable",
    "UpstreamStatement",
    "StatementTable",
    "Registration",
    "RegistrationTable",
    "UpstreamState",
]
