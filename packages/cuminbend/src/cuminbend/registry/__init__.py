"""Registry of the upstreams that announce themselves by heartbeats."""

from cuminbend.registry._leave_quorum import LeaveQuorum
from cuminbend.registry._limits import LimitStatement, LimitTable
from cuminbend.registry._registrations import (
    Registration,
    RegistrationTable,
    UpstreamState,
)

__all__ = [
    "LeaveQuorum",
    "LimitStatement",
    "LimitTable",
    "Registration",
    "RegistrationTable",
    "UpstreamState",
]
