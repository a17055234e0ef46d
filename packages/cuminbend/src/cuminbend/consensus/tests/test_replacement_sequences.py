"""Random sequences of replacements and losses within the tolerance of a cluster."""

import os

import anyio
import pytest

from cuminbend.consensus.tests._fakes import Cluster, run_cluster_test
from cuminbend.consensus.tests.test_replacement import add_instance, stop_as_planned

SEEDS = int(os.environ.get("CUMINBEND_CONSENSUS_SEEDS", "6"))
STEPS = 8
# Time for which a machine counts as lost after it is back or, if it is new, after its
# start.
CATCH_UP_S = 4.0


def has_only_live_voters(cluster: Cluster) -> bool:
    """Return whether the voters are the present disks of the live instances."""
    leader = cluster.leader()
    if leader is None:
        return False
    live = [instance for instance in cluster.instances.values() if instance.is_up]
    return sorted(
        (voter.instance, voter.disk_id) for voter in leader.replica.voters
    ) == sorted((instance.name, instance.storage.disk_id) for instance in live)


def choose(cluster: Cluster, count: int) -> list[str]:
    """Return the names of some live instances."""
    live = sorted(name for name, item in cluster.instances.items() if item.is_up)
    return cluster.rng.sample(live, count)


async def replace_as_planned(cluster: Cluster, losses: int) -> None:
    """Replace some voters: the new ones first, then the old ones stop one by one."""
    names = choose(cluster, losses)
    for name in names:
        add_instance(cluster, f"{name}n")
    await anyio.sleep(CATCH_UP_S)
    for name in names:
        await stop_as_planned(cluster, name)


async def replace(cluster: Cluster, losses: int) -> None:
    """Replace some voters: the new ones first, then the old ones end for good.

    No majority survives the loss of two of four voters, so the next step waits until
    the old voters are removed.
    """
    names = choose(cluster, losses)
    for name in names:
        add_instance(cluster, f"{name}n")
    await anyio.sleep(CATCH_UP_S)
    for name in names:
        cluster.instances[name].kill()
        await anyio.sleep(cluster.rng.uniform(0, 1))
    await anyio.sleep(CATCH_UP_S)


async def replace_lost(cluster: Cluster, losses: int) -> None:
    """Lose some voters for good; their successors start only later."""
    names = choose(cluster, losses)
    for name in names:
        cluster.instances[name].kill()
    await anyio.sleep(cluster.rng.uniform(0, 2))
    for name in names:
        add_instance(cluster, f"{name}n")
    await anyio.sleep(CATCH_UP_S)


async def restart(cluster: Cluster, losses: int) -> None:
    """Stop some voters for a while; they come back with or without their disks."""
    names = choose(cluster, losses)
    for name in names:
        instance = cluster.instances[name]
        if cluster.rng.random() < 0.5:
            instance.lose_disk()
        else:
            instance.kill()
    await anyio.sleep(cluster.rng.uniform(0.5, 6))
    for name in names:
        cluster.instances[name].start()
    await anyio.sleep(CATCH_UP_S)


async def restart_all(cluster: Cluster, losses: int) -> None:
    """Kill all voters at the same moment; they come back with their disks."""
    live = [instance for instance in cluster.instances.values() if instance.is_up]
    for instance in live:
        instance.kill()
    await anyio.sleep(cluster.rng.uniform(0.2, 1))
    for instance in live:
        instance.start()
    await anyio.sleep(CATCH_UP_S)


async def transfer(cluster: Cluster, losses: int) -> None:
    """Hand the leadership over."""
    leader = cluster.leader()
    if leader is not None:
        with anyio.move_on_after(1):
            await leader.replica.transfer_leadership()


@pytest.mark.parametrize("tolerance", [1, 2])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_voter_is_left_behind(seed: int, tolerance: int) -> None:
    """Guards against a lost voter that keeps its vote after its successor has served.

    After any sequence of replacements and allowed losses, the voters are those that
    live, and commands are committed while as many as the cluster bears are lost.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        for name in "de"[: 2 * (tolerance - 1)]:
            add_instance(cluster, name)
        await cluster.wait_for(lambda: has_only_live_voters(cluster), 30)
        for _ in range(STEPS):
            step = cluster.rng.choice(
                (
                    replace_as_planned,
                    replace,
                    replace_lost,
                    restart,
                    restart_all,
                    transfer,
                )
            )
            await step(cluster, cluster.rng.randint(1, tolerance))
            # No step waits for the removal of voters, only for the recovery.
            await cluster.commit_commands(2)
        await cluster.wait_for(lambda: has_only_live_voters(cluster), 30)

    run_cluster_test(test, seed, min_live_voters=2 * tolerance + 1)
