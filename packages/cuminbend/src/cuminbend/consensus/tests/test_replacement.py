"""Tests of instances that join the cluster, replace voters, or restart."""

import anyio
import pytest

from cuminbend.consensus.tests._fakes import Cluster, Instance, run_cluster_test


def add_instance(cluster: Cluster, name: str) -> Instance:
    """Start an instance that is not an initial voter and asks for admission."""
    instance = cluster.instances[name] = Instance(cluster, name)
    instance.start()

    async def request_admission() -> None:
        while True:
            for other in list(cluster.instances.values()):
                if other.is_up and not cluster.drops_message(name, other.name):
                    other.replica.record_admission_request(name)
            await anyio.sleep(0.5)

    cluster.group.start_soon(request_admission)
    return instance


async def stop_as_planned(cluster: Cluster, name: str) -> None:
    """Stop an instance: it hands over, gives up its vote and ends."""
    instance = cluster.instances[name]
    await instance.replica.prepare_for_stop(timeout_ms=2000)
    leader = cluster.leader()
    if leader not in (None, instance):
        await leader.replica.remove_stopping_voter(name, timeout_ms=500)
    instance.kill()


def voters(cluster: Cluster) -> list[str]:
    """Return the names of the leader's voters, empty without a leader."""
    leader = cluster.leader()
    return [voter.instance for voter in leader.replica.voters] if leader else []


@pytest.mark.parametrize("seed", range(5))
def test_new_voter_replaces_lost_voter(seed: int) -> None:
    """Guards against a majority that still counts a voter which never returns.

    Without its removal, the loss of a second voter would leave no majority.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(5)
        lost = cluster.rng.choice(sorted(cluster.instances))
        cluster.instances.pop(lost).kill()
        cluster.instances[lost] = Instance(cluster, lost)  # is not started again
        add_instance(cluster, "d")
        expected = sorted({"a", "b", "c", "d"} - {lost})
        await cluster.wait_for(lambda: voters(cluster) == expected, 30)
        # After the replacement, the loss of a second voter leaves a majority.
        second = next(name for name in expected if name != "d")
        cluster.instances[second].kill()
        await cluster.commit_commands(5)

    run_cluster_test(test, seed)


def test_silent_voter_stays_without_replacement() -> None:
    """Guards against a cluster that removes a voter because it restarts slowly."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(2)
        follower = cluster.followers()[0]
        follower.kill()
        await anyio.sleep(10)
        assert voters(cluster) == ["a", "b", "c"]
        follower.start()
        await cluster.wait_until_converged()

    run_cluster_test(test)


def test_planned_replacement() -> None:
    """Guards against a fourth voter that stays after a planned replacement.

    The new instance joins before the old one stops.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(2)
        add_instance(cluster, "d")
        await cluster.wait_for(lambda: voters(cluster) == ["a", "b", "c", "d"], 30)
        old = cluster.followers()[0]
        old.kill()
        remaining = sorted(set(cluster.instances) - {old.name})
        await cluster.wait_for(lambda: voters(cluster) == remaining, 30)
        await cluster.commit_commands(5)

    run_cluster_test(test)


@pytest.mark.parametrize("seed", range(5))
def test_replacements_in_quick_succession_leave_no_lost_voter(seed: int) -> None:
    """Guards against replaced voters that stay because a successor joined too early.

    Each successor joins before the voter that it replaces has been silent for long
    enough, so the number of voters is odd whenever a removal is considered. The loss
    of one disk then left two of five voters and no majority.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(2)
        for old, new in (("a", "d"), ("b", "e")):
            add_instance(cluster, new)
            await cluster.wait_for(lambda new=new: new in voters(cluster), 30)
            cluster.instances[old].kill()
        await cluster.wait_for(lambda: voters(cluster) == ["c", "d", "e"], 30)
        await cluster.commit_commands(1)
        cluster.instances["c"].lose_disk()
        await cluster.commit_commands(5)
        cluster.instances["c"].start()
        await cluster.wait_for(
            lambda: (
                (leader := cluster.leader()) is not None
                and {voter.instance for voter in leader.replica.voters} == {*"cde"}
                and len(leader.replica.voters) == 3
                and cluster.instances["c"].replica.is_voter
            ),
            30,
        )

    run_cluster_test(test, seed)


@pytest.mark.parametrize("seed", range(5))
def test_planned_replacement_bears_a_loss_at_once(seed: int) -> None:
    """Guards against a stopped voter that counts until its silence is noticed.

    Its successor has joined, so the loss of another disk right after the stop is one
    that three instances bear. It left two of four voters and no majority.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(2)
        add_instance(cluster, "d")
        await cluster.wait_for(lambda: "d" in voters(cluster), 30)
        stopped = cluster.rng.choice(sorted("abc"))
        await stop_as_planned(cluster, stopped)
        lost = cluster.rng.choice(sorted({*"abcd"} - {stopped}))
        cluster.instances[lost].lose_disk()
        await cluster.commit_commands(5)

    run_cluster_test(test, seed)


def test_planned_stop_keeps_a_vote_that_is_needed() -> None:
    """Guards against two voters of three at each restart of an instance."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(2)
        follower = cluster.followers()[0]
        await stop_as_planned(cluster, follower.name)
        await anyio.sleep(5)
        assert voters(cluster) == ["a", "b", "c"]
        follower.start()
        await cluster.wait_until_converged()

    run_cluster_test(test)


def test_two_stopped_voters_of_five_stay() -> None:
    """Guards against the removal of stopped voters that the cluster still needs.

    With five voters that bear two losses, three live ones would bear only one.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(2)
        for name in "de":
            add_instance(cluster, name)
        await cluster.wait_for(lambda: len(voters(cluster)) == 5, 30)
        stopped = cluster.followers()[:2]
        for instance in stopped:
            instance.kill()
        await anyio.sleep(10)
        assert len(voters(cluster)) == 5
        for instance in stopped:
            instance.start()
        await cluster.wait_until_converged()

    run_cluster_test(test, min_live_voters=5)


def test_removed_voter_rejoins_after_partition() -> None:
    """Guards against a running instance that stays without a vote after a partition.

    Another instance replaces it while it is unreachable.
    """

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(2)
        isolated = cluster.followers()[0].name
        cluster.isolate(isolated)
        cluster.cut_links |= {(isolated, "d"), ("d", isolated)}
        add_instance(cluster, "d")
        remaining = sorted({"a", "b", "c", "d"} - {isolated})
        await cluster.wait_for(lambda: voters(cluster) == remaining, 30)
        await cluster.commit_commands(5)
        cluster.cut_links.clear()
        await cluster.wait_for(lambda: len(voters(cluster)) == 4, 30)
        await cluster.commit_commands(5)

    run_cluster_test(test)


async def restart_all_voters(cluster: Cluster) -> float:
    """Kill all voters after some commits, start them again and return that time."""
    cluster.start()
    await cluster.commit_commands(5)
    for instance in cluster.instances.values():
        instance.kill()
    await anyio.sleep(1)
    cluster.start()
    return anyio.current_time()


@pytest.mark.parametrize("seed", range(5))
def test_restart_of_all_voters_elects_early(seed: int) -> None:
    """Guards against a cluster that waits a whole election timeout after a restart.

    With ``first_election_timeout_max_ms`` voters need not wait for a former leader.
    """

    async def test(cluster: Cluster) -> None:
        start_s = await restart_all_voters(cluster)
        await cluster.commit_commands(1)
        assert anyio.current_time() - start_s < 0.6
        await cluster.wait_until_converged()

    run_cluster_test(test, seed, first_election_timeout_max_ms=250)


@pytest.mark.parametrize("seed", range(5))
def test_restarted_voters_notice_at_once_that_they_are_current(seed: int) -> None:
    """Guards against readers that wait for a timer after the election.

    The timeout of the wait is far longer than the election takes.
    """

    async def test(cluster: Cluster) -> None:
        start_s = await restart_all_voters(cluster)
        for instance in cluster.instances.values():
            replica = instance.replica
            while not replica.is_current(max_contact_age_ms=1000):
                await replica.wait_for_contact_change(
                    max_contact_age_ms=1000, timeout_ms=60_000
                )
        assert anyio.current_time() - start_s < 2

    run_cluster_test(test, seed, first_election_timeout_max_ms=250)


def test_early_vote_does_not_disrupt_leader() -> None:
    """Guards against a restarted voter that unseats a leader before contact with it."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        await cluster.commit_commands(5)
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
        await cluster.wait_until_converged()

    run_cluster_test(test, first_election_timeout_max_ms=250)


def test_instance_without_bootstraps_starts_no_cluster() -> None:
    """Guards against a second cluster, started by a new instance with empty peers."""

    async def test(cluster: Cluster) -> None:
        cluster.start()
        with anyio.move_on_after(10):
            await cluster.commit_commands(1)
        assert cluster.leader() is None

    run_cluster_test(test, bootstraps=False)
