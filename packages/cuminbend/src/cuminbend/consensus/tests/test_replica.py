"""Tests of the replica under failure."""

from cuminbend.consensus.tests._fakes import Cluster, cluster_test


def test_first_start_and_commands() -> None:
    """Guards against a cluster that does not start or does not commit."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(20)
        await cluster.settled()
        assert len(cluster.history) == 20

    cluster_test(test)


def test_lost_disk_then_second_voter() -> None:
    """Guards against loss of accepted entries when a disk is lost, then a voter."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(10)
        first = next(n for n in cluster.nodes.values() if n is not cluster.leader())
        first.lose_disk()
        await cluster.commit(10)
        first.start()
        await cluster.settled()
        leader = cluster.leader()
        assert leader is not None
        leader.lose_disk()
        await cluster.commit(10)
        leader.start()
        await cluster.settled()
        assert len(cluster.history) == 30

    cluster_test(test)
