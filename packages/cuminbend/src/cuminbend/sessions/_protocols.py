"""What the instance side and the leader side need from other parts."""

from typing import Protocol

from cuminbend.config import Configuration
from cuminbend.messages import Announcement, GateHandover, OwnedUpstream

__all__ = ["ConfigurationSource", "Leadership", "OwnershipListener"]


class OwnershipListener(Protocol):
    """Is told which upstreams this instance owns."""

    def add_upstream(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        """Take up an upstream."""

    async def release_upstream(self, upstream: str) -> GateHandover:
        """Start nothing new, finish the work in flight and return the state."""

    def update_announcement(self, announcement: Announcement) -> None:
        """Take note of what an owned upstream announced."""


class Leadership(Protocol):
    """Whether this voter leads the control quorum."""

    @property
    def is_leader(self) -> bool:
        """Whether it leads and has applied all entries of former terms."""

    @property
    def leader(self) -> str | None:
        """Instance believed to lead."""

    @property
    def term(self) -> int:
        """Current term."""

    @property
    def led_since_ms(self) -> float:
        """Monotonic time of the election won by this voter."""

    def confirmed_at_ms(self) -> float | None:
        """Return the start of the last heartbeat round that a majority confirmed."""


class ConfigurationSource(Protocol):
    """The committed state that polls distribute."""

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""

    @property
    def text(self) -> str:
        """The operator file in force."""

    @property
    def configuration(self) -> Configuration | None:
        """The parsed file, or None before the first."""

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints refused everywhere."""

    @property
    def suspects(self) -> dict[str, str]:
        """Fingerprints that broke one upstream, with its name."""
