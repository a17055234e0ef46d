"""Tests of planned handovers of the leadership."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import (
    Cluster,
    run_cluster_test,
)


def test_transfer_leadership() -> None:
    """Guards against a planned stop that leaves no leader for an election timeout."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.wait_for_leader()
        start_s = anyio.current_time()
        assert await old.replica.transfer_leadership()
        assert await cluster.wait_for_leader() is not old
        assert anyio.current_time() - start_s < 0.3
        assert not await old.replica.transfer_leadership()
        await cluster.wait_until_converged()

    run_cluster_test(test)


@pytest.mark.parametrize("seed", range(10))
def test_transfer_leadership_under_load(seed: int) -> None:
    """Guards against a successor that lacks entries written during the transfer.

    The successor loses its election, the stopping voter is elected again, and its stop
    leaves the cluster without a leader.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        async with anyio.create_task_group() as group:

            async def load() -> None:
                while True:
                    group.start_soon(cluster.propose)
                    await anyio.sleep(cluster.rng.uniform(0.001, 0.006))

            group.start_soon(load)
            for _ in range(5):
                old = await cluster.wait_for_leader()
                # A successor acknowledges all entries while the leader writes the
                # next ones, and is busy with its vote while they are replicated.
                for instance in cluster.instances.values():
                    instance.disk.latency_ms = 20.0
                    instance.disk.slow_prefix = (
                        "" if instance is old else "consensus-vote"
                    )
                await anyio.sleep(cluster.rng.uniform(0.1, 0.2))
                start_s = anyio.current_time()
                assert await old.replica.transfer_leadership()
                assert await cluster.wait_for_leader() is not old
                assert anyio.current_time() - start_s < 0.3
                await anyio.sleep(cluster.rng.uniform(0.2, 0.4))
            group.cancel_scope.cancel()
        await cluster.wait_until_converged()

    run_cluster_test(test, seed)


@pytest.mark.parametrize("seed", range(5))
def test_stopping_voter_is_not_elected_again(seed: int) -> None:
    """Guards against a stopping voter that is elected again after its handover.

    Its stop would leave the cluster without a leader.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.wait_for_leader()
        await old.replica.prepare_for_stop(timeout_ms=2000)
        assert old.replica.leader not in (None, old.name)
        successor = await cluster.wait_for_leader()
        assert successor is not old
        # The successor is unreachable for one election, in which the third voter must
        # be elected rather than the stopping one.
        cluster.isolate(successor.name)
        third = await cluster.wait_for(
            lambda: (instance := cluster.leader()) not in (None, successor) and instance
        )
        assert third is not old
        cluster.cut_links.clear()
        await cluster.wait_until_converged()

    run_cluster_test(test, seed)


def test_stopping_voter_is_elected_if_no_other_can_be() -> None:
    """Guards against a cluster without a leader when only a stopping voter can lead."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.wait_for_leader()
        await old.replica.prepare_for_stop(timeout_ms=2000)
        assert old.replica.leader not in (None, old.name)
        await cluster.wait_for_leader()
        behind = next(
            instance for instance in cluster.followers() if instance is not old
        )
        cluster.isolate(behind.name)
        await cluster.commit_commands(5)
        cluster.leader().kill()
        cluster.cut_links.clear()
        assert await cluster.wait_for_leader() is old

    run_cluster_test(test)
