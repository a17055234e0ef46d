"""Random faults under load; CUMINBEND_CONSENSUS_SEEDS sets the number of seeds."""

import os

import anyio
import pytest

from cuminbend.consensus.tests._fakes import NAMES, Cluster, cluster_test

SEEDS = int(os.environ.get("CUMINBEND_CONSENSUS_SEEDS", "30"))
FIRST_SEED = int(os.environ.get("CUMINBEND_CONSENSUS_FIRST_SEED", "0"))


async def cause_fault(cluster: Cluster) -> None:
    rng = cluster.rng
    node = cluster.nodes[rng.choice(NAMES)]
    match rng.randrange(12):
        case 0 | 1:
            node.kill()
        case 2:
            node.disk.kill_at = node.disk.writes + rng.randint(1, 8)
        case 3:
            cluster.isolate(node.name)
        case 4 | 5:
            a, b = rng.sample(NAMES, 2)
            cluster.cuts.add((a, b))
        case 6:
            cluster.loss, cluster.duplicate = rng.uniform(0, 0.3), 0.2
        case 7:
            cluster.slow = rng.uniform(0, 0.3)
        case 8:
            node.disk.full = True
        case 9:
            node.disk.latency_ms = rng.choice((20, 300, 2000))
        case 10:
            if node.up:
                with anyio.move_on_after(1):
                    await node.replica.transfer_leadership()
        case 11:
            # Only one disk is lost before the cluster is whole again.
            heal(cluster)
            cluster.paused = True
            await cluster.settled()
            cluster.paused = False
            node.lose_disk()


def heal(cluster: Cluster) -> None:
    cluster.cuts.clear()
    cluster.loss = cluster.duplicate = cluster.slow = 0.0
    for node in cluster.nodes.values():
        node.disk.full, node.disk.latency_ms, node.disk.kill_at = False, 1, None
        if not node.up:
            node.start()


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_random_faults(seed: int) -> None:
    """Guards against lost or reordered entries, two leaders in a term, stale leaders.

    Also guards against a cluster that does not recover once all faults are gone.
    """

    async def test(cluster: Cluster) -> None:
        async def load() -> None:
            while True:
                await anyio.sleep(cluster.rng.uniform(0, 0.2))
                if not cluster.paused:
                    await cluster.propose(cluster.rng.choice((100, 1000)))

        async def watch() -> None:
            while True:
                cluster.check()
                await anyio.sleep(0.02)

        cluster.start()
        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(load)
            group.start_soon(watch)
            for _ in range(25):
                await cause_fault(cluster)
                await anyio.sleep(cluster.rng.uniform(0, 1.5))
                if cluster.rng.random() < 0.25:
                    heal(cluster)
                elif cluster.rng.random() < 0.5:
                    for node in cluster.nodes.values():
                        if not node.up and cluster.rng.random() < 0.5:
                            node.start()
            heal(cluster)
            await cluster.until(lambda: cluster.leader() is not None)
            await anyio.sleep(1)
            group.cancel_scope.cancel()
        await cluster.commit(3)
        await cluster.settled()

    cluster_test(test, seed, snapshot_after_entries=15, max_batch_entries=7)
