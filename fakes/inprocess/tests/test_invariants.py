"""Checks invariants under load and random faults.

CUMINBEND_SEEDS sets the number of seeds, CUMINBEND_FIRST_SEED the first seed.
"""

import os
import random
import uuid
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest
from cuminbend.messages import Holding, Snapshot

from inprocess import FakeInstance, FakeUpstream, run_virtual
from inprocess._clock import EPOCH
from inprocess.tests._scenario import (
    DATA_CENTRES,
    SUBMIT_SERVICE,
    Callers,
    instances_in_directory,
    make_cluster,
    operator_file,
)

SEEDS = int(os.environ.get("CUMINBEND_SEEDS", "20"))
FIRST_SEED = int(os.environ.get("CUMINBEND_FIRST_SEED", "0"))
SECONDS = 8
FAULTS_PER_S = 1.2
SEARCHES_PER_S = 8
SUBMITS_PER_S = 3
CRASHING_ROUNDS = 12
COPIES_PER_SUBMIT = 3
CRASHING_BODY = b"crashing"
MAX_BROKEN_UPSTREAMS = 2
NEW_SNAPSHOT = Snapshot("v2", "p1")


def make_uuid7_key(rng: random.Random) -> str:
    time_ms = int((EPOCH.timestamp() + anyio.current_time()) * 1000)
    random_bits = rng.getrandbits(62)
    return str(uuid.UUID(int=(time_ms << 80) | (7 << 76) | (2 << 62) | random_bits))


class RandomFaultSchedule:
    """A run with faults and load drawn from a seed.

    Attributes:
        events: Faults with their times; a failure prints them.
        problems: Violations of invariants.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = make_cluster(
            seed=seed, with_submits=True, crash_body=CRASHING_BODY
        )
        self.callers = Callers(self.cluster)
        self.events: list[str] = []
        self.problems: list[str] = []
        self._is_evacuating = False
        self._has_rolled_index = False

    async def run(self) -> None:
        async with self.cluster.running():
            self.cluster.configure(operator_file())
            await self.cluster.wait_until_owned()
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_searches)
                group.start_soon(self._send_submits)
                group.start_soon(self._send_crashing_searches)
                await self._cause_faults(group)
        self.problems += self.callers.problems
        self._check_submits()
        self._check_upstreams()

    async def _send_searches(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(SECONDS * SEARCHES_PER_S):
                instances = instances_in_directory(self.cluster)
                body = b"query %d" % self.rng.randrange(40)
                group.start_soon(
                    self.callers.search, self.rng.choice(instances), f"q-{number}", body
                )
                await anyio.sleep(self.rng.expovariate(SEARCHES_PER_S))

    async def _send_submits(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(SECONDS * SUBMITS_PER_S):
                group.start_soon(self._send_copies, number, make_uuid7_key(self.rng))
                await anyio.sleep(self.rng.expovariate(SUBMITS_PER_S))

    async def _send_copies(self, number: int, key: str) -> None:
        async with anyio.create_task_group() as group:
            for copy_number in range(COPIES_PER_SUBMIT):
                instance = self.rng.choice([*self.cluster.instances.values()])
                caller_request_id = f"s-{number}-{copy_number}"
                group.start_soon(self.callers.submit, instance, caller_request_id, key)
                await anyio.sleep(self.rng.choice((0, 0.005, 0.3)))

    async def _send_crashing_searches(self) -> None:
        await anyio.sleep(self.rng.uniform(0, 3))
        async with anyio.create_task_group() as group:
            for number in range(CRASHING_ROUNDS):
                for instance in self.cluster.instances.values():
                    caller_request_id = f"crashing-{number}-{instance.name}"
                    group.start_soon(
                        self.callers.search, instance, caller_request_id, CRASHING_BODY
                    )
                    if number % 2:
                        await anyio.sleep(self.rng.uniform(0, 0.05))
                await anyio.sleep(0.05)

    async def _cause_faults(self, group: anyio.abc.TaskGroup) -> None:
        end_s = anyio.current_time() + SECONDS
        while anyio.current_time() < end_s:
            await anyio.sleep(self.rng.expovariate(FAULTS_PER_S))
            group.start_soon(self._cause_fault)

    async def _cause_fault(self) -> None:
        instance = self.rng.choice([*self.cluster.instances.values()])
        upstream = self.rng.choice([*self.cluster.upstreams.by_name.values()])
        duration_s = self.rng.choice((0.3, 1.5, 4.0))
        match self.rng.randrange(9):
            case 0:
                await self._apply_fault_for(
                    duration_s, "cut", instance, instance.cut_off, instance.reconnect
                )
            case 1:
                clock = instance.clock
                await self._apply_fault_for(
                    duration_s, "freeze", instance, clock.pause, clock.resume
                )
            case 2 | 3:
                await self._evacuate_data_centre(duration_s)
            case 4:
                self._record_event("crash", upstream)
                upstream.crash()
            case 5:
                await self._apply_fault_for(
                    duration_s,
                    "silence",
                    upstream,
                    lambda: setattr(upstream, "silent", True),
                    lambda: setattr(upstream, "silent", False),
                )
            case 6:
                self._record_event("lose", upstream)
                upstream.lost = True
            case 7:
                self._record_event("turn cold", upstream)
                upstream.turn_cold()
            case 8:
                await self._roll_index()

    def _record_event(
        self, event: str, target: FakeInstance | FakeUpstream | str
    ) -> None:
        name = target
        if isinstance(target, FakeInstance):
            name = target.name
        elif isinstance(target, FakeUpstream):
            name = target.announcement.upstream
        self.events.append(f"{anyio.current_time():.3f} {event} {name}")

    async def _apply_fault_for(
        self,
        duration_s: float,
        event: str,
        target: FakeInstance | FakeUpstream,
        begin_fault: Callable[[], None],
        end_fault: Callable[[], None],
    ) -> None:
        self._record_event(event, target)
        begin_fault()
        await anyio.sleep(duration_s)
        self._record_event(f"end {event}", target)
        end_fault()

    async def _evacuate_data_centre(self, duration_s: float) -> None:
        if self._is_evacuating:
            return
        self._is_evacuating = True
        evacuated = self.rng.choice(DATA_CENTRES)
        self._record_event("out", evacuated)
        self.cluster.configure(operator_file(evacuated=evacuated))
        evacuated_ms = anyio.current_time() * 1000
        # A shorter evacuation would not show work that arrives more than a lease later.
        await anyio.sleep(max(duration_s, self.cluster.lease_ms / 1000 + 0.5))
        last_run_ms = max(
            item.last_run_ms
            for item in self.cluster.upstreams.by_name.values()
            if item.announcement.data_centre == evacuated
        )
        if last_run_ms - evacuated_ms > self.cluster.lease_ms:
            self.problems.append(
                f"{evacuated} got work {last_run_ms - evacuated_ms:.0f} ms "
                "after it was taken out of service"
            )
        self._record_event("back", evacuated)
        self.cluster.configure(operator_file())
        self._is_evacuating = False

    async def _roll_index(self) -> None:
        if self._has_rolled_index:
            return
        self._has_rolled_index = True
        self._record_event("roll", "index")
        for upstream in self.cluster.upstreams.by_name.values():
            if upstream.announcement.service == SUBMIT_SERVICE:
                continue
            # The announcement comes before, with or after the first new answers.
            order = [self._serve_new_snapshot, self._announce_new_snapshot]
            self.rng.shuffle(order)
            for change in order:
                change(upstream)
                await anyio.sleep(self.rng.choice((0, 0.1, 0.5)))

    def _serve_new_snapshot(self, upstream: FakeUpstream) -> None:
        upstream.forced_snapshot = NEW_SNAPSHOT

    def _announce_new_snapshot(self, upstream: FakeUpstream) -> None:
        upstream.announcement = replace(
            upstream.announcement, holdings=(Holding(NEW_SNAPSHOT, 0),)
        )

    def _check_submits(self) -> None:
        upstreams = self.cluster.upstreams.by_name.values()
        runs_by_key: dict[str, int] = {}
        for upstream in upstreams:
            for key, runs in upstream.runs_by_key.items():
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        self.problems += [
            f"key {key} ran {runs} times"
            for key, runs in runs_by_key.items()
            if runs > 1
        ]
        self.problems += [
            f"{caller_request_id} answered not_run and ran"
            for caller_request_id, result in self.callers.submit_results.items()
            if result == "not_run"
            and any(item.runs_by_call[caller_request_id] for item in upstreams)
        ]

    def _check_upstreams(self) -> None:
        upstreams = self.cluster.upstreams.by_name.values()
        crash_body_breaks = sum(item.crash_body_breaks for item in upstreams)
        if crash_body_breaks > MAX_BROKEN_UPSTREAMS:
            self.problems.append(
                f"the crashing body broke {crash_body_breaks} upstreams"
            )
        self.problems += [
            f"{item.announcement.upstream} had {item.max_connections} connections"
            for item in upstreams
            if item.max_connections > item.announcement.connection_limit
        ]


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_invariants_hold_under_random_faults(seed: int) -> None:
    """Guards against failures that only combinations of faults cause."""
    fault_schedule = RandomFaultSchedule(seed)
    run_virtual(fault_schedule.run, seed=seed)
    assert fault_schedule.problems == [], "\n".join(fault_schedule.events)
