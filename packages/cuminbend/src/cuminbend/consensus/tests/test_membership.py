"""Tests of the first start, and of disks that are lost or put back."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import (
    NAMES,
    Cluster,
    cluster_test,
)


@pytest.mark.parametrize("seed", range(5))
def test_first_start_at_different_times(seed: int) -> None:
    """Guards against a first start that hangs, or happens twice with other voters."""

    async def test(cluster: Cluster) -> None:
        names = cluster.rng.sample(NAMES, 3)
        cluster.start(names[0])
        await anyio.sleep(cluster.rng.uniform(0, 3))
        cluster.start(names[1])
        await anyio.sleep(3)
        assert cluster.leader() is None, "started without all initial voters"
        cluster.start(names[2])
        await cluster.commit(3)
        await cluster.settled()
        assert all(n.storage.disk_id == f"{n.name}1" for n in cluster.nodes.values())

    cluster_test(test, seed)


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("step", range(1, 25))
def test_kill_at_every_write(name: str, step: int) -> None:
    """Guards against a crash within any write, from the first start on."""

    async def test(cluster: Cluster) -> None:
        node = cluster.nodes[name]
        node.disk.kill_at = step
        cluster.start()
        with anyio.move_on_after(5):
            await cluster.commit(12)
        await cluster.until(lambda: not node.up or node.disk.writes < step)
        node.disk.kill_at = None
        if not node.up:
            node.start()
        await cluster.commit(3)
        await cluster.settled()

    cluster_test(test, step, snapshot_after_entries=5)


def test_voter_lost_during_first_start() -> None:
    """Guards against a second first start beside one that two voters know of."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.elected()
        cluster.nodes["a"].lose_disk()
        cluster.nodes["a"].start()
        await cluster.commit(3)
        await cluster.settled()
        assert cluster.nodes["a"].storage.disk_id == "a2"

    cluster_test(test)


@pytest.mark.parametrize("seed", range(8))
def test_lost_disk_then_second_voter(seed: int) -> None:
    """Guards against loss of accepted entries when a disk is lost, then a voter."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(10)
        first = cluster.rng.choice(cluster.followers())
        first.lose_disk()
        await cluster.commit(10)
        first.start()
        await cluster.settled()
        second = await cluster.elected()
        second.lose_disk()
        await cluster.commit(10)
        second.start()
        await cluster.settled()
        assert len(cluster.history) == 30

    cluster_test(test, seed)


def test_one_instance_counts_once_per_disk() -> None:
    """Guards against an instance that counts twice while both its disks are voters."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(3)
        await cluster.settled()
        lost, other = cluster.followers()
        lost.lose_disk()
        lost.start()
        leader = await cluster.elected()
        await cluster.until(lambda: len(leader.replica.voters) == 4, step_s=0.0001)
        cluster.isolate(other.name)
        await anyio.sleep(0.5)
        assert leader.replica.commit_index < leader.storage.voters_index
        cluster.cuts.clear()
        await cluster.settled()

    cluster_test(test)


def test_two_replicas_do_not_start_the_cluster() -> None:
    """Guards against first entries that differ because a disk was replaced between."""

    async def test(cluster: Cluster) -> None:
        a, b, c = cluster.nodes.values()
        cluster.cuts.add(("a", "b"))
        c.disk.latency_ms, c.disk.slow_name = 5000, "consensus-vote"
        cluster.start()
        await anyio.sleep(1)
        b.lose_disk()
        b.start()
        cluster.cuts.clear()
        await cluster.commit(3)
        c.disk.latency_ms = 1
        await cluster.settled()
        assert len({node.storage.entries(1, 1) for node in (a, b, c)}) == 1

    cluster_test(test)


def test_lost_disk_gives_no_vote() -> None:
    """Guards against a majority of one voter with the log and one that lost it."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.settled()
        stale, lost = cluster.followers()
        stale.kill()
        await cluster.commit(10)
        (await cluster.elected()).kill()
        lost.lose_disk()
        cluster.start(stale.name, lost.name)
        await anyio.sleep(10)
        assert cluster.leader() is None
        next(n for n in cluster.nodes.values() if not n.up).start()
        await cluster.settled()
        assert len(cluster.history) == 10

    cluster_test(test)


def test_stale_disk_put_back() -> None:
    """Guards against a removed disk that votes or leads when it returns."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        node = cluster.followers()[0]
        stale = node.disk
        node.lose_disk()
        node.start()
        await cluster.commit(5)
        await cluster.settled()
        node.kill()
        node.disk = stale
        leader, term = await cluster.elected(), cluster.leader().replica.term
        node.start()
        await cluster.commit(5)
        await cluster.settled()
        assert leader is cluster.leader()
        assert leader.replica.term == term

    cluster_test(test)


def test_admission_survives_loss_of_the_leader() -> None:
    """Guards against an addition that nobody can complete.

    The leader stops when it alone has the entry that adds the new disk. Only the new
    disk's vote makes up the majority of four, and its own log does not name it.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(3)
        await cluster.settled()
        node = cluster.followers()[0]
        node.lose_disk()
        node.start()
        leader = await cluster.elected()
        await cluster.until(lambda: len(leader.replica.voters) == 4, step_s=0.0001)
        cluster.isolate(leader.name)
        leader.kill()
        await anyio.sleep(1)
        assert all(len(n.replica.voters) == 3 for n in cluster.followers() if n.up)
        cluster.cuts.clear()
        leader.start()
        await cluster.commit(3)
        await cluster.settled()

    cluster_test(test)
