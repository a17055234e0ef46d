"""Canaries, and requests that crash upstreams."""

import random
from typing import Any

import anyio
import pytest

from cuminbend.crashes import compute_fingerprint
from cuminbend.exceptions import (
    OverloadedError,
    QuarantinedError,
    RequestFailedError,
    RunState,
    SuspectError,
    UnavailableError,
    UpstreamErrorKind,
)
from cuminbend.messages import ShardReply, ShardRequest, WorkKind
from cuminbend.query._canary import list_candidates
from cuminbend.query.tests._cluster import (
    OLD,
    WIDE,
    Cluster,
    replicated_cluster,
    run_on_trio,
    search,
    search_request,
    upstream_error,
)

FINGERPRINT = compute_fingerprint("fit", b"q")
KEYS = [("fit", shard) for shard in range(4)]


def fail_first(cluster: Cluster, *errors: RequestFailedError) -> None:
    """Have the first attempts fail with the given errors."""
    left = list(errors)

    async def script(request: ShardRequest) -> None:
        if left:
            raise left.pop(0)

    cluster.script = script


FAILURES = {
    "unavailable": UnavailableError("gone; try later"),
    "overloaded": OverloadedError("full; try later"),
    "suspect": SuspectError("f1", first_upstream="fit-9-z"),
    "quarantined": QuarantinedError("broke two", run_state=RunState.RAN),
    "owner lost": UnavailableError("lost; try later", run_state=RunState.UNKNOWN),
    **{str(kind): upstream_error(kind) for kind in UpstreamErrorKind},
}

CANARY_CASES = [
    (("connect",), "canary canary search search search", None),
    (("shed", "draining"), "canary canary canary search search search", None),
    (("unavailable", "overloaded"), "canary canary canary search search search", None),
    (("timeout",), "canary canary search search search", None),
    (("reset",), "canary suspect search search search", None),
    (("reset", "shed"), "canary suspect suspect search search search", None),
    (("reset", "reset"), "canary suspect", QuarantinedError),
    (("reset", "timeout"), "canary suspect", UnavailableError),
    (("suspect",), "canary suspect search search search", None),
    (("suspect", "reset"), "canary suspect", QuarantinedError),
    (("quarantined",), "canary", QuarantinedError),
    (("owner lost",), "canary canary search search search", None),
    (("owner lost", "reset"), "canary canary", UnavailableError),
]


@pytest.mark.parametrize(("failures", "kinds", "error"), CANARY_CASES)
def test_failed_canary(
    failures: tuple[str, ...], kinds: str, error: type[RequestFailedError] | None
) -> None:
    """Guards against a third upstream crashed, and canaries given up too early."""
    cluster = replicated_cluster()
    fail_first(cluster, *(FAILURES[name] for name in failures))
    if error is None:
        assert search(cluster).shards_answered == 4
    else:
        with pytest.raises(error) as caught:
            search(cluster)
        assert caught.value.run_state is not RunState.NOT_RUN
    assert cluster.sent_kinds() == kinds.split()
    names = [sent.request.upstream for sent in cluster.sent]
    assert len(set(names[: len(failures) + 1])) == len(failures) + (error is None)


def test_first_refusal_of_a_canary_needs_no_retry_token() -> None:
    """Guards against searches without any answer while the retry budget is empty."""
    cluster = replicated_cluster()
    fail_first(cluster, FAILURES["connect"])

    answer = search(cluster, settings={"retry_burst": 0.0})
    assert answer.shards_answered == 4


def test_candidates_are_in_the_same_order_everywhere() -> None:
    """Guards against instances that try one request on different upstreams."""
    cluster = replicated_cluster()
    orders = set()
    for seed in range(10):
        names = list(cluster.upstreams)
        random.Random(seed).shuffle(names)
        cluster.upstreams = {name: cluster.upstreams[name] for name in names}
        found = list_candidates(
            cluster, FINGERPRINT, KEYS[seed % 4 :] + KEYS[:seed], OLD
        )
        orders.add(tuple(dict.fromkeys(item.upstream for item in found)))
    assert len(orders) == 1
    first = {
        list_candidates(cluster, compute_fingerprint("fit", b"%d" % i), KEYS, OLD)[
            0
        ].key
        for i in range(50)
    }
    assert len(first) == 4


def test_crashing_request_reaches_two_upstreams() -> None:
    """Guards against a crashing request that is repeated or sent many times at once."""
    cluster = replicated_cluster()
    crashed = set()

    async def script(request: ShardRequest) -> None:
        await anyio.sleep(0.004)
        crashed.add(request.upstream)
        raise upstream_error(UpstreamErrorKind.RESET)

    cluster.script = script

    async def main() -> None:
        coordinator = cluster.coordinator()

        async def ask() -> None:
            with pytest.raises(QuarantinedError):
                await coordinator.search(search_request())

        for _ in range(3):
            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(ask)
        cluster.quarantined = frozenset({FINGERPRINT})
        await cluster.pause(20_000)
        await ask()

    run_on_trio(main)
    assert len(crashed) == len(cluster.sent) == 2


def test_equal_searches_share_a_canary() -> None:
    """Guards against one canary per caller, and a canary pass that never expires."""
    cluster = replicated_cluster()

    async def main() -> list[int]:
        coordinator = cluster.coordinator(max_fingerprints=2, min_hedge_delay_ms=10.0)
        counts = []

        async def ask(body: bytes) -> None:
            answer = await coordinator.search(search_request(body=body))
            assert answer.shards_answered == 4

        async def ask_together(*bodies: bytes) -> None:
            before = cluster.sent_kinds().count("canary")
            async with anyio.create_task_group() as group:
                for body in bodies:
                    group.start_soon(ask, body)
            counts.append(cluster.sent_kinds().count("canary") - before)

        await ask_together(b"q", b"q", b"q", b"q")
        await ask_together(b"q")
        await cluster.pause(61_000)
        await ask_together(b"q")
        await ask_together(b"r", b"s")
        await ask_together(b"q")
        return counts

    assert run_on_trio(main) == [1, 0, 1, 2, 1]


def test_canary_pass_is_not_valid_for_another_snapshot() -> None:
    """Guards against a search of a new index without a canary on it first."""
    cluster = replicated_cluster()

    async def main() -> None:
        coordinator = cluster.coordinator()
        await coordinator.search(search_request())
        for shard in range(6):
            cluster.add_upstream(shard, "w", WIDE)
        await coordinator.search(search_request())

    run_on_trio(main)
    assert cluster.sent_kinds().count("canary") == 2


def test_waiting_search_runs_the_canary_after_the_first_is_cancelled() -> None:
    """Guards against searches that wait for a canary of a cancelled search."""
    cluster = replicated_cluster()

    async def main() -> None:
        coordinator = cluster.coordinator()

        async def search_and_cancel() -> None:
            with anyio.move_on_after(0.001):
                await coordinator.search(search_request())

        async with anyio.create_task_group() as group:
            group.start_soon(search_and_cancel)
            await cluster.pause(0.5)
            answer = await coordinator.search(search_request())
            assert answer.shards_answered == 4

    run_on_trio(main)
    assert cluster.sent_kinds()[:2] == ["canary", "canary"]


@pytest.mark.parametrize("first_ends", ["slow", "reset"])
def test_slow_canary_is_hedged_once(first_ends: str) -> None:
    """Guards against a slow canary that delays the whole search."""
    cluster = replicated_cluster()

    async def script(request: ShardRequest) -> None:
        if len(cluster.sent) == 1:
            await anyio.sleep(0.2 if first_ends == "slow" else 0.022)
            raise upstream_error(UpstreamErrorKind.RESET)

    cluster.script = script
    answer = search(cluster)
    assert (answer.shards_answered, answer.hedges) == (4, 1)
    assert cluster.sent_kinds() == ["canary", "canary", "search", "search", "search"]
    assert answer.elapsed_ms < 50


def test_known_suspect_runs_alone_and_is_cleared() -> None:
    """Guards against a normal attempt for a request that crashed an upstream."""
    cluster = replicated_cluster()
    first = list_candidates(cluster, FINGERPRINT, KEYS, OLD)[0].upstream
    cluster.suspects = {FINGERPRINT: first}

    async def main() -> None:
        coordinator = cluster.coordinator()
        for _ in range(2):
            answer = await coordinator.search(search_request())
            assert answer.shards_answered == 4

    run_on_trio(main)
    assert cluster.sent_kinds()[:2] == ["suspect", "search"]
    assert cluster.sent_kinds().count("suspect") == 1
    assert cluster.sent[0].request.upstream != first


def test_suspect_found_during_the_fan_out() -> None:
    """Guards against a fan-out that continues with a request that crashes upstreams."""
    cluster = replicated_cluster()
    state: dict[str, Any] = {"suspect": True}

    async def script(request: ShardRequest) -> ShardReply | None:
        if request.kind is WorkKind.SUSPECT:
            state["suspect"] = False
        elif request.kind is not WorkKind.CANARY and state["suspect"]:
            raise SuspectError("f1", first_upstream="fit-9-z")
        return None

    cluster.script = script
    assert search(cluster).shards_answered == 4
    assert cluster.sent_kinds().count("suspect") == 1


def test_single_upstream_is_not_tried_twice() -> None:
    """Guards against running a crashing request again on the upstream it crashed."""
    cluster = Cluster()
    cluster.add_upstream(0, "x", OLD)
    fail_first(cluster, FAILURES["reset"])
    with pytest.raises(UnavailableError, match="no second upstream"):
        search(cluster)
    assert len(cluster.sent) == 1
