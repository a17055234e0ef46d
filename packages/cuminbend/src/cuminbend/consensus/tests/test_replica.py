"""Tests of the order of commands: commits, terms, and messages that come late."""

import random

import anyio

from cuminbend.consensus import AppendRequest, Entry, VoteRequest
from cuminbend.consensus.tests._fakes import (
    Cluster,
    Node,
    cluster_main,
    cluster_test,
)


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
