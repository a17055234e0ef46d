"""Selection of the snapshot, and restarts under another one."""

from collections.abc import Callable

import pytest

from cuminbend.exceptions import UpstreamErrorKind
from cuminbend.messages import Holding, Snapshot
from cuminbend.query.tests._cluster import (
    NEW,
    OLD,
    WIDE,
    Cluster,
    replicated_cluster,
    run_on_trio,
    search,
    search_request,
)


def announce_new_snapshot(
    cluster: Cluster, *names: str, also_old: bool = False
) -> None:
    """Have upstreams announce the new snapshot, instead of or besides the old one."""
    for name in names:
        shard = int(name.split("-")[1])
        old = (Holding(OLD, shard),) if also_old else ()
        cluster.set_holdings(name, Holding(NEW, shard), *old)


def update_replicas(cluster: Cluster, replicas: str, shards: range = range(4)) -> None:
    announce_new_snapshot(cluster, *(f"fit-{s}-{r}" for s in shards for r in replicas))


def add_wide_shards(cluster: Cluster, shards: int) -> None:
    for shard in range(shards):
        cluster.add_upstream(shard, "w", WIDE)


SNAPSHOT_CASES: list[tuple[str, Callable[[Cluster], None], Snapshot, int]] = [
    ("nothing changed", lambda c: None, OLD, 4),
    ("some replicas updated", lambda c: update_replicas(c, "x", range(2)), OLD, 4),
    ("one replica of each shard updated", lambda c: update_replicas(c, "x"), NEW, 4),
    (
        "all replicas of three shards updated",
        lambda c: update_replicas(c, "xy", range(3)),
        NEW,
        3,
    ),
    (
        "all replicas of one shard updated",
        lambda c: update_replicas(c, "xy", range(1)),
        OLD,
        3,
    ),
    ("new partitioning incomplete", lambda c: add_wide_shards(c, 5), OLD, 4),
    ("new partitioning complete", lambda c: add_wide_shards(c, 6), WIDE, 6),
]


@pytest.mark.parametrize(
    ("change", "snapshot", "answered"),
    [case[1:] for case in SNAPSHOT_CASES],
    ids=[case[0] for case in SNAPSHOT_CASES],
)
def test_newest_full_snapshot_is_pinned(
    change: Callable[[Cluster], None], snapshot: Snapshot, answered: int
) -> None:
    """Guards against lost coverage or old results while an index changes."""
    cluster = replicated_cluster()
    change(cluster)
    answer = search(cluster)
    assert (answer.snapshot, answer.shards_answered) == (snapshot, answered)
    assert answer.shards_total == int(snapshot.partitioning[1:])
    assert {sent.request.snapshot for sent in cluster.sent} == {snapshot}


def unannounced_update_cluster() -> Cluster:
    """Return a cluster where shard 1 serves a new index without announcing it."""
    cluster = replicated_cluster()
    for shard in (0, 2, 3):
        announce_new_snapshot(
            cluster, f"fit-{shard}-x", f"fit-{shard}-y", also_old=True
        )
    cluster.serving = {"fit-1-x": NEW, "fit-1-y": NEW}
    return cluster


@pytest.mark.parametrize("canary", [True, False])
def test_lost_snapshot_restarts_the_query(canary: bool) -> None:
    """Guards against lost coverage and mixed snapshots after a late announcement."""
    cluster = unannounced_update_cluster()
    assert cluster.configuration is not None
    object.__setattr__(cluster.configuration.services[0], "canary", canary)

    async def announce(request: object) -> None:
        if len(cluster.sent) == 3:
            announce_new_snapshot(cluster, "fit-1-x", "fit-1-y", also_old=True)

    cluster.script = announce
    answer = search(cluster)
    assert (answer.snapshot, answer.shards_answered) == (NEW, 4)
    assert {reply.body for reply in answer.replies} == {b"2026-12-02/p4"}


def test_better_covered_answer_is_given_after_a_restart() -> None:
    """Guards against a restart that reduces the coverage of the answer."""
    cluster = unannounced_update_cluster()
    announce_new_snapshot(cluster, "fit-1-x", "fit-1-y", also_old=True)
    cluster.serving = dict.fromkeys(cluster.upstreams, OLD)
    for shard in (0, 1, 2):
        cluster.serving.pop(f"fit-{shard}-x")
    answer = search(cluster)
    # The new snapshot fails at shard 3, whose replicas still serve the old one.
    assert (answer.snapshot, answer.shards_answered) == (OLD, 4)


def test_first_run_is_resumed_when_the_restart_is_worse() -> None:
    """Guards against coverage lost because a run was ended in favour of a worse one."""
    cluster = replicated_cluster()
    update_replicas(cluster, "x")
    cluster.latency_ms["fit-0-x"] = 80.0
    cluster.faults["fit-1-x"] = UpstreamErrorKind.CONNECT
    cluster.serving = {"fit-0-y": NEW, "fit-2-y": NEW}
    answer = search(cluster, body=b"3")
    assert (answer.snapshot, answer.missing) == (NEW, (("fit", 1),))
    assert {reply.body for reply in answer.replies} == {b"2026-12-02/p4"}
    assert {sent.request.snapshot for sent in cluster.sent} == {OLD, NEW}


def test_snapshot_of_the_caller_is_kept() -> None:
    """Guards against an answer from a snapshot that the caller did not ask for."""
    cluster = unannounced_update_cluster()
    announce_new_snapshot(cluster, "fit-1-x", "fit-1-y", also_old=True)
    answer = search(cluster, snapshot=OLD)
    assert (answer.snapshot, answer.missing) == (OLD, (("fit", 1),))


def test_upstream_with_mismatch_is_avoided_for_some_time() -> None:
    """Guards against a useless attempt per search, and an upstream avoided forever."""
    cluster = replicated_cluster()
    cluster.serving["fit-1-x"] = NEW

    async def main() -> list[int]:
        coordinator = cluster.coordinator()
        attempt_counts = []
        for pause_ms in (0, 100, 100, 3000):
            await cluster.pause(pause_ms)
            before = len(cluster.sent)
            answer = await coordinator.search(search_request(body=b"%d" % before))
            assert answer.shards_answered == 4
            names = [sent.request.upstream for sent in cluster.sent[before:]]
            attempt_counts.append(names.count("fit-1-x"))
            assert sorted(coordinator.dump()) == [
                "admission",
                "budgets",
                "doubts",
                "fingerprints",
                "in_progress",
                "upstreams",
            ]
        return attempt_counts

    assert run_on_trio(main) == [1, 0, 0, 1]
