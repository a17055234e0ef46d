"""Random faults under load; CUMINBEND_SEEDS sets the number of seeds."""

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
from inprocess.tests._session import (
    DATA_CENTRES,
    SUBMIT_SERVICE,
    Callers,
    directory,
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
RESENDS = 3
CRASHING = b"crashing"
MAX_BROKEN_UPSTREAMS = 2
NEW_SNAPSHOT = Snapshot("v2", "p1")


def make_key(rng: random.Random) -> str:
    at_ms = int((EPOCH.timestamp() + anyio.current_time()) * 1000)
    number = rng.getrandbits(62)
    return str(uuid.UUID(int=(at_ms << 80) | (7 << 76) | (2 << 62) | number))


class Schedule:
    """One session of faults and load drawn from a seed.

    Attributes:
        events: What happened and when, for the report of a failure.
        problems: Violations.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = make_cluster(seed=seed, submits=True, crash_body=CRASHING)
        self.callers = Callers(self.cluster)
        self.events: list[str] = []
        self.problems: list[str] = []
        self._is_out = False
        self._has_rolled = False

    async def run(self) -> None:
        async with self.cluster.running():
            self.cluster.configure(operator_file())
            await self.cluster.wait_until_owned()
            async with anyio.create_task_group() as group:
                group.start_soon(self._search)
                group.start_soon(self._submit)
                group.start_soon(self._resend_crashing)
                await self._cause_faults(group)
        self.problems += self.callers.problems
        self._check_submits()
        self._check_upstreams()

    async def _search(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(SECONDS * SEARCHES_PER_S):
                usable = directory(self.cluster)
                body = b"query %d" % self.rng.randrange(40)
                group.start_soon(
                    self.callers.search, self.rng.choice(usable), f"q-{number}", body
                )
                await anyio.sleep(self.rng.expovariate(SEARCHES_PER_S))

    async def _submit(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(SECONDS * SUBMITS_PER_S):
                group.start_soon(self._send_and_resend, number, make_key(self.rng))
                await anyio.sleep(self.rng.expovariate(SUBMITS_PER_S))

    async def _send_and_resend(self, number: int, key: str) -> None:
        async with anyio.create_task_group() as group:
            for resend in range(RESENDS):
                instance = self.rng.choice([*self.cluster.instances.values()])
                call = f"s-{number}-{resend}"
                group.start_soon(self.callers.submit, instance, call, key)
                await anyio.sleep(self.rng.choice((0, 0.005, 0.3)))

    async def _resend_crashing(self) -> None:
        await anyio.sleep(self.rng.uniform(0, 3))
        async with anyio.create_task_group() as group:
            for number in range(CRASHING_ROUNDS):
                for instance in self.cluster.instances.values():
                    call = f"crashing-{number}-{instance.name}"
                    group.start_soon(self.callers.search, instance, call, CRASHING)
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
        lasts_s = self.rng.choice((0.3, 1.5, 4.0))
        match self.rng.randrange(9):
            case 0:
                await self._for(
                    lasts_s, "cut", instance, instance.cut_off, instance.reconnect
                )
            case 1:
                clock = instance.clock
                await self._for(lasts_s, "freeze", instance, clock.freeze, clock.thaw)
            case 2 | 3:
                await self._take_out(lasts_s)
            case 4:
                self._note("crash", upstream)
                upstream.crash()
            case 5:
                await self._for(
                    lasts_s,
                    "silence",
                    upstream,
                    lambda: setattr(upstream, "silent", True),
                    lambda: setattr(upstream, "silent", False),
                )
            case 6:
                self._note("lose", upstream)
                upstream.lost = True
            case 7:
                self._note("turn cold", upstream)
                upstream.turn_cold()
            case 8:
                await self._roll_index()

    def _note(self, event: str, target: FakeInstance | FakeUpstream | str) -> None:
        name = target
        if isinstance(target, FakeInstance):
            name = target.name
        elif isinstance(target, FakeUpstream):
            name = target.announcement.upstream
        self.events.append(f"{anyio.current_time():.3f} {event} {name}")

    async def _for(
        self,
        lasts_s: float,
        event: str,
        target: FakeInstance | FakeUpstream,
        begin: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        self._note(event, target)
        begin()
        await anyio.sleep(lasts_s)
        self._note(f"end {event}", target)
        end()

    async def _take_out(self, lasts_s: float) -> None:
        if self._is_out:
            return
        self._is_out = True
        out = self.rng.choice(DATA_CENTRES)
        self._note("out", out)
        self.cluster.configure(operator_file(out=out))
        out_ms = anyio.current_time() * 1000
        # Shorter absences would not show work later than a lease.
        await anyio.sleep(max(lasts_s, self.cluster.lease_ms / 1000 + 0.5))
        last_ms = max(
            item.last_run_ms
            for item in self.cluster.upstreams.by_name.values()
            if item.announcement.data_centre == out
        )
        if last_ms - out_ms > self.cluster.lease_ms:
            self.problems.append(f"{out} got work {last_ms - out_ms:.0f} ms after out")
        self._note("back", out)
        self.cluster.configure(operator_file())
        self._is_out = False

    async def _roll_index(self) -> None:
        if self._has_rolled:
            return
        self._has_rolled = True
        self._note("roll", "index")
        for upstream in self.cluster.upstreams.by_name.values():
            if upstream.announcement.service == SUBMIT_SERVICE:
                continue
            # The announcement comes before, with or after the change.
            order = [self._serve_new, self._announce_new]
            self.rng.shuffle(order)
            for change in order:
                change(upstream)
                await anyio.sleep(self.rng.choice((0, 0.1, 0.5)))

    def _serve_new(self, upstream: FakeUpstream) -> None:
        upstream.answers_snapshot = NEW_SNAPSHOT

    def _announce_new(self, upstream: FakeUpstream) -> None:
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
            f"{call} answered not_run and ran"
            for call, result in self.callers.submits.items()
            if result == "not_run"
            and any(item.runs_by_call[call] for item in upstreams)
        ]

    def _check_upstreams(self) -> None:
        upstreams = self.cluster.upstreams.by_name.values()
        broken = sum(item.body_breaks for item in upstreams)
        if broken > MAX_BROKEN_UPSTREAMS:
            self.problems.append(f"the crashing body broke {broken} upstreams")
        self.problems += [
            f"{item.announcement.upstream} had {item.max_connections} connections"
            for item in upstreams
            if item.max_connections > item.announcement.connection_limit
        ]


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_invariants_hold_under_random_faults(seed: int) -> None:
    """Guards against combinations of faults that no written scenario has."""
    schedule = Schedule(seed)
    run_virtual(schedule.run, seed=seed)
    assert schedule.problems == [], "\n".join(schedule.events)
