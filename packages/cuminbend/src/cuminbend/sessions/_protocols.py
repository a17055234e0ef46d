"""Protocols that the session client and the session coordinator depend on."""

from typing import Protocol

from cuminbend.config import Configuration
from cuminbend.messages import Announcement, GateHandover, OwnedUpstream

__all__ = ["ConfigurationSource", "Leadership", "OwnershipListener"]


class OwnershipListener(Protocol):
    """Receives the upstreams that this instance starts or stops owning."""

    def add_upstream(self, grant: OwnedUpstream, announcement: Announcement) -> None:
        """Start to own an upstream."""

    async def release_upstream(self, upstream: str) -> GateHandover:
        """Stop new work for an upstream, finish work in flight and return its state."""

    def update_announcement(self, announcement: Announcement) -> None:
        """Process a newer announcement of an owned upstream."""


class Leadership(Protocol):
    """Whether this voter leads the control quorum."""

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads and has applied all entries of former terms."""

    @property
    def leader(self) -> str | None:
        """Instance that this voter believes to lead, or None if unknown."""

    @property
    def term(self) -> int:
        """Current term."""

    @property
    def led_since_ms(self) -> float:
        """Monotonic time at which this voter won the latest election."""

    def confirmed_at_ms(self) -> float | None:
        """Return when the last heartbeat round confirmed by a majority started.

        The time is monotonic; None if no round was confirmed.
        """


class ConfigurationSource(Protocol):
    """Committed state that is distributed to instances in replies to polls."""

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""

    @property
    def text(self) -> str:
        """Text of the configuration file in force."""

    @property
    def configuration(self) -> Configuration | None:
        """The parsed configuration, or None if none was committed yet."""

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints that are refused by every instance."""

    @property
    def suspects(self) -> dict[str, str]:
        """Name of the upstream that a fingerprint broke, by fingerprint."""
