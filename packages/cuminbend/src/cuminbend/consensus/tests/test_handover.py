"""Tests of planned handovers."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import (
    Cluster,
    cluster_test,
)


def test_transfer_leadership() -> None:
    """Guards against a planned stop that costs an election timeout."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        start = anyio.current_time()
        assert await old.replica.transfer_leadership()
        assert await cluster.elected() is not old
        assert anyio.current_time() - start < 0.3
        assert not await old.replica.transfer_leadership()
        await cluster.settled()

    cluster_test(test)


@pytest.mark.parametrize("seed", range(10))
def test_transfer_leadership_under_load(seed: int) -> None:
    """Guards against a successor that lacks entries written during the transfer.

    It lost its election, the leaving voter was elected again, and its stop left the
    group without a leader.
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
                old = await cluster.elected()
                # A successor acknowledges all entries while the leader writes the
                # next ones, and is busy with its vote while they are replicated.
                for node in cluster.nodes.values():
                    node.disk.latency_ms = 20.0
                    node.disk.slow_name = "" if node is old else "consensus-vote"
                await anyio.sleep(cluster.rng.uniform(0.1, 0.2))
                start = anyio.current_time()
                assert await old.replica.transfer_leadership()
                assert await cluster.elected() is not old
                assert anyio.current_time() - start < 0.3
                await anyio.sleep(cluster.rng.uniform(0.2, 0.4))
            group.cancel_scope.cancel()
        await cluster.settled()

    cluster_test(test, seed)


@pytest.mark.parametrize("seed", range(5))
def test_retired_voter_is_not_elected_again(seed: int) -> None:
    """Guards against a stop of the leader that comes after it was elected again."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        await old.replica.prepare_for_stop(timeout_ms=2000)
        assert old.replica.leader not in (None, old.name)
        successor = await cluster.elected()
        assert successor is not old
        # The successor falls silent for one election, in which the retired voter
        # must leave the leadership to the third one.
        cluster.isolate(successor.name)
        third = await cluster.until(
            lambda: (node := cluster.leader()) not in (None, successor) and node
        )
        assert third is not old
        cluster.cuts.clear()
        await cluster.settled()

    cluster_test(test, seed)


def test_retired_voter_stands_if_nobody_else_can() -> None:
    """Guards against a group without a leader when only a leaving voter can lead."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        await old.replica.prepare_for_stop(timeout_ms=2000)
        assert old.replica.leader not in (None, old.name)
        await cluster.elected()
        behind = next(n for n in cluster.followers() if n is not old)
        cluster.isolate(behind.name)
        await cluster.commit(5)
        cluster.leader().kill()
        cluster.cuts.clear()
        assert await cluster.elected() is old

    cluster_test(test)
