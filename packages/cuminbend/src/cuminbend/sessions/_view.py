"""What an instance knows of the cluster."""

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
    """State that queries, gates and the caller side read; written by the client.

    Attributes:
        lease: Nothing may be sent to upstreams while it is not valid.
        upstreams: The registry by upstream.
        instances: The directory for callers.
        owned: Grants of this instance by upstream; they hold while the lease does.
        quarantined: Fingerprints refused everywhere.
        suspects: Fingerprints that broke one upstream, with its name.
        leader: Instance that answered the last poll.
        local_data_centre: Data centre of this instance.
        in_force_version: Highest version known to be in force on every instance.
        changed_at: Wall-clock time of the last change of each part, by its name.
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
        """Return the upstreams that can be asked for a shard of a snapshot.

        They have an owner and their data centre is in service. Upstreams that call
        themselves cold are listed only where none is ready. The list is shared;
        callers must not change it.
        """
        return self._holders.get((service, snapshot, shard), [])

    def snapshots(
        self, services: Iterable[str]
    ) -> dict[Snapshot, dict[str, frozenset[int]]]:
        """Return the shards of each service that have holders, newest snapshot first.

        A service without holders under a snapshot is left out there.
        """
        found: dict[Snapshot, dict[str, frozenset[int]]] = {}
        for service in services:
            for snapshot, shards in self._shards.get(service, {}).items():
                found.setdefault(snapshot, {})[service] = frozenset(shards)
        return dict(sorted(found.items(), reverse=True))

    def set(self, name: str, value: object) -> bool:
        """Set an attribute and note the time; return whether it changed."""
        if getattr(self, name) == value:
            return False
        setattr(self, name, value)
        self.changed_at[name] = self._clock.now()
        return True

    def is_in_service(self, data_centre: str) -> bool:
        """Return whether the configuration in force lets a data centre get work."""
        configuration = self.configuration
        return (
            configuration is not None
            and data_centre in configuration.data_centres_in_service
        )

    def reindex(self) -> None:
        """Rebuild the index behind :meth:`holders` and :meth:`snapshots`."""
        ready: dict[tuple[str, Snapshot, int], list[UpstreamRecord]] = {}
        cold: dict[tuple[str, Snapshot, int], list[UpstreamRecord]] = {}
        shards: dict[str, dict[Snapshot, set[int]]] = {}
        for record in self.upstreams.values():
            said = record.announcement
            if (
                record.owner is None
                or said.state is UpstreamState.LEAVING
                or not self.is_in_service(said.data_centre)
            ):
                continue
            index = ready if said.state is UpstreamState.READY else cold
            by_snapshot = shards.setdefault(said.service, {})
            for held in said.holdings:
                key = (said.service, held.snapshot, held.shard)
                index.setdefault(key, []).append(record)
                by_snapshot.setdefault(held.snapshot, set()).add(held.shard)
        self._holders = cold | ready
        self._shards = shards
