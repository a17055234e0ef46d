"""Fan-outs over searchers with queues and pauses, in virtual time.

Used by the test and the benchmark of hedging. There is no retry budget in it, so that
the choice of the replica alone decides.
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
SLOTS = 2
OBJECTIVE_MS = 145.0
MIN_PARTS = 9
HEDGE_MS = 50.0
WORK_MS = 20.0
DURATION_MS = 20_000.0
PAUSE_MS = 150.0
PAUSE_EVERY_MS = 3600.0


class QueueingSearcher:
    """A searcher: a queue before a few slots, with pauses."""

    def __init__(self, world: "FanOutSimulation", offset_ms: float) -> None:
        self.world = world
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()
        self.running = 0
        self.offset_ms = offset_ms

    def submit(self, work_ms: float, done: Callable[[], None]) -> None:
        """Queue a request."""
        self.queue.append((work_ms, done))
        self._start()

    def _start(self) -> None:
        while self.queue and self.running < SLOTS:
            work_ms, done = self.queue.popleft()
            self.running += 1
            phase_ms = (self.world.now_ms + self.offset_ms) % PAUSE_EVERY_MS
            pause_ms = max(0.0, PAUSE_MS - phase_ms)
            self.world.after(pause_ms + work_ms, lambda done=done: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self.running -= 1
        self._start()
        done()


class FanOutSimulation:
    """Instances that ask the same servers, each with its own view of them.

    Args:
        only_free: Whether hedges go only to replicas that can start at once.
        admits_all: Whether requests are started that cannot be answered in time.
        utilization: Share of the slots that first attempts use; pauses take 4% more.
        seed: Decides arrivals, work and pauses.
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
        self.servers = [
            [
                QueueingSearcher(self, self.rng.uniform(0, PAUSE_EVERY_MS))
                for _ in range(2)
            ]
            for _ in range(SHARDS)
        ]
        self.views = [self._view() for _ in range(INSTANCES)]
        self.asked = self.in_time = 0

    def _view(self) -> list[ReplicaGroup]:
        groups = []
        for shard in range(SHARDS):
            group = ReplicaGroup(service=str(shard), data_centre="a")
            for number in range(2):
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

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        event = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self) -> float:
        """Return the share of fan-outs that are answered within their objective."""
        self._arrive()
        while self._events and self._events[0][0] < DURATION_MS:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.in_time / self.asked

    def _arrive(self) -> None:
        per_ms = self.utilization * 2 * SLOTS / WORK_MS
        self.after(self.rng.expovariate(per_ms), self._arrive)
        if self.now_ms < DURATION_MS - 1000:
            self.asked += 1
            view = self.rng.choice(self.views)
            if self.admits_all or self._admits(view):
                FanOut(self, view).start()

    def _admits(self, view: list[ReplicaGroup]) -> bool:
        ready_in_ms = [
            group.ready_in_ms(now_ms=self.now_ms, service_ms=WORK_MS) or 0.0
            for group in view
        ]
        chance = admission_probability(
            capacity_wait_ms=fan_out_capacity_wait_ms(
                ready_in_ms, min_coverage=MIN_PARTS / SHARDS
            ),
            service_ms=WORK_MS,
            time_left_ms=OBJECTIVE_MS,
            priority=0,
        )
        return self.rng.random() < chance


class FanOut:
    """One request to all shards, hedged once for each."""

    def __init__(self, world: FanOutSimulation, view: list[ReplicaGroup]) -> None:
        self.world = world
        self.view = view
        self.start_ms = world.now_ms
        self.parts: set[int] = set()

    def start(self) -> None:
        """Send the first attempts."""
        for shard in range(SHARDS):
            self._send(shard, excluded=(), only_free=False)
        self.world.after(HEDGE_MS, self._hedge)

    def _hedge(self) -> None:
        for shard in set(range(SHARDS)) - self.parts:
            tried = [r.upstream for r in self.view[shard].replicas if r.in_flight]
            self._send(shard, excluded=tried[:1], only_free=self.world.only_free)

    def _send(self, shard: int, *, excluded: list[str] | tuple[()], only_free: bool):
        world = self.world
        replica = self.view[shard].choose_replica(
            now_ms=world.now_ms, excluded=excluded, only_free=only_free
        )
        if replica is None:
            return
        server = world.servers[shard][int(replica.upstream)]
        sent_ms = world.now_ms
        replica.in_flight += 1

        def done() -> None:
            replica.in_flight -= 1
            replica.record_load(
                running=server.running, queued=len(server.queue), now_ms=world.now_ms
            )
            replica.record_answer(
                latency_ms=world.now_ms - sent_ms,
                median_ms=WORK_MS,
                now_ms=world.now_ms,
            )
            self._take(shard)

        server.submit(world.rng.expovariate(1 / WORK_MS), done)

    def _take(self, shard: int) -> None:
        before = len(self.parts)
        self.parts.add(shard)
        is_new = before < MIN_PARTS <= len(self.parts)
        if is_new and self.world.now_ms - self.start_ms <= OBJECTIVE_MS:
            self.world.in_time += 1
