"""Leases, upstream registry and ownership of upstreams."""

from cuminbend.messages import PollReply, PollRequest
from cuminbend.sessions._announcements import check_announcement
from cuminbend.sessions._client import SessionClient
from cuminbend.sessions._coordinator import SessionCoordinator
from cuminbend.sessions._in_force import InForceStatus
from cuminbend.sessions._lease import Lease
from cuminbend.sessions._protocols import (
    ConfigurationSource,
    Leadership,
    OwnershipListener,
)
from cuminbend.sessions._settings import CoordinatorSettings, SessionSettings
from cuminbend.sessions._view import SessionView

__all__ = [
    "ConfigurationSource",
    "CoordinatorSettings",
    "InForceStatus",
    "Leadership",
    "Lease",
    "OwnershipListener",
    "PollReply",
    "PollRequest",
    "SessionClient",
    "SessionCoordinator",
    "SessionSettings",
    "SessionView",
    "check_announcement",
]
