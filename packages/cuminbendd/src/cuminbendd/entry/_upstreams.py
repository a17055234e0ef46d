"""The upstreams that this instance knows, and the choice among them."""

import asyncio
import logging
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from cuminbend.directory import active_entry_count, choose_active_entries
from cuminbend.forwarding import (
    EndedProcesses,
    RecoveryEstimate,
    Replica,
    ReplicaGroup,
    ReplicaState,
    RoutingTable,
    ServicePolicy,
)
from cuminbend.ports import Clock
from cuminbend.registry import Registration, UpstreamState, UpstreamStatement

from cuminbendd.channel import parse_address
from cuminbendd.entry._cold import ColdRateLimits, is_designated_sender
from cuminbendd.entry._crash_watch import CrashWatch
from cuminbendd.entry._header_names import HeaderNames
from cuminbendd.entry._pool import ConnectionPool
from cuminbendd.entry._settings import EntrySettings
from cuminbendd.entry._statements import StatementSharing
from cuminbendd.http1 import ResponseMemory
from cuminbendd.metrics import Metrics

logger = logging.getLogger(__name__)

# An upstream cannot use more connections than it has slots and places in its queue.
_MAX_POOL_CONNECTIONS = 16
# Of the connections to an upstream, at most one in this many is reserved for standby
# instances.
_STANDBY_DIVISOR = 10
# The first connection to each upstream is opened after a delay of some steps, fewer
# than ``_WARM_UP_STEPS``, so that these connections do not all occupy slots of the
# searchers at the same moment.
_WARM_UP_STEP_S = 0.004
_WARM_UP_STEPS = 64


class UpstreamDirectory:
    """Holds the known upstreams with their connection pools, and chooses among them.

    Args:
        settings: Settings of the instance.
        recovery: Estimate for services without a known upstream.
        clock: Source of time.
        header_names: Header names.
        metrics: Counters of the instance, to which attempts are added.
        crash_watch: Is told how attempts end.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        recovery: RecoveryEstimate,
        clock: Clock,
        header_names: HeaderNames,
        metrics: Metrics,
        crash_watch: CrashWatch,
    ) -> None:
        self.clock = clock
        self.crash_watch = crash_watch
        self.metrics = metrics
        self.header_names = header_names
        self.evacuated: frozenset[str] = frozenset()
        self._settings = settings
        self._recovery = recovery
        self._response_names = header_names.response_header_names
        self._response_memory = ResponseMemory(
            limit_bytes=settings.response_memory_bytes
        )
        self._groups: dict[str, ReplicaGroup] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._registrations: dict[str, Registration] = {}
        self._unconfirmed_since_ms: dict[str, float] = {}
        self._ended = EndedProcesses()
        self._policies: dict[str, ServicePolicy] = {}
        self._entries: dict[str, str] = {settings.instance: settings.data_centre}
        self._active_entries = frozenset({settings.instance})
        self._cold_limits = ColdRateLimits(settings=settings)
        self._statements = StatementSharing(
            own_instance=settings.instance, settings=settings.stated_limits
        )
        self._last_news_ms = clock.monotonic_ms()
        self._warm_up_count = 0

    # Updates

    def record_news(self) -> None:
        """Record that the state is that of a control instance in touch with its group.

        Without news for ``cold_news_max_age_ms`` this instance sends nothing to cold
        upstreams, because another one may have become their designated sender.
        """
        self._last_news_ms = self.clock.monotonic_ms()

    def set_table(self, table: RoutingTable) -> None:
        """Apply the limits that a configuration declares for its services."""
        new_services = table.services.keys() - self._policies.keys()
        self._policies = dict(table.services)
        self._resize_pools()
        for pool in self._pools.values():
            if pool.replica.service in new_services:
                self._warm_up(pool)

    def set_entries(self, data_centres: Mapping[str, str]) -> None:
        """Set the entry instances that share the limits.

        Args:
            data_centres: Data centre of each entry instance, by instance name.
        """
        own_entry = {self._settings.instance: self._settings.data_centre}
        self._entries = {**data_centres, **own_entry}
        was_active = self.is_active
        limits = (policy.max_connections for policy in self._policies.values())
        self._active_entries = choose_active_entries(
            self._entries, active_entry_count(limits)
        )
        self._statements.set_senders(
            self._active_entries, now_ms=self.clock.monotonic_ms()
        )
        self._resize_pools()
        if self.is_active and not was_active:
            for pool in self._pools.values():
                self._warm_up(pool)

    @property
    def is_active(self) -> bool:
        """Whether this instance holds connections to upstreams."""
        return self._settings.instance in self._active_entries

    def set_evacuated(self, evacuated: frozenset[str]) -> None:
        """Set the data centres that get no work.

        Upstreams of a data centre that is no longer evacuated may have become cold
        meanwhile. They count as cold until their next heartbeat states their real
        state, and at most for the cold start time of their service.
        """
        returned_data_centres = self.evacuated - evacuated
        self.evacuated = evacuated
        now_ms = self.clock.monotonic_ms()
        for pool in self._pools.values():
            replica = pool.replica
            if replica.data_centre in returned_data_centres:
                policy = self._policies.get(replica.service)
                cold_ms = (policy.cold_start_s if policy else 0.0) * 1000
                replica.cold_until_ms = max(replica.cold_until_ms, now_ms + cold_ms)

    def merge_registrations(
        self, registrations: Iterable[Registration], *, is_full: bool
    ) -> None:
        """Merge registrations, and ignore those that are older than the known ones.

        Args:
            registrations: Changes, or all registrations that a control instance has.
            is_full: Whether these are all registrations. If so, an upstream that is
                missing is kept for ``unconfirmed_lifetime_ms``, because the control
                instance may have just started.
        """
        confirmed = set()
        for registration in registrations:
            confirmed.add(registration.upstream)
            self._merge_registration(registration)
        if is_full:
            now_ms = self.clock.monotonic_ms()
            for upstream in self._pools:
                if upstream not in confirmed:
                    self._unconfirmed_since_ms.setdefault(upstream, now_ms)

    def remove_unconfirmed_upstreams(self) -> None:
        """Remove upstreams that have been missing from full lists for too long."""
        limit_ms = self._settings.unconfirmed_lifetime_ms
        now_ms = self.clock.monotonic_ms()
        for upstream, since_ms in list(self._unconfirmed_since_ms.items()):
            if now_ms - since_ms > limit_ms:
                self._remove_upstream(upstream, cause="unconfirmed")
                self._registrations.pop(upstream, None)

    def _merge_registration(self, registration: Registration) -> None:
        known = self._registrations.get(registration.upstream)
        self._unconfirmed_since_ms.pop(registration.upstream, None)
        if known is not None and registration.order < known.order:
            return
        self._registrations[registration.upstream] = registration
        if registration.state is UpstreamState.GONE:
            self._remove_upstream(registration.upstream, cause="gone")
            return
        replica = self._find_or_create_replica(registration, known)
        if replica is None:
            return
        now_ms = self.clock.monotonic_ms()
        replica.slots = max(1, registration.slots)
        replica.cold_until_ms = (
            now_ms + registration.cold_left_ms if registration.cold_left_ms else 0.0
        )
        if registration.state is UpstreamState.SILENT:
            replica.failure_rate = 1.0
        is_leaving = registration.state is UpstreamState.LEAVING
        replica.state = ReplicaState.LEAVING if is_leaving else ReplicaState.READY
        if known is None or known.state is not registration.state:
            logger.info(
                "event=upstream_%s upstream=%s service=%s data_centre=%s "
                "incarnation_ms=%d sequence=%d cold_left_ms=%.0f",
                registration.state.name.lower(),
                registration.upstream,
                registration.service,
                registration.data_centre,
                registration.incarnation_ms,
                registration.sequence,
                registration.cold_left_ms,
            )

    def _find_or_create_replica(
        self, registration: Registration, known: Registration | None
    ) -> Replica | None:
        """Return the replica of a registration.

        It is a new replica if the upstream is a new process or has moved.

        Returns:
            None if the address of the registration is invalid.
        """
        pool = self._pools.get(registration.upstream)
        if (
            pool is not None
            and known is not None
            and known.address == registration.address
            and known.service == registration.service
            and known.incarnation_ms == registration.incarnation_ms
        ):
            return pool.replica
        try:
            address = parse_address(registration.address)
        except ValueError as error:
            logger.warning(
                "event=registration_ignored upstream=%s error='%s'",
                registration.upstream,
                error,
            )
            return None
        self._remove_upstream(registration.upstream, cause="replaced")
        replica = Replica(
            settings=self._settings.placement,
            upstream=registration.upstream,
            incarnation_ms=registration.incarnation_ms,
            service=registration.service,
            address=address,
            data_centre=registration.data_centre,
            slots=registration.slots,
        )
        group = self._groups.get(registration.service)
        if group is None:
            group = self._groups[registration.service] = ReplicaGroup(
                service=registration.service, data_centre=self._settings.data_centre
            )
        replica.ended_until_ms = self._ended.ended_until_ms(
            registration.upstream, registration.incarnation_ms
        )
        group.add(replica)
        pool = ConnectionPool(
            replica=replica,
            settings=self._settings,
            clock=self.clock,
            response_names=self._response_names,
            response_memory=self._response_memory,
            limit=self._connection_limit(registration.service),
            keeps_idle=self.is_active,
            on_ended=self.record_end,
        )
        self._pools[registration.upstream] = pool
        if not registration.cold_left_ms:
            self._warm_up(pool)
        return replica

    def _remove_upstream(self, upstream: str, *, cause: str) -> None:
        self._unconfirmed_since_ms.pop(upstream, None)
        self._cold_limits.remove(upstream)
        self._statements.remove(upstream)
        pool = self._pools.pop(upstream, None)
        if pool is None:
            return
        replica = pool.replica
        replica.state = ReplicaState.LEAVING
        self._groups[replica.service].remove(upstream)
        pool.close()
        logger.info(
            "event=upstream_removed upstream=%s service=%s cause=%s",
            upstream,
            replica.service,
            cause,
        )

    def remove_misdirected(self, replica: Replica) -> None:
        """Remove an upstream at whose address another upstream answers."""
        logger.warning(
            "event=upstream_misdirected upstream=%s service=%s",
            replica.upstream,
            replica.service,
        )
        self._remove_upstream(replica.upstream, cause="misdirected")

    # Ends of processes

    def record_end(self, replica: Replica) -> None:
        """Record that the process of an upstream has ended; see ``EndedProcesses``."""
        self._ended.record_observed(
            replica.upstream, replica.incarnation_ms, now_ms=self.clock.monotonic_ms()
        )
        self._apply_end(replica.upstream, source="observed")
        self._statements.record_end(replica, now_ms=self.clock.monotonic_ms())

    def merge_reported_ends(self, processes: Iterable[tuple[str, int]]) -> None:
        """Record the ends of processes that other instances have seen.

        Args:
            processes: Identity and start time of each process.
        """
        now_ms = self.clock.monotonic_ms()
        for upstream, incarnation_ms in processes:
            if self._ended.record_reported(upstream, incarnation_ms, now_ms=now_ms):
                self._apply_end(upstream, source="reported")

    def _apply_end(self, upstream: str, *, source: str) -> None:
        pool = self._pools.get(upstream)
        if pool is None:
            return
        replica = pool.replica
        replica.ended_until_ms = self._ended.ended_until_ms(
            upstream, replica.incarnation_ms
        )
        if replica.ended_until_ms:
            logger.info(
                "event=upstream_ended upstream=%s service=%s incarnation_ms=%d "
                "source=%s",
                upstream,
                replica.service,
                replica.incarnation_ms,
                source,
            )

    # What upstreams state of themselves

    def record_limit(self, replica: Replica, limit_per_s: float | None) -> bool:
        """Record the limit that an answer states; return whether it is a new one.

        Args:
            replica: The upstream; one that was removed meanwhile is ignored.
            limit_per_s: Requests a second from all instances, None without limit.
        """
        pool = self._pools.get(replica.upstream)
        if pool is None or pool.replica is not replica:
            return False
        return self._statements.record_limit(
            replica, limit_per_s, now_ms=self.clock.monotonic_ms()
        )

    def record_leaving(self, replica: Replica) -> bool:
        """Record that an answer says that the upstream leaves.

        Returns:
            Whether it is new.
        """
        return self._statements.record_leaving(
            replica, now_ms=self.clock.monotonic_ms()
        )

    def merge_statements(
        self, statements: Iterable[UpstreamStatement], *, is_full: bool
    ) -> None:
        """Apply what upstreams stated to other instances, and which have ended."""
        statements = tuple(statements)
        self.merge_reported_ends(
            (statement.upstream, statement.incarnation_ms)
            for statement in statements
            if statement.has_ended
        )
        self._statements.merge(
            statements,
            {upstream: pool.replica for upstream, pool in self._pools.items()},
            is_full=is_full,
            now_ms=self.clock.monotonic_ms(),
        )

    def report_statements(self) -> tuple[UpstreamStatement, ...]:
        """Return the statements that the control group has yet to pass on."""
        return self._statements.report()

    # Limits
    #
    # Standby instances are many. They keep no idle connections, because together these
    # would exceed what an upstream accepts, and it would reset those of active
    # instances as well.

    def _connection_limit(self, service: str) -> int:
        policy = self._policies.get(service)
        if policy is None:
            return 1
        if not self.is_active:
            return 1
        standby_count = len(self._entries) - len(self._active_entries)
        standby_connections = min(
            standby_count, policy.max_connections // _STANDBY_DIVISOR
        )
        share = (policy.max_connections - standby_connections) // max(
            1, len(self._active_entries)
        )
        return max(1, min(share, _MAX_POOL_CONNECTIONS))

    def _resize_pools(self) -> None:
        for pool in self._pools.values():
            pool.resize(
                self._connection_limit(pool.replica.service), keeps_idle=self.is_active
            )

    def _warm_up(self, pool: ConnectionPool) -> None:
        """Open a first connection to an upstream that is likely to be used soon.

        Upstreams of other data centres are left out: they get few requests, their
        connections cost the most, and the connections would be closed before they are
        used.
        """
        if pool.replica.service not in self._policies or not self.is_active:
            return
        if pool.replica.data_centre != self._settings.data_centre:
            return
        self._warm_up_count += 1
        delay_s = (self._warm_up_count % _WARM_UP_STEPS) * _WARM_UP_STEP_S
        asyncio.get_running_loop().call_later(delay_s, pool.warm_up)

    def close_silent_connections(self) -> None:
        """Close connections whose attempt has expired without a response."""
        now_ms = self.clock.monotonic_ms()
        for pool in tuple(self._pools.values()):
            if pool.replica.in_flight:
                pool.close_silent_connections(now_ms)

    # Choice

    def serving_data_centres(self, service: str) -> frozenset[str]:
        """Return the data centres with an upstream of the service that takes work."""
        group = self._groups.get(service)
        if group is None:
            return frozenset()
        now_ms = self.clock.monotonic_ms()
        return group.serving_data_centres(now_ms=now_ms, evacuated=self.evacuated)

    def has_warm_replica_by(
        self, service: str, *, by_ms: float, excluded: Collection[str]
    ) -> bool:
        """Return whether a warm upstream takes requests now or by time ``by_ms``.

        Args:
            service: Service of the upstreams.
            by_ms: Monotonic time in ms.
            excluded: Upstreams to leave out.
        """
        group = self._groups.get(service)
        return group is not None and group.has_warm_replica_by(
            now_ms=self.clock.monotonic_ms(),
            by_ms=by_ms,
            excluded=excluded,
            evacuated=self.evacuated,
        )

    def ready_in_ms(self, services: Iterable[str], *, service_ms: float) -> list[float]:
        """Return for each service the expected time in ms until it can start a request.

        For a service without a known upstream it follows from the
        :class:`~cuminbend.forwarding.RecoveryEstimate`.

        Args:
            services: Names of the services.
            service_ms: Expected duration of one request.
        """
        now_ms = self.clock.monotonic_ms()
        no_upstream_ms = self._recovery.no_upstream_wait_ms()
        times_ms = []
        for service in services:
            group = self._groups.get(service)
            ready_ms = None
            if group is not None:
                ready_ms = group.ready_in_ms(
                    now_ms=now_ms, service_ms=service_ms, evacuated=self.evacuated
                )
            times_ms.append(no_upstream_ms if ready_ms is None else ready_ms)
        return times_ms

    def ready_service_counts(self) -> dict[str, int]:
        """Return the number of services with a ready upstream, by data centre."""
        service_counts: Counter[str] = Counter()
        for group in self._groups.values():
            service_counts.update(
                {
                    replica.data_centre
                    for replica in group.replicas
                    if replica.state is ReplicaState.READY
                    and replica.data_centre not in self.evacuated
                }
            )
        return dict(service_counts)

    def choose_pool(
        self,
        service: str,
        *,
        excluded: Collection[str] = (),
        only_free: bool = False,
    ) -> ConnectionPool | None:
        """Return the connection pool of the upstream that should get an attempt.

        Args:
            service: Service of the upstreams to choose from.
            excluded: Upstreams to which the request was sent before.
            only_free: Whether to leave out upstreams at which the request would wait.

        Returns:
            None if no upstream takes requests from this instance now.
        """
        group = self._groups.get(service)
        if group is None:
            return None
        now_ms = self.clock.monotonic_ms()
        full_upstreams: list[str] = []
        while True:
            replica = group.choose_replica(
                now_ms=now_ms,
                excluded=(*excluded, *full_upstreams) if full_upstreams else excluded,
                evacuated=self.evacuated,
                only_free=only_free,
            )
            if replica is None:
                break
            pool = self._pools[replica.upstream]
            if pool.has_capacity:
                self._count_request(replica, now_ms)
                return pool
            full_upstreams.append(replica.upstream)
        if only_free:
            return None
        return self._choose_cold_pool(group, now_ms, excluded)

    def _choose_cold_pool(
        self, group: ReplicaGroup, now_ms: float, excluded: Collection[str]
    ) -> ConnectionPool | None:
        if now_ms - self._last_news_ms > self._settings.cold_news_max_age_ms:
            return None
        replica = group.choose_cold_replica(
            now_ms=now_ms, excluded=excluded, evacuated=self.evacuated
        )
        if replica is None or not self.is_designated_for(replica.upstream):
            return None
        policy = self._policies.get(replica.service)
        declared_per_s = policy.cold_rate_per_s if policy else 0.0
        if not self._cold_limits.try_acquire(
            replica.upstream, declared_per_s, now_ms=now_ms
        ):
            return None
        self._count_request(replica, now_ms)
        return self._pools[replica.upstream]

    def _count_request(self, replica: Replica, now_ms: float) -> None:
        if replica.limit_share is not None:
            replica.limit_share.spend(now_ms)

    def is_designated_for(self, name: str) -> bool:
        """Return whether this active instance alone does a task with this name."""
        return is_designated_sender(
            name,
            own_instance=self._settings.instance,
            candidates=self._active_entries,
        )

    @property
    def sharing_instance_count(self) -> int:
        """Number of entry instances that share the retry budgets.

        For an active instance these are the active ones, because standby instances send
        few requests.
        """
        return len(self._active_entries) if self.is_active else len(self._entries)

    def gauges(self) -> dict[str, float]:
        """Return gauges of upstreams, connections and attempts, by metric name."""
        now_ms = self.clock.monotonic_ms()
        counts: Counter[str] = Counter()
        for pool in self._pools.values():
            replica = pool.replica
            state = str(replica.state)
            if replica.ended_until_ms > now_ms:
                state = "ended"
            elif replica.cold_until_ms > now_ms:
                state = "cold"
            elif replica.backoff_until_ms > now_ms:
                state = "backing_off"
            elif replica.limit_share is not None:
                state = "limited"
            data_centre = replica.data_centre
            counts[f"upstreams{{state={state},data_centre={data_centre}}}"] += 1
            counts["upstream_connections"] += pool.size
            counts["attempts_in_flight"] += replica.in_flight
            counts["attempts_overdue"] += replica.overdue
        counts["response_bytes_held"] = self._response_memory.held_bytes
        counts["entries"] = len(self._entries)
        counts["entries_active"] = len(self._active_entries)
        return dict(counts)

    def dump(self) -> dict[str, object]:
        """Return the state for operators."""
        return {
            "entries": sorted(self._entries),
            "active": sorted(self._active_entries),
            "evacuated": sorted(self.evacuated),
            "upstreams": {
                upstream: {
                    "service": pool.replica.service,
                    "state": str(pool.replica.state),
                    "connections": pool.size,
                    "in_flight": pool.replica.in_flight,
                    "overdue": pool.replica.overdue,
                    "limit_per_s": (
                        pool.replica.limit_share.limit_per_s
                        if pool.replica.limit_share
                        else None
                    ),
                    "slowness": round(pool.replica.slowness, 2),
                    "failure_rate": round(pool.replica.failure_rate, 2),
                }
                for upstream, pool in self._pools.items()
            },
        }

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.abort()
