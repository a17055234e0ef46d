"""Registry of the upstreams that announce themselves by heartbeats."""

from cuminbend.registry._registrations import (
    Registration,
    RegistrationTable,
    UpstreamState,
)

__all__ = ["Registration", "RegistrationTable", "UpstreamState"]
