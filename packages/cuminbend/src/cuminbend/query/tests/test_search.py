"""Answers of single searches."""

from collections import Counter

import anyio
import pytest

from cuminbend.exceptions import (
    InvalidRequestError,
    LeaseExpiredError,
    OverloadedError,
    RequestFailedError,
    RunState,
    UnavailableError,
    UpstreamErrorKind,
)
from cuminbend.messages import ShardRequest, Snapshot, WorkKind
from cuminbend.query.tests._cluster import (
    NEW,
    OLD,
    Cluster,
    make_configuration,
    replicated_cluster,
    run_on_trio,
    search,
    search_request,
    upstream_error,
)

INVALID_CHANGES = [
    ({"member": "nobody"}, "[[members]]"),
    ({"target": "nothing"}, "[[services]]"),
    ({"target": "orders"}, "idempotency key"),
    ({"body": b"x" * 101}, "max_body_bytes"),
    ({"deadline_ms": 0}, "above 0"),
    ({"deadline_ms": -5}, "above 0"),
    ({"deadline_ms": float("nan")}, "above 0"),
    ({"deadline_ms": 1001}, "at most 1000"),
    ({"snapshot": Snapshot("1", "p9")}, "use one of p4, p6"),
]


@pytest.mark.parametrize(("changes", "remedy"), INVALID_CHANGES)
def test_invalid_request_names_the_remedy(
    changes: dict[str, object], remedy: str
) -> None:
    """Guards against work sent for a request that has to be refused."""
    cluster = replicated_cluster()
    with pytest.raises(InvalidRequestError) as caught:
        search(cluster, **changes)
    assert remedy in str(caught.value)
    assert caught.value.run_state is RunState.NOT_RUN
    assert cluster.sent == []


def test_member_not_allowed() -> None:
    """Guards against a member that searches a service it may not use."""
    cluster = replicated_cluster()
    configuration = make_configuration()
    service = configuration.services_by_name["fit"]
    object.__setattr__(service, "members", ("full",))
    cluster.configuration = configuration
    with pytest.raises(InvalidRequestError, match="may not ask"):
        search(cluster)


def test_no_configuration_and_no_lease() -> None:
    """Guards against work sent without a lease or a configuration."""
    cluster = replicated_cluster()
    cluster.lease.valid = False
    with pytest.raises(LeaseExpiredError) as caught:
        search(cluster)
    assert caught.value.run_state is RunState.NOT_RUN
    cluster.configuration = make_configuration(without_quorum="search")
    assert search(cluster).shards_answered == 4
    cluster.configuration = None
    with pytest.raises(UnavailableError):
        search(cluster)


def test_full_answer_with_one_canary() -> None:
    """Guards against a canary whose reply is discarded or requested again."""
    cluster = replicated_cluster()
    answer = search(cluster)
    assert answer.snapshot == OLD
    assert (answer.shards_total, answer.shards_answered) == (4, 4)
    assert [reply.shard for reply in answer.replies] == [0, 1, 2, 3]
    assert answer.attempts == 4
    assert Counter(cluster.sent_kinds()) == {"canary": 1, "search": 3}
    assert len({sent.request.request_id for sent in cluster.sent}) == 4
    assert cluster.searches[0]["outcome"] == "ok"


@pytest.mark.parametrize(
    "kind", ["connect", "shed", "draining", "failed", "timeout", "owner overloaded"]
)
def test_failed_replica_is_replaced(kind: str) -> None:
    """Guards against coverage lost although another replica could answer."""
    cluster = replicated_cluster()

    async def script(request: ShardRequest) -> None:
        if request.upstream.endswith("x"):
            if kind == "owner overloaded":
                raise OverloadedError("queue full; try later")
            raise upstream_error(UpstreamErrorKind(kind))

    cluster.script = script
    answer = search(cluster)
    assert answer.shards_answered == 4
    assert {reply.upstream[-1] for reply in answer.replies} == {"y"}
    names = Counter(sent.request.upstream for sent in cluster.sent)
    assert set(names.values()) == {1}


def test_missing_shard_is_reported() -> None:
    """Guards against a total that counts only the shards found."""
    cluster = replicated_cluster()
    del cluster.upstreams["fit-2-x"], cluster.upstreams["fit-2-y"]
    answer = search(cluster)
    assert (answer.shards_total, answer.shards_answered) == (4, 3)
    assert answer.missing == (("fit", 2),)


def test_partial_reply_is_used_but_not_counted() -> None:
    """Guards against partial replies that count as full coverage."""
    cluster = replicated_cluster()
    cluster.partial = {"fit-1-x", "fit-1-y", "fit-2-x"}
    answer = search(cluster)
    assert answer.shards_answered == 3
    assert answer.partial == (("fit", 1),)
    assert answer.missing == ()
    assert len(answer.replies) == 4


def test_search_without_any_reply_fails() -> None:
    """Guards against an empty result for a search that no upstream answered."""
    cluster = replicated_cluster()
    for name in cluster.upstreams:
        cluster.faults[name] = UpstreamErrorKind.SHED
    with pytest.raises(RequestFailedError) as caught:
        search(cluster)
    assert caught.value.run_state is RunState.NOT_RUN
    with pytest.raises(UnavailableError):
        search(Cluster())


def test_reply_of_another_snapshot_is_discarded() -> None:
    """Guards against answers that mix snapshots."""
    cluster = replicated_cluster()
    cluster.serving["fit-1-x"] = NEW
    answer = search(cluster)
    assert answer.shards_answered == 4
    assert {reply.body for reply in answer.replies} == {b"2026-12-01/p4"}


def test_cancelled_search_cancels_all_attempts() -> None:
    """Guards against attempts that continue after the caller cancelled the search."""
    cluster = replicated_cluster()

    async def main() -> None:
        coordinator = cluster.coordinator()
        await coordinator.search(search_request())
        cluster.latency_ms = dict.fromkeys(cluster.upstreams, 100.0)
        with anyio.move_on_after(0.05):
            await coordinator.search(search_request())

    run_on_trio(main)
    attempts = [
        sent for sent in cluster.sent if sent.request.kind is not WorkKind.CANARY
    ]
    # The first three belong to the first search, which was answered.
    assert {sent.ended for sent in attempts[3:]} == {"cancelled"}
    assert cluster.searches[-1]["outcome"] == "cancelled"
