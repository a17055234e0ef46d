"""Protocols that the gates require."""

from typing import Protocol


class LeaseView(Protocol):
    """The lease of this instance."""

    def is_valid(self, for_ms: float = 0) -> bool:
        """Return whether the lease lasts for at least ``for_ms`` from now."""

    def remaining_ms(self) -> float:
        """Return the time until the lease ends, 0 if it has ended."""


class SuspectView(Protocol):
    """Requests that the control log records as crashing upstreams."""

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints that every upstream refuses."""

    @property
    def suspects(self) -> dict[str, str]:
        """Fingerprints that crashed one upstream, with the name of that upstream."""


class MemberShares(Protocol):
    """Shares of the members in the capacity of an upstream."""

    def share(self, member: str) -> float:
        """Return the weight of a member relative to the other members."""
