"""Simulation of fan-outs over searchers with queues and pauses, in virtual time.

The tests of hedging and admission and the benchmark of hedging use it. The simulation
has no retry budget, so the results depend only on the choice of the replica.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

from cuminbend.forwarding import (
    PlacementSettings,
    Replica,
    ReplicaGroup,
    admission_probability,
    fan_out_capacity_wait_ms,
)

SHARDS = 10
INSTANCES = 4
REPLICAS_PER_SHARD = 2
SLOTS = 2
OBJECTIVE_MS = 145.0
MIN_PARTS = 9
HEDGE_DELAY_MS = 50.0
MEAN_WORK_MS = 20.0
DURATION_MS = 20_000.0
# No fan-out starts in the last second, so that those in flight can end.
FINAL_DRAIN_MS = 1000
PAUSE_MS = 150.0
PAUSE_INTERVAL_MS = 3600.0


class QueueingSearcher:
    """A searcher with a queue, a fixed number of slots and periodic pauses."""

    def __init__(self, simulation: "FanOutSimulation", pause_offset_ms: float) -> None:
        self.simulation = simulation
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.running = 0
        self.pause_offset_ms = pause_offset_ms

    def enqueue_request(self, work_ms: float, on_done: Callable[[], None]) -> None:
        """Queue a request and call ``on_done`` when it has been processed."""
        self.queue.append((work_ms, on_done))
        self._start_requests()

    def _start_requests(self) -> None:
        while self.queue and self.running < SLOTS:
            work_ms, on_done = self.queue.popleft()
            self.running += 1
            since_pause_start_ms = (
                self.simulation.now_ms + self.pause_offset_ms
            ) % PAUSE_INTERVAL_MS
            pause_ms = max(0.0, PAUSE_MS - since_pause_start_ms)
            self.simulation.schedule_action(
                pause_ms + work_ms,
                lambda on_done=on_done: self._finish_request(on_done),
            )

    def _finish_request(self, on_done: Callable[[], None]) -> None:
        self.running -= 1
        self._start_requests()
        on_done()


class FanOutSimulation:
    """Instances that share searchers, each with its own replica statistics.

    Args:
        only_free: Whether hedges go only to replicas that can start at once.
        admits_all: Whether requests are started that cannot be answered in time.
        utilization: Share of the slots that first attempts use; pauses take 4% more.
        seed: Seed of the arrivals, service times and pause offsets.
    """

    def __init__(
        self,
        *,
        utilization: float,
        seed: int,
        only_free: bool = True,
        admits_all: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.only_free = only_free
        self.admits_all = admits_all
        self.utilization = utilization
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.searchers = [
            [
                QueueingSearcher(self, self.rng.uniform(0, PAUSE_INTERVAL_MS))
                for _ in range(REPLICAS_PER_SHARD)
            ]
            for _ in range(SHARDS)
        ]
        self.shard_groups_by_instance = [
            self._make_shard_groups() for _ in range(INSTANCES)
        ]
        self.fan_out_count = self.in_time_count = 0

    def _make_shard_groups(self) -> list[ReplicaGroup]:
        groups = []
        for shard in range(SHARDS):
            group = ReplicaGroup(service=str(shard), data_centre="a")
            for number in range(REPLICAS_PER_SHARD):
                group.add(
                    Replica(
                        settings=PlacementSettings(),
                        upstream=str(number),
                        incarnation_ms=1,
                        service=str(shard),
                        address=("h", 1),
                        data_centre="a",
                        slots=SLOTS,
                    )
                )
            groups.append(group)
        return groups

    def schedule_action(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``delay_ms`` of virtual time."""
        event = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self) -> float:
        """Return the share of fan-outs that are answered within their objective."""
        self._handle_arrival()
        while self._events and self._events[0][0] < DURATION_MS:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.in_time_count / self.fan_out_count

    def _handle_arrival(self) -> None:
        arrivals_per_ms = self.utilization * REPLICAS_PER_SHARD * SLOTS / MEAN_WORK_MS
        self.schedule_action(
            self.rng.expovariate(arrivals_per_ms), self._handle_arrival
        )
        if self.now_ms < DURATION_MS - FINAL_DRAIN_MS:
            self.fan_out_count += 1
            shard_groups = self.rng.choice(self.shard_groups_by_instance)
            if self.admits_all or self._admits_fan_out(shard_groups):
                FanOut(self, shard_groups).start()

    def _admits_fan_out(self, shard_groups: list[ReplicaGroup]) -> bool:
        ready_in_ms = [
            group.ready_in_ms(now_ms=self.now_ms, service_ms=MEAN_WORK_MS) or 0.0
            for group in shard_groups
        ]
        probability = admission_probability(
            capacity_wait_ms=fan_out_capacity_wait_ms(
                ready_in_ms, min_coverage=MIN_PARTS / SHARDS
            ),
            service_ms=MEAN_WORK_MS,
            time_left_ms=OBJECTIVE_MS,
            priority=0,
        )
        return self.rng.random() < probability


class FanOut:
    """One request to all shards, with at most one hedge for each shard."""

    def __init__(
        self, simulation: FanOutSimulation, shard_groups: list[ReplicaGroup]
    ) -> None:
        self.simulation = simulation
        self.shard_groups = shard_groups
        self.start_ms = simulation.now_ms
        self.answered_shards: set[int] = set()

    def start(self) -> None:
        """Send the first attempts and schedule the hedges."""
        for shard in range(SHARDS):
            self._send_attempt(shard, excluded=(), only_free=False)
        self.simulation.schedule_action(HEDGE_DELAY_MS, self._send_hedges)

    def _send_hedges(self) -> None:
        for shard in set(range(SHARDS)) - self.answered_shards:
            tried = [
                r.upstream for r in self.shard_groups[shard].replicas if r.in_flight
            ]
            self._send_attempt(
                shard, excluded=tried[:1], only_free=self.simulation.only_free
            )

    def _send_attempt(
        self, shard: int, *, excluded: list[str] | tuple[()], only_free: bool
    ):
        simulation = self.simulation
        replica = self.shard_groups[shard].choose_replica(
            now_ms=simulation.now_ms, excluded=excluded, only_free=only_free
        )
        if replica is None:
            return
        searcher = simulation.searchers[shard][int(replica.upstream)]
        sent_ms = simulation.now_ms
        replica.in_flight += 1

        def on_done() -> None:
            replica.in_flight -= 1
            replica.record_load(
                running=searcher.running,
                queued=len(searcher.queue),
                now_ms=simulation.now_ms,
            )
            replica.record_answer(
                latency_ms=simulation.now_ms - sent_ms,
                median_ms=MEAN_WORK_MS,
                now_ms=simulation.now_ms,
            )
            self._record_answered_shard(shard)

        searcher.enqueue_request(simulation.rng.expovariate(1 / MEAN_WORK_MS), on_done)

    def _record_answered_shard(self, shard: int) -> None:
        answered_before = len(self.answered_shards)
        self.answered_shards.add(shard)
        reaches_min_parts = answered_before < MIN_PARTS <= len(self.answered_shards)
        if reaches_min_parts and self.simulation.now_ms - self.start_ms <= OBJECTIVE_MS:
            self.simulation.in_time_count += 1
