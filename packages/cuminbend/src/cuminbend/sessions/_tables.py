"""In-memory state of the leader: sessions, registry entries and grants."""

from dataclasses import dataclass, field

import anyio

from cuminbend.messages import (
    Announcement,
    GateHandover,
    Holding,
    InstanceInfo,
    UpstreamState,
)

__all__ = ["FormerConnections", "Grant", "Session", "UpstreamEntry"]


@dataclass(eq=False, slots=True)
class Grant:
    """Ownership of an upstream by a session.

    Attributes:
        connection_cap: Connections that the owner may have open, or None while the
            grant is known only from a report of its owner.
        revoking: Whether the owner is asked to release the upstream.
        moving: Whether the grant is revoked only to balance ownership.
    """

    upstream: str
    grant_id: int
    session: "Session"
    connection_cap: int | None
    handover: GateHandover | None = None
    revoking: bool = False
    moving: bool = False


@dataclass(frozen=True, slots=True)
class FormerConnections:
    """Connections that a former owner may have left open.

    Attributes:
        connections: Number of connections, or None to use the cap that follows from the
            announcement.
        until_ms: Monotonic time after which the connections count as closed.
    """

    connections: int | None
    until_ms: float


@dataclass(eq=False, slots=True)
class Session:
    """One process of an instance.

    Attributes:
        created_registry_version: Registry version that no earlier process can have
            received.
        confirmed: Whether polls show that the process received
            ``created_registry_version`` or a later version.
        expires_at_ms: Latest end of any lease that a reply can have given.
        acknowledged_version: Configuration version that the process has in force.
        lease_ends_ms: Latest end of the leases given with replies, by the configuration
            version in the reply.
        superseded: Whether another process of the same instance has polled since.
        poll_number: Number of the latest poll; earlier polls are answered early.
        sent_signature: Value that identifies the directory, revocations, quarantine and
            suspects in the last reply.
        sent_registry_version: Registry version last sent, or None if none was.
        missing_replies_since_ms: Monotonic time since which polls show that the process
            did not receive ``sent_registry_version``, or None.
        wake_event: Set to wake held polls.
    """

    info: InstanceInfo
    boot_id: str
    created_registry_version: int
    confirmed: bool = False
    expires_at_ms: float = 0.0
    acknowledged_version: int = 0
    lease_ends_ms: dict[int, float] = field(default_factory=dict)
    superseded: bool = False
    grants: dict[str, Grant] = field(default_factory=dict)
    poll_number: int = 0
    sent_signature: object = None
    sent_registry_version: int | None = None
    missing_replies_since_ms: float | None = None
    wake_event: anyio.Event = field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wake held polls."""
        self.wake_event.set()
        self.wake_event = anyio.Event()


@dataclass(eq=False, slots=True)
class UpstreamEntry:
    """State of one upstream.

    Attributes:
        announcement: Latest announcement, or None if only a grant was reported.
        expires_at_ms: Monotonic time at which the announcement expires.
        is_expired: Whether the announcement has expired.
        highest_grant_id: Highest known grant id; reports of lower ids are superseded.
        former_connections: Connections that former owners may have left open.
        handover: State that the last owner released, or None.
        released_at_ms: Monotonic time of the last release.
    """

    upstream: str
    announcement: Announcement | None = None
    expires_at_ms: float = 0.0
    is_expired: bool = False
    highest_grant_id: int = 0
    grant: Grant | None = None
    former_connections: list[FormerConnections] = field(default_factory=list)
    handover: GateHandover | None = None
    released_at_ms: float = float("-inf")

    @property
    def active_announcement(self) -> Announcement | None:
        """The announcement, or None if the upstream must not get work."""
        announcement = self.announcement
        if (
            announcement is None
            or self.is_expired
            or announcement.state is UpstreamState.LEAVING
        ):
            return None
        return announcement

    def shards(self) -> set[tuple[str, Holding]]:
        """Return the held shards, as keys that are equal for replicas of a shard."""
        announcement = self.announcement
        return (
            {(announcement.service, held) for held in announcement.holdings}
            if announcement
            else set()
        )
