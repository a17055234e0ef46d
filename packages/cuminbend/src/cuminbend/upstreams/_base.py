"""Protocols and errors shared by the gates."""

from typing import Protocol


class LeaseView(Protocol):
    """The lease of this instance."""

    def is_valid(self, for_ms: float = 0) -> bool:
        """Return whether the lease lasts for at least ``for_ms`` from now."""

    def remaining_ms(self) -> float:
        """Return the time until the lease ends."""


class SuspectView(Protocol):
    """What the control log knows of requests that break upstreams."""

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints refused everywhere."""

    @property
    def suspects(self) -> dict[str, str]:
        """Fingerprints that broke one upstream, with its name."""


class MemberShares(Protocol):
    """Weights of the members."""

    def share(self, member: str) -> float:
        """Return the weight of a member relative to the others."""
