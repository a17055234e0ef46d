"""Random faults under load; CUMINBEND_CONSENSUS_SEEDS sets the number of seeds."""

import os

import anyio
import pytest

from cuminbend.consensus.tests._fakes import NAMES, Cluster, run_cluster_test

SEEDS = int(os.environ.get("CUMINBEND_CONSENSUS_SEEDS", "30"))
FIRST_SEED = int(os.environ.get("CUMINBEND_CONSENSUS_FIRST_SEED", "0"))


async def cause_random_fault(cluster: Cluster) -> None:
    rng = cluster.rng
    instance = cluster.instances[rng.choice(NAMES)]
    match rng.randrange(12):
        case 0 | 1:
            instance.kill()
        case 2:
            instance.disk.kill_at_write = instance.disk.write_count + rng.randint(1, 8)
        case 3:
            cluster.isolate(instance.name)
        case 4 | 5:
            a, b = rng.sample(NAMES, 2)
            cluster.cut_links.add((a, b))
        case 6:
            cluster.loss_rate, cluster.duplicate_rate = rng.uniform(0, 0.3), 0.2
        case 7:
            cluster.delay_rate = rng.uniform(0, 0.3)
        case 8:
            instance.disk.is_full = True
        case 9:
            instance.disk.latency_ms = rng.choice((20, 300, 2000))
        case 10:
            if instance.is_up:
                with anyio.move_on_after(1):
                    await instance.replica.transfer_leadership()
        case 11:
            # No further disk may be lost before the cluster has recovered.
            end_faults(cluster)
            cluster.is_load_paused = True
            await cluster.wait_until_converged()
            cluster.is_load_paused = False
            instance.lose_disk()


def end_faults(cluster: Cluster) -> None:
    cluster.cut_links.clear()
    cluster.loss_rate = cluster.duplicate_rate = cluster.delay_rate = 0.0
    for instance in cluster.instances.values():
        instance.disk.is_full, instance.disk.latency_ms, instance.disk.kill_at_write = (
            False,
            1,
            None,
        )
        if not instance.is_up:
            instance.start()


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_random_faults(seed: int) -> None:
    """Guards against lost or reordered entries, two leaders in a term, stale leaders.

    Also guards against a cluster that does not recover once all faults are gone.
    """

    async def test(cluster: Cluster) -> None:
        async def propose_commands() -> None:
            while True:
                await anyio.sleep(cluster.rng.uniform(0, 0.2))
                if not cluster.is_load_paused:
                    await cluster.propose(cluster.rng.choice((100, 1000)))

        async def check_repeatedly() -> None:
            while True:
                cluster.check_invariants()
                await anyio.sleep(0.02)

        cluster.start()
        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(propose_commands)
            group.start_soon(check_repeatedly)
            for _ in range(25):
                await cause_random_fault(cluster)
                await anyio.sleep(cluster.rng.uniform(0, 1.5))
                if cluster.rng.random() < 0.25:
                    end_faults(cluster)
                elif cluster.rng.random() < 0.5:
                    for instance in cluster.instances.values():
                        if not instance.is_up and cluster.rng.random() < 0.5:
                            instance.start()
            end_faults(cluster)
            await cluster.wait_for(lambda: cluster.leader() is not None)
            await anyio.sleep(1)
            group.cancel_scope.cancel()
        await cluster.commit_commands(3)
        await cluster.wait_until_converged()

    run_cluster_test(test, seed, snapshot_after_entries=15, max_batch_entries=7)
