"""Choice of the upstream of a service that gets the next attempt."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from cuminbend.forwarding._back_off import LEAVING_RETENTION_MS
from cuminbend.forwarding._stated_limits import LimitShare

# Greatest ratio of an answer's latency to the median that is recorded; a greater ratio
# is recorded as this value.
_MAX_LATENCY_RATIO = 20.0
_MIN_MEDIAN_MS = 1.0
# Exponent bound of the exponential backoff.
_MAX_BACKOFF_DOUBLINGS = 10
# The decay of the averages is applied in steps of at least this time.
_MIN_DECAY_INTERVAL_MS = 50.0


# Added to the score of a replica that says that it leaves; above any other score.
_LEAVING_COST = 1e6


class ReplicaState(StrEnum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSettings:
    """Weights and time limits of the choice among replicas.

    Attributes:
        remote_cost_factor: Factor on the score of a replica in another data centre.
            Traffic between data centres has a price, so a replica in the own data
            centre is preferred until it is about this many times slower or busier.
        overdue_cost: Added to the score for each attempt of this instance that has
            been waiting longer than the hedge delay, because the replica is probably
            paused.
        failure_cost: Added to the score of a replica that failed every recent attempt.
        sample_weight: Weight of a new sample in the moving averages.
        decay_half_life_ms: Time in which an average without samples loses half its
            distance from the default, so that a replica that was slow is tried again.
        backoff_min_ms: Time without attempts after a first failed connection.
        backoff_max_ms: Longest time without attempts.
        max_overdue: Number of overdue attempts at which a replica gets no new ones.
        queue_max_age_ms: Age up to which a reported queue is used to compare replicas;
            queues of short requests change quickly.
        leaving_use_ms: Time for which a replica that says that it leaves may still get
            requests that no other one takes.
        load_max_age_ms: Age up to which a reported load is used to decide whether a
            replica is free.
    """

    remote_cost_factor: float = 3.5
    overdue_cost: float = 8.0
    failure_cost: float = 6.0
    sample_weight: float = 0.25
    decay_half_life_ms: float = 3000.0
    backoff_min_ms: float = 150.0
    backoff_max_ms: float = 2000.0
    max_overdue: int = 3
    queue_max_age_ms: float = 100.0
    load_max_age_ms: float = 200.0
    leaving_use_ms: float = 1000.0


class Replica:
    """State of an upstream as observed by this instance.

    Times are monotonic unless stated otherwise.

    Attributes:
        upstream: Identity of the upstream; most process starts get a new one.
        incarnation_ms: Wall-clock start time of the process with that identity.
        slots: Requests that the upstream runs at the same time.
        cold_until_ms: Time until which the upstream is cold and can serve little load.
        backoff_until_ms: Time until which the upstream gets no attempts.
        in_flight: Attempts of this instance that the upstream has not answered.
        overdue: Attempts in flight that have passed the hedge delay.
        running: Requests that the upstream last reported as running.
        queued: Requests that the upstream last reported as queued.
        reported_ms: Time of that report.
        slowness: Moving average of the latency divided by the median of the route.
        failure_rate: Moving average of failed attempts, 0 to 1.
        pause_until_ms: Time until which the upstream has asked for no requests.
        ended_until_ms: Time until which the process counts as ended, 0 if it lives.
        leaving_since_ms: Time at which the upstream was first heard to leave, None if
            it was not.
        limit_share: Part of this instance in the limit on requests that the upstream
            states, None if it states none.
    """

    __slots__ = (
        "_failures",
        "_updated_ms",
        "address",
        "backoff_until_ms",
        "cold_until_ms",
        "data_centre",
        "ended_until_ms",
        "failure_rate",
        "in_flight",
        "incarnation_ms",
        "leaving_since_ms",
        "limit_share",
        "overdue",
        "pause_until_ms",
        "queued",
        "reported_ms",
        "running",
        "service",
        "settings",
        "slots",
        "slowness",
        "state",
        "upstream",
    )

    def __init__(
        self,
        *,
        settings: PlacementSettings,
        upstream: str,
        incarnation_ms: int,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        slots: int,
    ) -> None:
        self.settings = settings
        self.upstream = upstream
        self.incarnation_ms = incarnation_ms
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = max(1, slots)
        self.state = ReplicaState.READY
        self.cold_until_ms = 0.0
        self.backoff_until_ms = 0.0
        self.in_flight = 0
        self.overdue = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.pause_until_ms = 0.0
        self.ended_until_ms = 0.0
        self.leaving_since_ms: float | None = None
        self.limit_share: LimitShare | None = None
        self.running = 0
        self.queued = 0
        self.reported_ms = float("-inf")
        self._failures = 0
        self._updated_ms = 0.0

    def record_answer(
        self, *, latency_ms: float, median_ms: float, now_ms: float
    ) -> None:
        """Record an attempt that was answered in full."""
        self._decay_averages(now_ms)
        weight = self.settings.sample_weight
        ratio = min(_MAX_LATENCY_RATIO, latency_ms / max(median_ms, _MIN_MEDIAN_MS))
        self.slowness += weight * (ratio - self.slowness)
        self.failure_rate -= weight * self.failure_rate
        self._failures = 0
        self.backoff_until_ms = 0.0

    def record_error(self, *, now_ms: float) -> None:
        """Record an attempt that the replica answered with an error."""
        self._decay_averages(now_ms)
        self.failure_rate += self.settings.sample_weight * (1 - self.failure_rate)

    def record_rejection(self, *, now_ms: float, pause_ms: float) -> None:
        """Record an attempt that the replica rejected.

        The rejection also counts as a failure, because a replica may reject a share of
        its requests for a long time while it is otherwise healthy.

        Args:
            now_ms: Monotonic time.
            pause_ms: Time for which the replica gets no attempts.
        """
        self.record_error(now_ms=now_ms)
        self.backoff_until_ms = max(self.backoff_until_ms, now_ms + pause_ms)

    def record_pause(self, *, now_ms: float, pause_ms: float) -> None:
        """Record that the replica asks for no requests for a time.

        Answers to earlier requests do not end the pause.
        """
        self.pause_until_ms = max(self.pause_until_ms, now_ms + pause_ms)

    def record_leaving(self, *, now_ms: float) -> bool:
        """Record that the replica says that it leaves; return whether that is new."""
        if self.is_leaving_at(now_ms):
            return False
        self.leaving_since_ms = now_ms
        return True

    def is_leaving_at(self, now_ms: float) -> bool:
        """Return whether the replica has said lately that it leaves."""
        return (
            self.leaving_since_ms is not None
            and now_ms - self.leaving_since_ms < LEAVING_RETENTION_MS
        )

    def takes_requests_at(self, now_ms: float) -> bool:
        """Return whether a request may be sent, by what the replica has stated.

        None may be sent to a process that has ended.
        """
        if self.state is not ReplicaState.READY or self.pause_until_ms > now_ms:
            return False
        if self.ended_until_ms > now_ms:
            return False
        if not self.is_leaving_at(now_ms):
            return True
        assert self.leaving_since_ms is not None
        return now_ms - self.leaving_since_ms < self.settings.leaving_use_ms

    def record_unanswered_attempt(self, *, now_ms: float) -> None:
        """Record a failed connection, or an attempt that was never answered."""
        self.record_error(now_ms=now_ms)
        settings = self.settings
        pause_ms = min(
            settings.backoff_max_ms, settings.backoff_min_ms * 2**self._failures
        )
        self._failures = min(self._failures + 1, _MAX_BACKOFF_DOUBLINGS)
        self.backoff_until_ms = max(self.backoff_until_ms, now_ms + pause_ms)

    def record_load(self, *, running: int, queued: int, now_ms: float) -> None:
        """Record the running and queued requests that the replica reports."""
        self.running = running
        self.queued = queued
        self.reported_ms = now_ms

    def is_free(self, now_ms: float) -> bool:
        """Return whether one more request is expected to start without queueing.

        Without a recent report, only the attempts of this instance are counted.
        """
        if self.in_flight >= self.slots:
            return False
        if now_ms - self.reported_ms > self.settings.load_max_age_ms:
            return True
        return not self.queued and self.running < self.slots

    def ready_in_ms(self, *, now_ms: float, service_ms: float) -> float:
        """Return the expected time until the replica can start one more request.

        Args:
            now_ms: Monotonic time.
            service_ms: Time that a request takes at a replica of average speed.
        """
        is_fresh = now_ms - self.reported_ms < self.settings.load_max_age_ms
        reported = self.running + self.queued if is_fresh else 0
        excess = max(self.in_flight, reported) + 1 - self.slots
        drain_ms = max(0, excess) / self.slots * service_ms * self.slowness
        limit_ms = self.limit_share.wait_ms(now_ms) if self.limit_share else 0.0
        return max(
            drain_ms,
            limit_ms,
            self.backoff_until_ms - now_ms,
            self.pause_until_ms - now_ms,
            self.cold_until_ms - now_ms,
        )

    def score(self, now_ms: float, data_centre: str) -> float:
        """Return the expected cost of one more attempt; lower is better.

        Args:
            now_ms: Monotonic time.
            data_centre: Data centre of this instance.
        """
        self._decay_averages(now_ms)
        settings = self.settings
        is_fresh = now_ms - self.reported_ms < settings.queue_max_age_ms
        queued = self.queued if is_fresh else 0
        queue_per_slot = (self.in_flight + queued) / self.slots
        cost = self.slowness * (1.0 + queue_per_slot)
        if self.data_centre != data_centre:
            cost *= settings.remote_cost_factor
        cost += settings.overdue_cost * self.overdue
        return cost + settings.failure_cost * self.failure_rate

    def _decay_averages(self, now_ms: float) -> None:
        age_ms = now_ms - self._updated_ms
        if age_ms < _MIN_DECAY_INTERVAL_MS:
            return
        self._updated_ms = now_ms
        remaining_share = 0.5 ** (age_ms / self.settings.decay_half_life_ms)
        self.slowness = 1.0 + (self.slowness - 1.0) * remaining_share
        self.failure_rate *= remaining_share


class ReplicaGroup:
    """The replicas of one service.

    Args:
        service: Name of the service.
        data_centre: Data centre of this instance.
    """

    def __init__(self, *, service: str, data_centre: str) -> None:
        self.service = service
        self.replicas: list[Replica] = []
        self._data_centre = data_centre
        self._rotation = 0

    def add(self, replica: Replica) -> None:
        """Add a replica, replacing one with the same identity."""
        self.remove(replica.upstream)
        self.replicas.append(replica)

    def remove(self, upstream: str) -> None:
        """Remove a replica if it is in the group."""
        self.replicas = [
            replica for replica in self.replicas if replica.upstream != upstream
        ]

    def choose_replica(
        self,
        *,
        now_ms: float,
        excluded: Collection[str] = (),
        evacuated: Collection[str] = (),
        only_free: bool = False,
    ) -> Replica | None:
        """Return the warm replica with the lowest score that accepts requests, or None.

        A replica that says that it leaves is chosen only if no other one accepts the
        request, and not if ``only_free`` is set.

        Args:
            now_ms: Monotonic time.
            excluded: Upstreams to which this request was sent before.
            evacuated: Data centres that get no requests.
            only_free: Whether to exclude replicas at which the request would queue.
        """
        best: Replica | None = None
        best_score = float("inf")
        count = len(self.replicas)
        self._rotation += 1
        # Each call starts at another replica, so that equal replicas get equal shares.
        for step in range(count):
            replica = self.replicas[(self._rotation + step) % count]
            if not self._accepts_requests(replica, now_ms, evacuated):
                continue
            if replica.cold_until_ms > now_ms or replica.upstream in excluded:
                continue
            if only_free and not replica.is_free(now_ms):
                continue
            score = replica.score(now_ms, self._data_centre)
            if replica.is_leaving_at(now_ms):
                if only_free:
                    continue
                score += _LEAVING_COST
            if score < best_score:
                best, best_score = replica, score
        return best

    def serving_data_centres(
        self, *, now_ms: float, evacuated: Collection[str] = ()
    ) -> frozenset[str]:
        """Return the data centres with a warm or cold replica that accepts requests.

        A replica whose stated limit allows a request only later is included: the
        expected wait decides whether that is too late.
        """
        return frozenset(
            replica.data_centre
            for replica in self.replicas
            if self._is_available(replica, now_ms, evacuated)
        )

    def has_warm_replica_by(
        self,
        *,
        now_ms: float,
        by_ms: float,
        excluded: Collection[str] = (),
        evacuated: Collection[str] = (),
    ) -> bool:
        """Return whether a warm replica accepts requests now or by time ``by_ms``."""
        return any(
            replica.upstream not in excluded
            and replica.cold_until_ms <= now_ms
            and self._accepts_requests(replica, by_ms, evacuated)
            for replica in self.replicas
        )

    def ready_in_ms(
        self,
        *,
        now_ms: float,
        service_ms: float,
        evacuated: Collection[str] = (),
    ) -> float | None:
        """Return the expected time until a replica can start one more request.

        Returns:
            The time from now, or None without a ready replica in a data centre that
            is not evacuated.
        """
        return min(
            (
                max(0.0, replica.ready_in_ms(now_ms=now_ms, service_ms=service_ms))
                for replica in self.replicas
                if replica.takes_requests_at(max(now_ms, replica.pause_until_ms))
                and replica.data_centre not in evacuated
                and (replica.limit_share is None or replica.limit_share.is_sender)
            ),
            default=None,
        )

    def choose_cold_replica(
        self,
        *,
        now_ms: float,
        excluded: Collection[str] = (),
        evacuated: Collection[str] = (),
    ) -> Replica | None:
        """Return a cold replica without attempts in flight, or None."""
        for replica in self.replicas:
            if (
                replica.cold_until_ms > now_ms
                and not replica.in_flight
                and replica.upstream not in excluded
                and self._accepts_requests(replica, now_ms, evacuated)
            ):
                return replica
        return None

    def _accepts_requests(
        self, replica: Replica, now_ms: float, evacuated: Collection[str]
    ) -> bool:
        return self._is_available(replica, now_ms, evacuated) and (
            replica.limit_share is None or not replica.limit_share.wait_ms(now_ms)
        )

    def _is_available(
        self, replica: Replica, now_ms: float, evacuated: Collection[str]
    ) -> bool:
        return (
            replica.takes_requests_at(now_ms)
            and replica.backoff_until_ms <= now_ms
            and replica.overdue < replica.settings.max_overdue
            and replica.data_centre not in evacuated
            and (replica.limit_share is None or replica.limit_share.is_sender)
        )
