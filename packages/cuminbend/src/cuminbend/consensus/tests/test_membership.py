"""Tests of the first start, and of disks that are lost or return."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import (
    NAMES,
    Cluster,
    run_cluster_test,
)


@pytest.mark.parametrize("seed", range(5))
def test_first_start_at_different_times(seed: int) -> None:
    """Guards against a first start that hangs, or happens twice with other voters.

    The instances start at random times.
    """

    async def test(cluster: Cluster) -> None:
        names = cluster.rng.sample(NAMES, 3)
        cluster.start(names[0])
        await anyio.sleep(cluster.rng.uniform(0, 3))
        cluster.start(names[1])
        await anyio.sleep(3)
        assert cluster.leader() is None, "started without all initial voters"
        cluster.start(names[2])
        await cluster.commit_commands(3)
        await cluster.wait_until_converged()
        assert all(
            instance.storage.disk_id == f"{instance.name}1"
            for instance in cluster.instances.values()
        )

    run_cluster_test(test, seed)


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("step", range(1, 25))
def test_kill_at_every_write(name: str, step: int) -> None:
    """Guards against a crash within a write that stops the cluster or loses entries.

    One instance is killed at each of its writes in turn, from the first start on.
    """

    async def test(cluster: Cluster) -> None:
        instance = cluster.instances[name]
        instance.disk.kill_at_write = step
        cluster.start()
        with anyio.move_on_after(5):
            await cluster.commit_commands(12)
        await cluster.wait_for(
            lambda: not instance.is_up or instance.disk.write_count < step
        )
        instance.disk.kill_at_write = None
        if not instance.is_up:
            instance.start()
        await cluster.commit_commands(3)
        await cluster.wait_until_converged()

    run_cluster_test(test, step, snapshot_after_entries=5)


def test_voter_lost_during_first_start() -> None:
    """Guards against a cluster that is started a second time.

    The voter that wrote the first entry loses its disk right after the first election.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_for_leader()
        cluster.instances["a"].lose_disk()
        cluster.instances["a"].start()
        await cluster.commit_commands(3)
        await cluster.wait_until_converged()
        assert cluster.instances["a"].storage.disk_id == "a2"

    run_cluster_test(test)


@pytest.mark.parametrize("seed", range(8))
def test_two_disks_lost_in_turn(seed: int) -> None:
    """Guards against loss of accepted entries when a second disk is lost.

    The second disk holds the entries that the first one had. It is lost after the
    instance of the first one has recovered.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(10)
        first = cluster.rng.choice(cluster.followers())
        first.lose_disk()
        await cluster.commit_commands(10)
        first.start()
        await cluster.wait_until_converged()
        second = await cluster.wait_for_leader()
        second.lose_disk()
        await cluster.commit_commands(10)
        second.start()
        await cluster.wait_until_converged()
        assert len(cluster.history) == 30

    run_cluster_test(test, seed)


def test_instance_with_lost_and_new_disk_counts_once() -> None:
    """Guards against an instance that counts twice while both its disks are voters.

    This is the case until the lost disk is removed from the voters.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(3)
        await cluster.wait_until_converged()
        lost, other = cluster.followers()
        lost.lose_disk()
        lost.start()
        leader = await cluster.wait_for_leader()
        await cluster.wait_for(lambda: len(leader.replica.voters) == 4, step_s=0.0001)
        cluster.isolate(other.name)
        await anyio.sleep(0.5)
        assert leader.replica.commit_index < leader.storage.voters_index
        cluster.cut_links.clear()
        await cluster.wait_until_converged()

    run_cluster_test(test)


def test_only_one_replica_starts_the_cluster() -> None:
    """Guards against two replicas that write different first entries.

    A disk is replaced while the replicas learn each other's disks.
    """

    async def test(cluster: Cluster) -> None:
        a, b, c = cluster.instances.values()
        cluster.cut_links.add(("a", "b"))
        c.disk.latency_ms, c.disk.slow_prefix = 5000, "consensus-vote"
        cluster.start()
        await anyio.sleep(1)
        b.lose_disk()
        b.start()
        cluster.cut_links.clear()
        await cluster.commit_commands(3)
        c.disk.latency_ms = 1
        await cluster.wait_until_converged()
        assert len({instance.storage.entries(1, 1) for instance in (a, b, c)}) == 1

    run_cluster_test(test)


def test_empty_disk_grants_no_vote() -> None:
    """Guards against a majority of a stale voter and one whose disk was lost.

    Such a majority lacks entries that were accepted with the lost disk.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_until_converged()
        stale, lost = cluster.followers()
        stale.kill()
        await cluster.commit_commands(10)
        (await cluster.wait_for_leader()).kill()
        lost.lose_disk()
        cluster.start(stale.name, lost.name)
        await anyio.sleep(10)
        assert cluster.leader() is None
        next(
            instance for instance in cluster.instances.values() if not instance.is_up
        ).start()
        await cluster.wait_until_converged()
        assert len(cluster.history) == 10

    run_cluster_test(test)


def test_stale_disk_returns() -> None:
    """Guards against a removed disk that votes or leads when it returns."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(5)
        instance = cluster.followers()[0]
        stale = instance.disk
        instance.lose_disk()
        instance.start()
        await cluster.commit_commands(5)
        await cluster.wait_until_converged()
        instance.kill()
        instance.disk = stale
        leader, term = await cluster.wait_for_leader(), cluster.leader().replica.term
        instance.start()
        await cluster.commit_commands(5)
        await cluster.wait_until_converged()
        assert leader is cluster.leader()
        assert leader.replica.term == term

    run_cluster_test(test)


def test_admission_survives_loss_of_the_leader() -> None:
    """Guards against an addition of a disk that no leader can complete.

    The leader stops when only its log has the entry that adds the new disk. A majority
    of four needs the vote of the new disk, which is not a voter in its own log.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(3)
        await cluster.wait_until_converged()
        instance = cluster.followers()[0]
        instance.lose_disk()
        instance.start()
        leader = await cluster.wait_for_leader()
        await cluster.wait_for(lambda: len(leader.replica.voters) == 4, step_s=0.0001)
        cluster.isolate(leader.name)
        leader.kill()
        await anyio.sleep(1)
        assert all(
            len(instance.replica.voters) == 3
            for instance in cluster.followers()
            if instance.is_up
        )
        cluster.cut_links.clear()
        leader.start()
        await cluster.commit_commands(3)
        await cluster.wait_until_converged()

    run_cluster_test(test)
