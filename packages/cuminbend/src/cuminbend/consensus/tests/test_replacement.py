"""Tests of instances that are added to the cluster and replace others."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import Cluster, Node, cluster_test


def add_node(cluster: Cluster, name: str) -> Node:
    """Start an instance that is no initial voter and asks for admission."""
    node = cluster.nodes[name] = Node(cluster, name)
    node.start()

    async def ask() -> None:
        while True:
            for other in list(cluster.nodes.values()):
                if other.up and not cluster.drops(name, other.name):
                    other.replica.record_admission_request(name)
            await anyio.sleep(0.5)

    cluster.group.start_soon(ask)
    return node


def voters(cluster: Cluster) -> list[str]:
    leader = cluster.leader()
    return [v.instance for v in leader.replica.voters] if leader else []


@pytest.mark.parametrize("seed", range(5))
def test_newcomer_takes_the_place_of_a_lost_voter(seed: int) -> None:
    """Guards against a cluster that keeps needing a voter that is gone for good."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        lost = cluster.rng.choice(sorted(cluster.nodes))
        cluster.nodes.pop(lost).kill()
        cluster.nodes[lost] = Node(cluster, lost)  # stays down
        add_node(cluster, "d")
        expected = sorted({"a", "b", "c", "d"} - {lost})
        await cluster.until(lambda: voters(cluster) == expected, 30)
        # A second loss right after the repair leaves a majority.
        second = next(name for name in expected if name != "d")
        cluster.nodes[second].kill()
        await cluster.commit(5)

    cluster_test(test, seed)


def test_silent_voter_stays_while_nobody_takes_its_place() -> None:
    """Guards against a cluster that shrinks because a voter restarts slowly."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(2)
        follower = cluster.followers()[0]
        follower.kill()
        await anyio.sleep(10)
        assert voters(cluster) == ["a", "b", "c"]
        follower.start()
        await cluster.settled()

    cluster_test(test)


def test_planned_replacement() -> None:
    """Guards against four voters for good after the new one came first."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(2)
        add_node(cluster, "d")
        await cluster.until(lambda: voters(cluster) == ["a", "b", "c", "d"], 30)
        old = cluster.followers()[0]
        old.kill()
        remaining = sorted(set(cluster.nodes) - {old.name})
        await cluster.until(lambda: voters(cluster) == remaining, 30)
        await cluster.commit(5)

    cluster_test(test)


def test_removed_voter_that_was_only_cut_off_comes_back() -> None:
    """Guards against a live instance without a vote after a cut."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(2)
        cut = cluster.followers()[0].name
        cluster.isolate(cut)
        cluster.cuts |= {(cut, "d"), ("d", cut)}
        add_node(cluster, "d")
        remaining = sorted({"a", "b", "c", "d"} - {cut})
        await cluster.until(lambda: voters(cluster) == remaining, 30)
        await cluster.commit(5)
        cluster.cuts.clear()
        await cluster.until(lambda: len(voters(cluster)) == 4, 30)
        await cluster.commit(5)

    cluster_test(test)


@pytest.mark.parametrize("seed", range(5))
def test_restart_of_all_elects_early(seed: int) -> None:
    """Guards against a group that waits a whole timeout when nobody can lead."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        for node in cluster.nodes.values():
            node.kill()
        await anyio.sleep(1)
        cluster.start()
        start_s = anyio.current_time()
        await cluster.commit(1)
        assert anyio.current_time() - start_s < 0.6
        await cluster.settled()

    cluster_test(test, seed, first_election_timeout_max_ms=250)


def test_early_vote_does_not_disturb_a_leader() -> None:
    """Guards against a restarted voter that unseats the leader it has not heard yet."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        leader = cluster.leader()
        assert leader is not None
        term = leader.replica.term
        for follower in cluster.followers():
            follower.kill()
            await anyio.sleep(0.1)
            follower.start()
            await anyio.sleep(2)
        assert leader.replica.term == term
        assert leader.replica.is_leader
        await cluster.settled()

    cluster_test(test, first_election_timeout_max_ms=250)


def test_instance_without_permission_starts_no_cluster() -> None:
    """Guards against a second history that a newcomer starts with empty peers."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        with anyio.move_on_after(10):
            await cluster.commit(1)
        assert cluster.leader() is None

    cluster_test(test, bootstraps=False)
