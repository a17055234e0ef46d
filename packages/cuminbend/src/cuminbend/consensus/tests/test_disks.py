"""Tests of disks that are full, slow, hanging or damaged."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import (
    Cluster,
    cluster_test,
)
from cuminbend.exceptions import CorruptDataError


def test_full_disk_of_a_follower() -> None:
    """Guards against a follower that acknowledges what it could not write."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.settled()
        term, follower = cluster.leader().replica.term, cluster.followers()[0]
        follower.disk.full = True
        await cluster.commit(5)
        await anyio.sleep(10)
        assert cluster.leader().replica.term == term
        assert follower.storage.last_index < cluster.leader().storage.last_index
        for node in cluster.followers():
            node.disk.full = True
        assert not await cluster.propose()
        assert cluster.leader().replica.term == term
        for node in cluster.followers():
            node.disk.full = False
        await cluster.settled()

    cluster_test(test)


def test_full_disk_of_the_leader() -> None:
    """Guards against a leader that blocks the log because only its disk is full."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        old.disk.full = True
        assert not await cluster.propose()
        await cluster.until(lambda: cluster.leader() not in (None, old), 3)
        await cluster.commit(5)
        old.disk.full = False
        await cluster.settled()

    cluster_test(test)


def test_full_disks_everywhere() -> None:
    """Guards against leases that end because nothing can be written."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        for node in cluster.nodes.values():
            node.disk.full = True
        assert not await cluster.propose()
        for _ in range(1000):
            await anyio.sleep(0.01)
            assert cluster.leader() is not None
            assert not await cluster.propose()
        for node in cluster.nodes.values():
            node.disk.full = False
        await cluster.commit(5)
        await cluster.settled()

    cluster_test(test)


def test_leader_with_a_hanging_disk() -> None:
    """Guards against a leader that keeps its heartbeats up but writes no more."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        old.disk.latency_ms = 3_600_000
        assert not await cluster.propose()
        await cluster.until(lambda: cluster.leader() not in (None, old), 5)
        await cluster.commit(5)
        old.kill()
        old.disk.latency_ms = 1
        old.start()
        await cluster.settled()

    cluster_test(test)


@pytest.mark.parametrize("duration_ms", [400, 3000])
def test_slow_snapshots(duration_ms: float) -> None:
    """Guards against commits and heartbeats that wait until snapshots are written."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.elected()
        term = leader.replica.term
        await cluster.commit(19 - leader.replica.commit_index)
        for node in cluster.nodes.values():
            node.disk.latency_ms = duration_ms
            node.disk.slow_name = "consensus-snapshot"
        start = anyio.current_time()
        await cluster.commit(10)
        assert anyio.current_time() - start < 0.3, "commits wait for snapshots"
        for _ in range(500):
            await anyio.sleep(0.01)
            assert cluster.leader() is leader
        for node in cluster.nodes.values():
            node.disk.latency_ms = 1
        await cluster.settled()
        assert leader.replica.term == term

    cluster_test(test, snapshot_after_entries=20)


def test_slow_log_of_the_followers() -> None:
    """Guards against heartbeats that wait until entries are written."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.elected()
        term = leader.replica.term
        for node in cluster.followers():
            node.disk.latency_ms, node.disk.slow_name = 4000, "consensus-log"
        assert await cluster.propose(10_000)
        assert cluster.leader() is leader
        assert leader.replica.term == term

    cluster_test(test)


def test_slow_votes() -> None:
    """Guards against elections that fail because votes take long to write."""

    async def test(cluster: Cluster) -> None:
        for node in cluster.nodes.values():
            node.disk.latency_ms, node.disk.slow_name = 550, "consensus-vote"
        cluster.start()
        await cluster.commit(3)
        await cluster.settled()

    cluster_test(test)


def test_slow_transfer_of_a_snapshot() -> None:
    """Guards against a leader that loses its majority while it sends a snapshot."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.settled()
        behind, other = cluster.followers()
        behind.kill()
        await cluster.commit(50)
        other.kill()
        cluster.snapshot_delay_s = 3
        behind.start()
        await cluster.until(lambda: len(behind.machine.commands) == 50)
        await cluster.commit(3)
        other.start()
        await cluster.settled()

    cluster_test(test, snapshot_after_entries=10)


def test_restart_after_many_entries() -> None:
    """Guards against a log that grows without bound or is replayed from the start."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.elected()

        async def propose() -> None:
            await cluster.commit(250)

        async with anyio.create_task_group() as group:
            for _ in range(8):
                group.start_soon(propose)
        await cluster.settled()
        assert len(cluster.history) == 2000
        for node in cluster.nodes.values():
            node.kill()
            log = [n for n in node.disk.files if n.startswith("consensus-log")]
            assert sum(len(node.disk.files[name]) for name in log) < 30_000
        cluster.start()
        await cluster.commit(1)
        await cluster.settled()
        assert len(cluster.history) == 2001
        cluster.nodes["c"].lose_disk()
        cluster.nodes["c"].start()
        await cluster.settled()

    cluster_test(test, snapshot_after_entries=200)


def test_damaged_voter_refuses_to_start() -> None:
    """Guards against a voter that forgets entries it has acknowledged."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        await cluster.settled()
        node = cluster.followers()[0]
        node.kill()
        name = next(n for n in node.disk.files if n.startswith("consensus-log"))
        content = bytearray(node.disk.files[name])
        content[-1] ^= 1
        node.disk.files[name] = bytes(content)
        node.start()
        await cluster.until(lambda: node.error)
        assert isinstance(node.error, CorruptDataError)
        await cluster.commit(5)
        node.lose_disk()
        node.start()
        await cluster.settled()

    cluster_test(test)
