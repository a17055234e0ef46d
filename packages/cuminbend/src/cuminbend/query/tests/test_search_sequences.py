"""Sequences of searches: a recorded one, and random ones checked reply by reply."""

import random
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest
from syrupy.assertion import SnapshotAssertion

from cuminbend.exceptions import RequestFailedError, UpstreamErrorKind
from cuminbend.messages import Holding, ShardReply, ShardRequest, Snapshot
from cuminbend.query import SearchAnswer
from cuminbend.query.tests._cluster import (
    NEW,
    OLD,
    WIDE,
    replicated_cluster,
    run_on_trio,
    search_request,
    upstream_error,
)

ERROR_KINDS = [
    kind for kind in UpstreamErrorKind if kind is not UpstreamErrorKind.RESET
]


def describe(answer: SearchAnswer) -> str:
    used = " ".join(f"{item.shard}{item.upstream[-1]}" for item in answer.replies)
    return (
        f"{answer.snapshot.index_version}/{answer.snapshot.partitioning} "
        f"{answer.shards_answered}/{answer.shards_total} [{used}] "
        f"{answer.elapsed_ms:.1f} ms, {answer.attempts} attempts, "
        f"{answer.hedges} hedges, missing {[key[1] for key in answer.missing]}"
    )


def test_answers_during_an_index_change(snapshot: SnapshotAssertion) -> None:
    """Guards against unnoticed changes of behaviour while replicas load a new index."""
    cluster = replicated_cluster()
    lines: list[str] = []

    def roll(replica: str, shard: int, *, announced: bool) -> Callable[[], None]:
        """Return a function that makes a replica serve the new index."""

        def change() -> None:
            name = f"fit-{shard}-{replica}"
            cluster.serving[name] = NEW
            if announced:
                cluster.set_holdings(name, Holding(NEW, shard))

        return change

    events: list[tuple[str, Callable[[], None]]] = [
        ("0x slow", lambda: cluster.latency_ms.update({"fit-0-x": 80.0})),
        *((f"{s}x rolls, announced", roll("x", s, announced=True)) for s in range(3)),
        ("3x rolls, not announced", roll("x", 3, announced=False)),
        ("3x announced", roll("x", 3, announced=True)),
        ("1x refuses", lambda: cluster.faults.update({"fit-1-x": ERROR_KINDS[0]})),
        ("0y rolls, not announced", roll("y", 0, announced=False)),
        *((f"{s}y rolls, announced", roll("y", s, announced=True)) for s in range(4)),
        ("2x and 2y gone", lambda: [cluster.upstreams.pop(f"fit-2-{r}") for r in "xy"]),
    ]

    async def main() -> None:
        coordinator = cluster.coordinator()
        for number, (text, change) in enumerate([("start", lambda: None), *events]):
            change()
            for member in ("fast", "full"):
                request = search_request(member=member, body=b"%d" % (number % 4))
                answer = await coordinator.search(request)
                lines.append(f"{text}: {member}: {describe(answer)}")
                await cluster.pause(40)

    run_on_trio(main)
    assert lines == snapshot


class RandomSearches:
    """Searches against upstreams that are slow, fail or answer wrongly at random.

    The body of a reply is an index into ``served``, which holds the request, the
    snapshot and the completeness of each reply.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.cluster = replicated_cluster(OLD, script=self.answer)
        for shard in range(6):
            self.cluster.add_upstream(shard, "w", OLD if shard < 4 else WIDE)
        self.served: list[tuple[ShardRequest, Snapshot, bool]] = []
        self.replies: list[ShardReply] = []
        self.answers = 0
        self.full_answers = 0

    async def answer(self, request: ShardRequest) -> ShardReply:
        draw = self.random.random
        await anyio.sleep(draw() * 0.006 if draw() < 0.95 else draw() * 0.5)
        if draw() < 0.04:
            raise upstream_error(self.random.choice(ERROR_KINDS))
        if self.replies and draw() < 0.02:
            return self.random.choice(self.replies)
        assert request.snapshot is not None
        served_snapshot = self.cluster.serving.get(request.upstream, request.snapshot)
        self.served.append((request, served_snapshot, draw() < 0.95))
        reply = replace(
            self.cluster.reply(request),
            body=b"%d" % (len(self.served) - 1),
            complete=self.served[-1][2],
        )
        self.replies.append(reply)
        return reply

    def change_random_upstream(self) -> None:
        name = self.random.choice(sorted(self.cluster.upstreams))
        shard = int(name.split("-")[1])
        snapshot = self.random.choice([OLD, NEW, WIDE] if shard < 4 else [WIDE])
        if self.random.random() < 0.5:
            self.cluster.serving[name] = snapshot
        else:
            self.cluster.serving.pop(name, None)
            self.cluster.set_holdings(name, Holding(snapshot, shard))

    def check_answer(self, answer: SearchAnswer, body: bytes) -> None:
        self.answers += 1
        self.full_answers += answer.shards_answered == answer.shards_total
        total = int(answer.snapshot.partitioning[1:])
        keys = {("fit", shard) for shard in range(total)}
        replied = [(reply.service, reply.shard) for reply in answer.replies]
        assert answer.shards_total == total
        assert len(set(replied)) == len(replied)
        assert set(replied) | set(answer.missing) == keys
        assert len(replied) + len(answer.missing) == total
        complete = 0
        for reply in answer.replies:
            request, snapshot, is_complete = self.served[int(reply.body)]
            assert (request.body, snapshot) == (body, answer.snapshot)
            assert (request.service, request.shard) == (reply.service, reply.shard)
            assert request.upstream == reply.upstream
            assert is_complete == ((reply.service, reply.shard) not in answer.partial)
            complete += is_complete
        assert complete == answer.shards_answered
        assert answer.elapsed_ms < 300


@pytest.mark.parametrize("seed", range(25))
def test_no_answer_mixes_snapshots_or_overstates_coverage(seed: int) -> None:
    """Guards against wrong answers when faults of several kinds coincide."""
    searches = RandomSearches(seed)

    async def main() -> None:
        coordinator = searches.cluster.coordinator(seed)

        async def ask(number: int) -> None:
            body = b"%d" % number
            member = searches.random.choice(["fast", "full"])
            request = search_request(member=member, body=body, deadline_ms=300)
            try:
                answer = await coordinator.search(request)
            except RequestFailedError:
                return
            searches.check_answer(answer, body)

        async with anyio.create_task_group() as group:
            for number in range(60):
                if number % 5 == 0:
                    searches.change_random_upstream()
                group.start_soon(ask, number)
                await searches.cluster.pause(searches.random.random() * 30)

    run_on_trio(main, seed)
    assert searches.answers >= 50
    assert searches.full_answers >= 10
    assert {sent.ended for sent in searches.cluster.sent}.isdisjoint({"in flight"})


def test_search_on_asyncio() -> None:
    """Guards against code that only runs on trio."""
    cluster = replicated_cluster()
    cluster.latency_ms = {"fit-1-x": 60.0, "fit-2-x": 60.0}

    async def main() -> SearchAnswer:
        return await cluster.coordinator().search(search_request())

    assert anyio.run(main, backend="asyncio").shards_answered == 4
