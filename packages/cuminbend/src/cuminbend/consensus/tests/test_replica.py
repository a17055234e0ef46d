"""Tests of the replica under failure, on a cluster of three."""

import random

import anyio
import pytest

from cuminbend.consensus import AppendRequest, Entry, VoteRequest
from cuminbend.consensus.tests._fakes import (
    NAMES,
    Cluster,
    Node,
    cluster_main,
    cluster_test,
)
from cuminbend.exceptions import CorruptDataError, NoQuorumError, NotLeaderError

DIRECTIONS = [(source, target) for source in NAMES for target in NAMES]


def test_commands_are_applied_in_order() -> None:
    """Guards against a cluster that does not start or does not commit."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(20)
        await cluster.settled()
        assert len(cluster.history) == 20

    cluster_test(test)


def test_runs_on_asyncio() -> None:
    """Guards against code that works on trio only; the daemon runs on asyncio."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        assert await (await cluster.elected()).replica.transfer_leadership()
        await cluster.commit(5)
        await cluster.settled()

    settings = {
        "heartbeat_ms": 20,
        "election_timeout_min_ms": 120,
        "election_timeout_max_ms": 240,
    }
    anyio.run(cluster_main, random.Random(1), test, settings)


@pytest.mark.parametrize("seed", range(5))
def test_first_start_at_different_times(seed: int) -> None:
    """Guards against a first start that hangs, or happens twice with other voters."""

    async def test(cluster: Cluster) -> None:
        names = cluster.rng.sample(NAMES, 3)
        cluster.start(names[0])
        await anyio.sleep(cluster.rng.uniform(0, 3))
        cluster.start(names[1])
        await anyio.sleep(3)
        assert cluster.leader() is None, "started without all initial voters"
        cluster.start(names[2])
        await cluster.commit(3)
        await cluster.settled()
        assert all(n.storage.disk_id == f"{n.name}1" for n in cluster.nodes.values())

    cluster_test(test, seed)


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("step", range(1, 25))
def test_kill_at_every_write(name: str, step: int) -> None:
    """Guards against a crash within any write, from the first start on."""

    async def test(cluster: Cluster) -> None:
        node = cluster.nodes[name]
        node.disk.kill_at = step
        cluster.start()
        with anyio.move_on_after(5):
            await cluster.commit(12)
        await cluster.until(lambda: not node.up or node.disk.writes < step)
        node.disk.kill_at = None
        if not node.up:
            node.start()
        await cluster.commit(3)
        await cluster.settled()

    cluster_test(test, step, snapshot_after_entries=5)


def test_voter_lost_during_first_start() -> None:
    """Guards against a second first start beside one that two voters know of."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.elected()
        cluster.nodes["a"].lose_disk()
        cluster.nodes["a"].start()
        await cluster.commit(3)
        await cluster.settled()
        assert cluster.nodes["a"].storage.disk_id == "a2"

    cluster_test(test)


@pytest.mark.parametrize("seed", range(8))
def test_lost_disk_then_second_voter(seed: int) -> None:
    """Guards against loss of accepted entries when a disk is lost, then a voter."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(10)
        first = cluster.rng.choice(cluster.followers())
        first.lose_disk()
        await cluster.commit(10)
        first.start()
        await cluster.settled()
        second = await cluster.elected()
        second.lose_disk()
        await cluster.commit(10)
        second.start()
        await cluster.settled()
        assert len(cluster.history) == 30

    cluster_test(test, seed)


def test_one_instance_counts_once_per_disk() -> None:
    """Guards against an instance that counts twice while both its disks are voters."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(3)
        await cluster.settled()
        lost, other = cluster.followers()
        lost.lose_disk()
        lost.start()
        leader = await cluster.elected()
        await cluster.until(lambda: len(leader.replica.voters) == 4, step_s=0.0001)
        cluster.isolate(other.name)
        await anyio.sleep(0.5)
        assert leader.replica.commit_index < leader.storage.voters_index
        cluster.cuts.clear()
        await cluster.settled()

    cluster_test(test)


def test_two_replicas_do_not_start_the_cluster() -> None:
    """Guards against first entries that differ because a disk was replaced between."""

    async def test(cluster: Cluster) -> None:
        a, b, c = cluster.nodes.values()
        cluster.cuts.add(("a", "b"))
        c.disk.latency_ms, c.disk.slow_name = 5000, "consensus-vote"
        cluster.start()
        await anyio.sleep(1)
        b.lose_disk()
        b.start()
        cluster.cuts.clear()
        await cluster.commit(3)
        c.disk.latency_ms = 1
        await cluster.settled()
        assert len({node.storage.entries(1, 1) for node in (a, b, c)}) == 1

    cluster_test(test)


def test_lost_disk_gives_no_vote() -> None:
    """Guards against a majority of one voter with the log and one that lost it."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.settled()
        stale, lost = cluster.followers()
        stale.kill()
        await cluster.commit(10)
        (await cluster.elected()).kill()
        lost.lose_disk()
        cluster.start(stale.name, lost.name)
        await anyio.sleep(10)
        assert cluster.leader() is None
        next(n for n in cluster.nodes.values() if not n.up).start()
        await cluster.settled()
        assert len(cluster.history) == 10

    cluster_test(test)


def test_stale_disk_put_back() -> None:
    """Guards against a removed disk that votes or leads when it returns."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        node = cluster.followers()[0]
        stale = node.disk
        node.lose_disk()
        node.start()
        await cluster.commit(5)
        await cluster.settled()
        node.kill()
        node.disk = stale
        leader, term = await cluster.elected(), cluster.leader().replica.term
        node.start()
        await cluster.commit(5)
        await cluster.settled()
        assert leader is cluster.leader()
        assert leader.replica.term == term

    cluster_test(test)


def test_admission_survives_loss_of_the_leader() -> None:
    """Guards against an addition that nobody can complete.

    The leader stops when it alone has the entry that adds the new disk. Only the new
    disk's vote makes up the majority of four, and its own log does not name it.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(3)
        await cluster.settled()
        node = cluster.followers()[0]
        node.lose_disk()
        node.start()
        leader = await cluster.elected()
        await cluster.until(lambda: len(leader.replica.voters) == 4, step_s=0.0001)
        cluster.isolate(leader.name)
        leader.kill()
        await anyio.sleep(1)
        assert all(len(n.replica.voters) == 3 for n in cluster.followers() if n.up)
        cluster.cuts.clear()
        leader.start()
        await cluster.commit(3)
        await cluster.settled()

    cluster_test(test)


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
        await old.replica.retire(limit_ms=2000)
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
        await old.replica.retire(limit_ms=2000)
        assert old.replica.leader not in (None, old.name)
        await cluster.elected()
        behind = next(n for n in cluster.followers() if n is not old)
        cluster.isolate(behind.name)
        await cluster.commit(5)
        cluster.leader().kill()
        cluster.cuts.clear()
        assert await cluster.elected() is old

    cluster_test(test)


def test_full_disk_of_a_follower() -> None:
    """Guards against a follower that acknowledges what it could not write."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.settled()
        term, follower = cluster.leader().replica.term, cluster.followers()[0]
        follower.disk.full = True
        await cluster.commit(5)
        await anyio.sleep(10)
        assert cluster.leader().replica.term == term
        assert follower.storage.last_index < cluster.leader().storage.last_index
        for node in cluster.followers():
            node.disk.full = True
        assert not await cluster.propose()
        assert cluster.leader().replica.term == term
        for node in cluster.followers():
            node.disk.full = False
        await cluster.settled()

    cluster_test(test)


def test_full_disk_of_the_leader() -> None:
    """Guards against a leader that blocks the log because only its disk is full."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        old.disk.full = True
        assert not await cluster.propose()
        await cluster.until(lambda: cluster.leader() not in (None, old), 3)
        await cluster.commit(5)
        old.disk.full = False
        await cluster.settled()

    cluster_test(test)


def test_full_disks_everywhere() -> None:
    """Guards against leases that end because nothing can be written."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        for node in cluster.nodes.values():
            node.disk.full = True
        assert not await cluster.propose()
        for _ in range(1000):
            await anyio.sleep(0.01)
            assert cluster.leader() is not None
            assert not await cluster.propose()
        for node in cluster.nodes.values():
            node.disk.full = False
        await cluster.commit(5)
        await cluster.settled()

    cluster_test(test)


def test_leader_with_a_hanging_disk() -> None:
    """Guards against a leader that keeps its heartbeats up but writes no more."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        old = await cluster.elected()
        old.disk.latency_ms = 3_600_000
        assert not await cluster.propose()
        await cluster.until(lambda: cluster.leader() not in (None, old), 5)
        await cluster.commit(5)
        old.kill()
        old.disk.latency_ms = 1
        old.start()
        await cluster.settled()

    cluster_test(test)


@pytest.mark.parametrize("duration_ms", [400, 3000])
def test_slow_snapshots(duration_ms: float) -> None:
    """Guards against commits and heartbeats that wait until snapshots are written."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.elected()
        term = leader.replica.term
        await cluster.commit(19 - leader.replica.commit_index)
        for node in cluster.nodes.values():
            node.disk.latency_ms = duration_ms
            node.disk.slow_name = "consensus-snapshot"
        start = anyio.current_time()
        await cluster.commit(10)
        assert anyio.current_time() - start < 0.3, "commits wait for snapshots"
        for _ in range(500):
            await anyio.sleep(0.01)
            assert cluster.leader() is leader
        for node in cluster.nodes.values():
            node.disk.latency_ms = 1
        await cluster.settled()
        assert leader.replica.term == term

    cluster_test(test, snapshot_after_entries=20)


def test_slow_log_of_the_followers() -> None:
    """Guards against heartbeats that wait until entries are written."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        leader = await cluster.elected()
        term = leader.replica.term
        for node in cluster.followers():
            node.disk.latency_ms, node.disk.slow_name = 4000, "consensus-log"
        assert await cluster.propose(10_000)
        assert cluster.leader() is leader
        assert leader.replica.term == term

    cluster_test(test)


def test_slow_votes() -> None:
    """Guards against elections that fail because votes take long to write."""

    async def test(cluster: Cluster) -> None:
        for node in cluster.nodes.values():
            node.disk.latency_ms, node.disk.slow_name = 550, "consensus-vote"
        cluster.start()
        await cluster.commit(3)
        await cluster.settled()

    cluster_test(test)


def test_slow_transfer_of_a_snapshot() -> None:
    """Guards against a leader that loses its majority while it sends a snapshot."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.settled()
        behind, other = cluster.followers()
        behind.kill()
        await cluster.commit(50)
        other.kill()
        cluster.snapshot_delay_s = 3
        behind.start()
        await cluster.until(lambda: len(behind.machine.commands) == 50)
        await cluster.commit(3)
        other.start()
        await cluster.settled()

    cluster_test(test, snapshot_after_entries=10)


def test_restart_after_many_entries() -> None:
    """Guards against a log that grows without bound or is replayed from the start."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.elected()

        async def propose() -> None:
            await cluster.commit(250)

        async with anyio.create_task_group() as group:
            for _ in range(8):
                group.start_soon(propose)
        await cluster.settled()
        assert len(cluster.history) == 2000
        for node in cluster.nodes.values():
            node.kill()
            log = [n for n in node.disk.files if n.startswith("consensus-log")]
            assert sum(len(node.disk.files[name]) for name in log) < 30_000
        cluster.start()
        await cluster.commit(1)
        await cluster.settled()
        assert len(cluster.history) == 2001
        cluster.nodes["c"].lose_disk()
        cluster.nodes["c"].start()
        await cluster.settled()

    cluster_test(test, snapshot_after_entries=200)


def test_damaged_voter_refuses_to_start() -> None:
    """Guards against a voter that forgets entries it has acknowledged."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        await cluster.settled()
        node = cluster.followers()[0]
        node.kill()
        name = next(n for n in node.disk.files if n.startswith("consensus-log"))
        content = bytearray(node.disk.files[name])
        content[-1] ^= 1
        node.disk.files[name] = bytes(content)
        node.start()
        await cluster.until(lambda: node.error)
        assert isinstance(node.error, CorruptDataError)
        await cluster.commit(5)
        node.lose_disk()
        node.start()
        await cluster.settled()

    cluster_test(test)


def test_delayed_messages_change_nothing() -> None:
    """Guards against a late append that truncates, and a late vote that disturbs."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        await cluster.settled()
        leader, node = await cluster.elected(), cluster.followers()[0]
        term, log = leader.replica.term, follower_log(node)
        head = {"term": term, "leader": leader.name, "commit_index": 0, "round": 1}
        for start in range(len(log)):
            prev = log[start - 1] if start else None
            request = AppendRequest(
                prev_index=prev.index if prev else 0,
                prev_term=prev.term if prev else 0,
                entries=log[start : start + 1],
                disk_id=leader.storage.disk_id,
                **head,
            )
            assert (await node.replica.handle(request)).success
            assert follower_log(node) == log
        vote = VoteRequest(False, term + 5, "c", 99, term, "c1")
        for voter in cluster.nodes.values():
            assert not (await voter.replica.handle(vote)).granted
            assert voter.replica.term == term

    cluster_test(test)


def test_new_leader_is_not_confirmed_before_its_first_commit() -> None:
    """Guards against leases from a leader that may lack a committed configuration."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        old = await cluster.elected()
        for node in cluster.followers():
            node.disk.latency_ms, node.disk.slow_name = 4000, "consensus-log"
        old.kill()
        new = await cluster.until(
            lambda: [n for n in cluster.nodes.values() if n.up and n.replica.is_leader]
        )
        for _ in range(100):
            await anyio.sleep(0.01)
            assert new[0].replica.confirmed_at_ms() is None
        for node in cluster.nodes.values():
            node.disk.latency_ms = 1
        old.start()
        await cluster.settled()

    cluster_test(test, election_timeout_max_ms=900)


def test_entries_of_a_former_term_are_not_counted() -> None:
    """Guards against a commit that a later leader could still replace.

    One follower alone has an entry of the former leader, and replicates it before
    its own once it leads (Ongaro and Ousterhout, figure 8).
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(3)
        await cluster.settled()
        old, (new, behind) = await cluster.elected(), cluster.followers()
        cluster.isolate(behind.name)
        cluster.cuts.add((new.name, old.name))
        committed = new.replica.commit_index
        assert not await cluster.propose(300)
        assert new.storage.last_index == committed + 1
        old.kill()
        cluster.cuts.clear()
        await cluster.until(lambda: new.replica.commit_index > committed, step_s=0.0001)
        assert new.replica.is_leader
        assert new.storage.term_at(new.replica.commit_index) == new.replica.term
        assert len(new.machine.commands) == 4
        old.start()
        await cluster.settled()

    cluster_test(test, max_batch_entries=1)


def test_uncommitted_entries() -> None:
    """Guards against loss of entries that were acknowledged, and wrong matches."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit(5)
        await cluster.settled()
        leader, node = await cluster.elected(), cluster.followers()[0]
        cluster.isolate(node.name)
        term, end = leader.replica.term, node.storage.last_index
        new = [Entry(end + n, term, "command", b"%d" % n, 0.0) for n in range(1, 4)]

        async def append(term: int, prev: tuple[int, int], *entries: Entry) -> bool:
            head = (term, leader.name, *prev, entries, 0, 1, leader.storage.disk_id)
            return (await node.replica.handle(AppendRequest(*head))).success

        assert await append(term, (end, term), *new)
        log = follower_log(node)
        assert log[-3:] == tuple(new)
        # Delayed and shorter: the entries after it have been acknowledged.
        assert await append(term, (end, term), new[0])
        assert follower_log(node) == log
        # A later leader has another entry where this log ends.
        assert not await append(term + 1, (end + 3, term + 1))
        assert not await append(term + 1, (end + 4, term))
        assert not await append(term, (end, term), new[0]), "leader of a past term"
        other = Entry(end + 2, term + 1, "noop", b"", 0.0)
        assert await append(term + 1, (end + 1, term), other)
        assert follower_log(node) == (*log[:-2], other)
        node.kill()

    cluster_test(test)


def follower_log(node: Node) -> tuple[Entry, ...]:
    return node.storage.entries(node.storage.first_index, 1000)
