"""Tests of network partitions, in one direction or both."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import (
    NAMES,
    Cluster,
    run_cluster_test,
)
from cuminbend.exceptions import NoQuorumError, NotLeaderError

LINKS = [(source, target) for source in NAMES for target in NAMES]


def test_isolated_leader_steps_down_and_rejoins_without_election() -> None:
    """Guards against an isolated leader that remains confirmed or commits commands.

    Also guards against an election when it is reachable again.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(5)
        old = await cluster.wait_for_leader()
        cluster.isolate(old.name)
        isolated_ms = anyio.current_time() * 1000
        with pytest.raises(NoQuorumError):
            await old.replica.propose(b"lost", 500)
        assert old.replica.confirmed_at_ms() <= isolated_ms
        new = await cluster.wait_for_leader()
        assert new is not old
        await cluster.commit_commands(5)
        await cluster.wait_for(lambda: not old.replica.is_leader, 1)
        assert old.replica.confirmed_at_ms() is None
        with pytest.raises(NotLeaderError):
            await old.replica.propose(b"refused", 500)
        term = new.replica.term
        await anyio.sleep(60)
        cluster.cut_links.clear()
        await cluster.commit_commands(5)
        await cluster.wait_until_converged()
        assert cluster.leader() is new
        assert new.replica.term == term
        assert len(cluster.history) == 15

    run_cluster_test(test)


def test_isolated_follower_rejoins_without_election() -> None:
    """Guards against a voter that raises its term while it is isolated.

    The later term would end the leadership of a working leader.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_until_converged()
        leader = await cluster.wait_for_leader()
        term, follower = leader.replica.term, cluster.followers()[0]
        cluster.isolate(follower.name)
        await anyio.sleep(30)
        assert follower.replica.leader is None
        cluster.cut_links.clear()
        for _ in range(300):
            await anyio.sleep(0.01)
            assert cluster.leader() is leader
        assert leader.replica.term == term
        await cluster.wait_until_converged()

    run_cluster_test(test)


@pytest.mark.parametrize("cut_link", [link for link in LINKS if link[0] != link[1]])
@pytest.mark.parametrize("leader", NAMES)
def test_link_cut_in_one_direction(cut_link: tuple[str, str], leader: str) -> None:
    """Guards against a link cut one way that stops commits or causes an election."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.wait_for_leader()
        while (instance := await cluster.wait_for_leader()).name != leader:
            await instance.replica.transfer_leadership()
        term = instance.replica.term
        cluster.cut_links.add(cut_link)
        await anyio.sleep(5)
        assert cluster.leader() is instance
        await cluster.commit_commands(5)
        assert instance.replica.term == term
        cluster.cut_links.clear()
        await cluster.wait_until_converged()
        assert instance.replica.term == term

    run_cluster_test(test)


@pytest.mark.parametrize("inbound", [True, False])
def test_leader_links_cut_in_one_direction(inbound: bool) -> None:
    """Guards against a leader that prevents elections but receives no replies.

    Its heartbeats would keep the followers from electing a leader that can commit.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.wait_for_leader()
        for instance in cluster.followers():
            link = (instance.name, old.name)
            cluster.cut_links.add(link if inbound else link[::-1])
        await cluster.wait_for(lambda: cluster.leader() not in (None, old), 6)
        await cluster.commit_commands(5)
        cluster.cut_links.clear()
        await cluster.wait_until_converged()

    run_cluster_test(test)


@pytest.mark.parametrize("seed", range(6))
def test_leader_change_with_open_proposals(seed: int) -> None:
    """Guards against a proposal that was refused but is applied, or accepted but lost.

    The leader is isolated while proposals wait for their commit.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.wait_for_leader()
        refused: list[str] = []

        async def propose(number: int) -> None:
            await anyio.sleep(number / 1000)
            command = f"open-{number}"
            try:
                result = await leader.replica.propose(command.encode(), 5000)
            except NotLeaderError:
                refused.append(command)
            except NoQuorumError:
                pass
            else:
                cluster.accepted_positions[command] = int(result)

        async with anyio.create_task_group() as group:
            for number in range(60):
                group.start_soon(propose, number)
            await anyio.sleep(0.02)
            cluster.isolate(leader.name)
            await cluster.wait_for(lambda: cluster.leader() not in (None, leader))
            await cluster.commit_commands(3)
            cluster.cut_links.clear()
        await cluster.wait_until_converged()
        assert cluster.accepted_positions
        assert refused
        assert not set(refused) & set(cluster.history)

    run_cluster_test(test, seed)
