"""Soft state of the leader: sessions, registry entries and grants."""

from dataclasses import dataclass, field

import anyio

from cuminbend.messages import (
    Announcement,
    GateHandover,
    Holding,
    InstanceInfo,
    UpstreamState,
)

__all__ = ["Entry", "Former", "Grant", "Session"]


@dataclass(eq=False, slots=True)
class Grant:
    """A grant as the leader knows it.

    Attributes:
        connection_cap: None while the leader knows it only from a report of its owner.
        revoking: Whether the owner is asked to release it.
        moving: Whether it is revoked only to even out ownership.
    """

    upstream: str
    grant_id: int
    session: "Session"
    connection_cap: int | None
    handover: GateHandover | None = None
    revoking: bool = False
    moving: bool = False


@dataclass(frozen=True, slots=True)
class Former:
    """Connections that a former owner may have left open.

    Attributes:
        connections: None for the cap that follows from the announcement.
    """

    connections: int | None
    until_ms: float


@dataclass(eq=False, slots=True)
class Session:
    """One process of one instance.

    Attributes:
        created_version: Registry version that no earlier process can have got.
        confirmed: Whether its polls show that it got that version or a later one.
        expires_at_ms: Latest end of any lease that a reply can have given it.
        leases: Latest end of the leases given with replies, by the configuration
            version that they named.
        superseded: Whether another process of the same instance polled since.
        poll_number: Number of the latest poll; older ones return early.
        sent_version: Registry version last sent to it.
        deaf_since_ms: Since when its polls show that it did not get that version.
    """

    info: InstanceInfo
    boot_id: str
    created_version: int
    confirmed: bool = False
    expires_at_ms: float = 0.0
    acknowledged: int = 0
    leases: dict[int, float] = field(default_factory=dict)
    superseded: bool = False
    grants: dict[str, Grant] = field(default_factory=dict)
    poll_number: int = 0
    told: object = None
    sent_version: int | None = None
    deaf_since_ms: float | None = None
    event: anyio.Event = field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wake the polls that wait."""
        self.event.set()
        self.event = anyio.Event()


@dataclass(eq=False, slots=True)
class Entry:
    """One upstream.

    Attributes:
        announcement: Latest one, or None while only a grant was reported.
        expires_at_ms: When the announcement runs out.
        highest_grant: Highest id known of it; lower reports are superseded.
        formers: Connections that former owners may have left open.
        handover: State left by the last owner.
    """

    upstream: str
    announcement: Announcement | None = None
    expires_at_ms: float = 0.0
    gone: bool = False
    highest_grant: int = 0
    grant: Grant | None = None
    formers: list[Former] = field(default_factory=list)
    handover: GateHandover | None = None

    @property
    def live(self) -> Announcement | None:
        """The announcement if the upstream may get work, else None."""
        said = self.announcement
        if said is None or self.gone or said.state is UpstreamState.LEAVING:
            return None
        return said

    def shards(self) -> set[tuple[str, Holding]]:
        """Return what it holds, as keys that its replicas share."""
        said = self.announcement
        return {(said.service, held) for held in said.holdings} if said else set()
