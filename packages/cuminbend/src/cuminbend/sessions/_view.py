"""An instance's view of the cluster."""

from collections.abc import Iterable
from datetime import datetime

from cuminbend.config import Configuration
from cuminbend.messages import (
    InstanceInfo,
    OwnedUpstream,
    Snapshot,
    UpstreamRecord,
    UpstreamState,
)
from cuminbend.ports import Clock
from cuminbend.sessions._lease import Lease

__all__ = ["SessionView"]


class SessionView:
    """Cluster state read by queries, gates and caller endpoints; the client writes it.

    Attributes:
        lease: No work may be sent to upstreams while the lease is not valid.
        upstreams: Registry records by upstream.
        instances: Directory for callers.
        owned: Grants of this instance by upstream; valid while the lease is valid.
        quarantined: Fingerprints that are refused by every instance.
        suspects: Name of the upstream that a fingerprint broke, by fingerprint.
        leader: Leader named in the last reply to a poll, or None before the first.
        local_data_centre: Data centre of this instance.
        in_force_version: Highest version known to be in force on every instance.
        changed_at: Wall-clock time of the last change of each attribute, by its name.
    """

    def __init__(
        self, *, lease: Lease, clock: Clock, local_data_centre: str = ""
    ) -> None:
        self._clock = clock
        self.lease = lease
        self.local_data_centre = local_data_centre
        self.in_force_version = 0
        self.configuration: Configuration | None = None
        self.configuration_version = 0
        self.configuration_text = ""
        self.upstreams: dict[str, UpstreamRecord] = {}
        self.instances: tuple[InstanceInfo, ...] = ()
        self.owned: dict[str, OwnedUpstream] = {}
        self.quarantined: frozenset[str] = frozenset()
        self.suspects: dict[str, str] = {}
        self.leader: str | None = None
        self.changed_at: dict[str, datetime] = {}
        self._holders: dict[tuple[str, Snapshot, int], list[UpstreamRecord]] = {}
        self._shards: dict[str, dict[Snapshot, set[int]]] = {}

    def holders(
        self, service: str, snapshot: Snapshot, shard: int
    ) -> list[UpstreamRecord]:
        """Return the upstreams that can answer for a shard of a snapshot.

        They have an owner and their data centre is in service. Upstreams that announce
        themselves as cold are returned only if none is ready. The list is empty if no
        upstream qualifies. It is shared; callers must not modify it.
        """
        return self._holders.get((service, snapshot, shard), [])

    def snapshots(
        self, services: Iterable[str]
    ) -> dict[Snapshot, dict[str, frozenset[int]]]:
        """Return the shards of each service that have holders, newest snapshot first.

        A snapshot contains only the services that have holders of it.
        """
        found: dict[Snapshot, dict[str, frozenset[int]]] = {}
        for service in services:
            for snapshot, shards in self._shards.get(service, {}).items():
                found.setdefault(snapshot, {})[service] = frozenset(shards)
        return dict(sorted(found.items(), reverse=True))

    def set_attribute(self, name: str, value: object) -> bool:
        """Set an attribute and record the time; return whether the value changed."""
        if getattr(self, name) == value:
            return False
        setattr(self, name, value)
        self.changed_at[name] = self._clock.now()
        return True

    def is_in_service(self, data_centre: str) -> bool:
        """Return whether a data centre is in service; False without a configuration."""
        configuration = self.configuration
        return (
            configuration is not None
            and data_centre in configuration.data_centres_in_service
        )

    def reindex(self) -> None:
        """Rebuild the index that :meth:`holders` and :meth:`snapshots` read."""
        ready: dict[tuple[str, Snapshot, int], list[UpstreamRecord]] = {}
        cold: dict[tuple[str, Snapshot, int], list[UpstreamRecord]] = {}
        shards: dict[str, dict[Snapshot, set[int]]] = {}
        for record in self.upstreams.values():
            announcement = record.announcement
            if (
                record.owner is None
                or announcement.state is UpstreamState.LEAVING
                or not self.is_in_service(announcement.data_centre)
            ):
                continue
            index = ready if announcement.state is UpstreamState.READY else cold
            by_snapshot = shards.setdefault(announcement.service, {})
            for holding in announcement.holdings:
                key = (announcement.service, holding.snapshot, holding.shard)
                index.setdefault(key, []).append(record)
                by_snapshot.setdefault(holding.snapshot, set()).add(holding.shard)
        self._holders = cold | ready
        self._shards = shards
