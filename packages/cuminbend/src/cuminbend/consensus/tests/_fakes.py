"""Disk, network and cluster in memory, with faults, on trio's mock clock."""

import itertools
import json
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import Any

import anyio
import trio
import trio.testing
from anyio.abc import TaskGroup

from cuminbend.consensus import (
    AppendRequest,
    LogStorage,
    Replica,
    ReplicaSettings,
    SnapshotRequest,
)
from cuminbend.exceptions import (
    CuminbendError,
    DiskError,
    NoQuorumError,
    NotLeaderError,
    PeerUnreachableError,
)

NAMES = ("a", "b", "c")


class Killed(Exception):
    """The process of a node ended within a write."""


class FakeClock:
    """Clock port over trio's mock clock."""

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(
            seconds=anyio.current_time()
        )

    def monotonic_ms(self) -> float:
        return anyio.current_time() * 1000

    async def sleep(self, delay: timedelta) -> None:
        await anyio.sleep(max(0.0, delay.total_seconds()))


class FakeDisk:
    """Files that outlive the process.

    Attributes:
        full: Whether appends and replacements fail; an append leaves part of its data.
        kill_at: Number of the write at which the process ends, or None.
        stuck: Whether truncations and deletions fail too.
        latency_ms: Longest duration of a write of files that start with ``slow_name``.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[str, bytes] = {}
        self.full = False
        self.stuck = False
        self.writes = 0
        self.kill_at: int | None = None
        self.latency_ms = 1.0
        self.slow_name = ""

    @property
    def size_bytes(self) -> int:
        return sum(map(len, self.files.values()))


class DiskHandle:
    """Disk port of one process; after its end no write takes effect."""

    def __init__(self, disk: FakeDisk) -> None:
        self.disk = disk
        self.dead = False

    def list_files(self) -> list[str]:
        return sorted(self.disk.files)

    def read(self, name: str) -> bytes:
        if name not in self.disk.files:
            raise FileNotFoundError(name)
        return self.disk.files[name]

    async def _write(
        self, name: str, old: bytes, new: bytes | None, torn: bool
    ) -> None:
        disk = self.disk
        latency_ms = disk.latency_ms if name.startswith(disk.slow_name) else 1.0
        await anyio.sleep(disk.rng.uniform(0.5, 1) * latency_ms / 1000)
        disk.writes += 1
        if self.dead or disk.writes == disk.kill_at:
            if not self.dead:
                self._leave(name, old, new, torn)
            self.dead = True
            raise Killed
        if disk.full and new is not None and len(new) > len(old):
            if torn:
                self._leave(name, old, new, torn)
            raise DiskError("the disk is full; free some space")
        if disk.stuck:
            raise DiskError("the disk fails; replace it")
        self._set(name, new)

    def _leave(self, name: str, old: bytes, new: bytes | None, torn: bool) -> None:
        """Leave what an interrupted write leaves."""
        if torn and new is not None:
            cut = self.disk.rng.randint(len(old), len(new))
            zeros = self.disk.rng.choice((0, len(new) - cut)) if cut == len(old) else 0
            self._set(name, new[:cut] + bytes(zeros))
        elif self.disk.rng.random() < 0.5:
            self._set(name, new)

    def _set(self, name: str, new: bytes | None) -> None:
        if new is None:
            self.disk.files.pop(name, None)
        else:
            self.disk.files[name] = new

    async def append(self, name: str, data: bytes) -> None:
        old = self.disk.files.get(name, b"")
        await self._write(name, old, old + data, torn=True)

    async def replace(self, name: str, data: bytes) -> None:
        await self._write(name, b"", data, torn=False)

    async def truncate(self, name: str, size_bytes: int) -> None:
        old = self.disk.files[name]
        await self._write(name, old, old[:size_bytes], torn=False)

    async def delete(self, name: str) -> None:
        await self._write(name, self.disk.files.get(name, b""), None, torn=False)


class FakeMachine:
    """State machine that keeps every command and returns its position."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, kind: str, data: bytes, at_ms: float) -> bytes:
        self.commands.append(data.decode())
        return str(len(self.commands) - 1).encode()

    def snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, data: bytes) -> None:
        self.commands = json.loads(data)


class Node:
    """One instance: a disk that lasts and a process that comes and goes."""

    def __init__(self, cluster: "Cluster", name: str) -> None:
        self.cluster, self.name = cluster, name
        self.disk = FakeDisk(cluster.rng)
        self.disk_numbers = itertools.count(1)
        self.scope: anyio.CancelScope | None = None
        self.error: BaseException | None = None

    @property
    def up(self) -> bool:
        return self.scope is not None

    def start(self) -> None:
        assert not self.up
        cluster = self.cluster
        self.handle = DiskHandle(self.disk)
        self.machine = FakeMachine()
        self.checked = 0
        self.error = None
        self.storage = LogStorage(
            disk=self.handle,
            instance=self.name,
            new_disk_id=lambda: f"{self.name}{next(self.disk_numbers)}",
        )
        self.replica = Replica(
            settings=ReplicaSettings(
                instance=self.name, initial_voters=NAMES, **cluster.settings
            ),
            storage=self.storage,
            transport=Link(cluster, self.name),
            clock=FakeClock(),
            random=random.Random(cluster.rng.random()),
            state_machine=self.machine,
        )
        self.scope = anyio.CancelScope()
        cluster.group.start_soon(self._run, self.scope, self.replica, self.handle)

    async def _run(
        self, scope: anyio.CancelScope, replica: Replica, handle: DiskHandle
    ) -> None:
        try:
            with scope:
                await replica.run()
        except* Killed:
            handle.dead = True
        except* DiskError as group:
            self.error = group.exceptions[0]
        if self.scope is scope:
            self.scope = None

    def kill(self) -> None:
        """End the process at once; a write under way is lost."""
        if self.scope is not None:
            self.handle.dead = True
            self.scope.cancel()
            self.scope = None

    def lose_disk(self) -> None:
        self.kill()
        self.disk = FakeDisk(self.cluster.rng)


class Link:
    """Transport port of one instance."""

    def __init__(self, cluster: "Cluster", source: str) -> None:
        self.cluster, self.source = cluster, source

    async def call(self, instance: str, request: Any, timeout_ms: float) -> Any:
        cluster = self.cluster
        if isinstance(request, AppendRequest):
            cluster.leaders[request.term].add(request.leader)
            assert len(cluster.leaders[request.term]) == 1, "two leaders in a term"
        send, receive = anyio.create_memory_object_stream[Any](10)
        copies = 2 if cluster.rng.random() < cluster.duplicate else 1
        for _ in range(copies):
            cluster.group.start_soon(self._deliver, instance, request, send.clone())
        with anyio.move_on_after(timeout_ms / 1000):
            return await receive.receive()
        raise PeerUnreachableError(instance, sent=True)

    async def _deliver(self, instance: str, request: Any, send: Any) -> None:
        cluster = self.cluster
        await anyio.sleep(cluster.delay_s())
        if isinstance(request, SnapshotRequest):
            await anyio.sleep(cluster.snapshot_delay_s)
        node = cluster.nodes[instance]
        if cluster.drops(self.source, instance) or not node.up:
            return
        handle = node.handle
        try:
            reply = await node.replica.handle(request)
        except Killed:
            if node.handle is handle:
                node.kill()
            return
        except CuminbendError:
            return
        await anyio.sleep(cluster.delay_s())
        if not handle.dead and not cluster.drops(instance, self.source):
            try:
                send.send_nowait(reply)
            except (anyio.BrokenResourceError, anyio.WouldBlock):
                pass


class Cluster:
    """Three nodes, the network between them, and what must always hold."""

    def __init__(self, group: TaskGroup, rng: random.Random, **settings: Any) -> None:
        self.group, self.rng, self.settings = group, rng, settings
        self.cuts: set[tuple[str, str]] = set()
        self.paused = False
        self.snapshot_delay_s = 0.0
        self.loss = self.duplicate = self.slow = 0.0
        self.leaders: dict[int, set[str]] = defaultdict(set)
        self.history: list[str] = []
        self.accepted: dict[str, int] = {}
        self.nodes = {name: Node(self, name) for name in NAMES}
        self._proposals = itertools.count(1)

    def delay_s(self) -> float:
        if self.rng.random() < self.slow:
            return self.rng.uniform(0.1, 2.0)
        return self.rng.uniform(0.0002, 0.002)

    def drops(self, source: str, target: str) -> bool:
        return (source, target) in self.cuts or self.rng.random() < self.loss

    def followers(self) -> list[Node]:
        leader = self.leader()
        return [node for node in self.nodes.values() if node is not leader]

    def isolate(self, name: str) -> None:
        for other in NAMES:
            self.cuts |= {(name, other), (other, name)}

    def start(self, *names: str) -> None:
        for name in names or NAMES:
            self.nodes[name].start()

    def leader(self) -> Node | None:
        """Return the node that leads and has confirmed it lately."""
        now_ms = anyio.current_time() * 1000
        for node in self.nodes.values():
            at_ms = node.replica.confirmed_at_ms() if node.up else None
            if at_ms is not None and now_ms - at_ms < 300:
                return node
        return None

    async def until(
        self, ready: Callable[[], Any], seconds: float = 20, step_s: float = 0.01
    ) -> Any:
        """Wait for a condition and return its value."""
        with anyio.move_on_after(seconds):
            while not (value := ready()):
                self.check()
                await anyio.sleep(step_s)
            return value
        raise AssertionError(f"not within {seconds} s: {self.describe()}")

    async def elected(self) -> Node:
        return await self.until(self.leader)

    async def propose(self, timeout_ms: float = 1000) -> bool:
        """Propose a new command at the leader; return whether it was accepted."""
        node = self.leader()
        if node is None:
            await anyio.sleep(0.05)
            return False
        command = f"command-{next(self._proposals)}"
        handle = node.handle
        try:
            result = await node.replica.propose(command.encode(), timeout_ms)
        except (NotLeaderError, NoQuorumError):
            await anyio.sleep(0.01)
            return False
        if handle.dead:
            return False
        self.accepted[command] = int(result)
        return True

    async def commit(self, count: int) -> None:
        """Have ``count`` commands accepted."""
        done = 0
        with anyio.fail_after(120):
            while done < count:
                done += await self.propose()

    def check(self) -> None:
        """Check that all state machines apply the same sequence, and no stale leader.

        A leader must not count as confirmed later than another one was elected.
        """
        up = [node for node in self.nodes.values() if node.up]
        for node in up:
            commands = node.machine.commands
            known = commands[: len(self.history)]
            start = min(node.checked, len(known))
            assert known[start:] == self.history[start : len(known)], "histories differ"
            self.history.extend(commands[len(self.history) :])
            node.checked = len(commands)
        leading = [n.replica for n in up if n.replica.confirmed_at_ms() is not None]
        for old, new in itertools.permutations(leading, 2):
            if old.term < new.term:
                assert old.confirmed_at_ms() <= new.led_since_ms, "stale confirmation"

    def check_all(self) -> None:
        """Check the whole history against what was accepted."""
        self.check()
        for node in self.nodes.values():
            if node.up:
                length = len(node.machine.commands)
                assert node.machine.commands == self.history[:length]
        for command, position in self.accepted.items():
            assert self.history[position : position + 1] == [command], "command lost"
        assert len(set(self.history)) == len(self.history), "command applied twice"

    async def settled(self, seconds: float = 60) -> None:
        """Wait until all nodes are voters with equal logs, then check them."""

        def ready() -> bool:
            nodes = self.nodes.values()
            if self.leader() is None or not all(node.up for node in nodes):
                return False
            voters = {node.replica.voters for node in nodes}
            current = sorted((node.name, node.storage.disk_id) for node in nodes)
            ends = {(n.replica.commit_index, n.storage.last_index) for n in nodes}
            return (
                len(voters) == 1
                and len(ends) == 1
                and [(v.instance, v.disk_id) for v in voters.pop()] == current
            )

        await self.until(ready, seconds)
        self.check_all()

    def describe(self) -> str:
        return json.dumps(
            {
                n.name: n.replica.dump() if n.up else str(n.error)
                for n in self.nodes.values()
            },
            indent=1,
        )


async def cluster_main(
    rng: random.Random,
    test: Callable[[Cluster], Awaitable[None]],
    settings: dict[str, Any],
) -> None:
    """Run ``test`` on a new cluster and check the cluster in the end."""
    async with anyio.create_task_group() as group:
        cluster = Cluster(group, rng, **settings)
        await test(cluster)
        cluster.check_all()
        group.cancel_scope.cancel()


def cluster_test(
    test: Callable[[Cluster], Awaitable[None]], seed: int = 1, **settings: Any
) -> None:
    """Run ``test`` with trio's scheduling and all random numbers fixed by ``seed``."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(cluster_main, random.Random(seed), test, settings, clock=clock)
