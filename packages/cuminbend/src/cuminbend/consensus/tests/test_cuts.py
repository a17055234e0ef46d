"""Tests of a network that is cut, one way or both."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import (
    NAMES,
    Cluster,
    cluster_test,
)
from cuminbend.exceptions import NoQuorumError, NotLeaderError

DIRECTIONS = [(source, target) for source in NAMES for target in NAMES]


def test_isolated_leader_steps_down_and_returns_quietly() -> None:
    """Guards against a leader that serves on when it is cut off."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        old = await cluster.elected()
        cluster.isolate(old.name)
        cut_ms = anyio.current_time() * 1000
        with pytest.raises(NoQuorumError):
            await old.replica.propose(b"lost", 500)
        assert old.replica.confirmed_at_ms() <= cut_ms
        new = await cluster.elected()
        assert new is not old
        await cluster.commit(5)
        await cluster.until(lambda: not old.replica.is_leader, 1)
        assert old.replica.confirmed_at_ms() is None
        with pytest.raises(NotLeaderError):
            await old.replica.propose(b"refused", 500)
        term = new.replica.term
        await anyio.sleep(60)
        cluster.cuts.clear()
        await cluster.commit(5)
        await cluster.settled()
        assert cluster.leader() is new
        assert new.replica.term == term
        assert len(cluster.history) == 15

    cluster_test(test)


def test_isolated_follower_returns_quietly() -> None:
    """Guards against a voter whose term ran ahead while it was cut off."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.settled()
        leader = await cluster.elected()
        term, follower = leader.replica.term, cluster.followers()[0]
        cluster.isolate(follower.name)
        await anyio.sleep(30)
        assert follower.replica.leader is None
        cluster.cuts.clear()
        for _ in range(300):
            await anyio.sleep(0.01)
            assert cluster.leader() is leader
        assert leader.replica.term == term
        await cluster.settled()

    cluster_test(test)


@pytest.mark.parametrize("cut", [d for d in DIRECTIONS if d[0] != d[1]])
@pytest.mark.parametrize("leader", NAMES)
def test_one_way_cut(cut: tuple[str, str], leader: str) -> None:
    """Guards against a cut in one direction that stops the cluster or moves it on."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.elected()
        while (node := await cluster.elected()).name != leader:
            await node.replica.transfer_leadership()
        term = node.replica.term
        cluster.cuts.add(cut)
        await anyio.sleep(5)
        assert cluster.leader() is node
        await cluster.commit(5)
        assert node.replica.term == term
        cluster.cuts.clear()
        await cluster.settled()
        assert node.replica.term == term

    cluster_test(test)


@pytest.mark.parametrize("inbound", [True, False])
def test_leader_cut_one_way_from_all(inbound: bool) -> None:
    """Guards against a leader that holds the others still but hears no answer."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        for node in cluster.followers():
            pair = (node.name, old.name)
            cluster.cuts.add(pair if inbound else pair[::-1])
        await cluster.until(lambda: cluster.leader() not in (None, old), 6)
        await cluster.commit(5)
        cluster.cuts.clear()
        await cluster.settled()

    cluster_test(test)


@pytest.mark.parametrize("seed", range(6))
def test_leader_change_with_open_proposals(seed: int) -> None:
    """Guards against a proposal that is reported as absent but applied, or lost."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.elected()
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
                cluster.accepted[command] = int(result)

        async with anyio.create_task_group() as group:
            for number in range(60):
                group.start_soon(propose, number)
            await anyio.sleep(0.02)
            cluster.isolate(leader.name)
            await cluster.until(lambda: cluster.leader() not in (None, leader))
            await cluster.commit(3)
            cluster.cuts.clear()
        await cluster.settled()
        assert cluster.accepted
        assert refused
        assert not set(refused) & set(cluster.history)

    cluster_test(test, seed)
