"""Gates of the upstreams that an instance owns."""

from dataclasses import replace

import anyio
import pytest

from cuminbend.exceptions import RunState, SuspectError, UnavailableError
from cuminbend.messages import OwnedUpstream, WorkKind
from cuminbend.upstreams import GateTable
from cuminbend.upstreams.tests.fakes import ANNOUNCEMENT, Bench, on_trio

SEARCH, CANARY = WorkKind.SEARCH, WorkKind.CANARY
REFUSED = ("UnavailableError", RunState.NOT_RUN)


class TableBench(Bench):
    """A table of gates with its stand-ins."""

    def __init__(self) -> None:
        super().__init__()
        self.table = GateTable(**self.ports)
        self.run = self.table.run

    def grant(self, upstream: str = "u1", grant_id: int = 1, dc: str = "dc1") -> None:
        announcement = replace(ANNOUNCEMENT, upstream=upstream, data_centre=dc)
        self.table.add_upstream(OwnedUpstream(upstream, grant_id, 5), announcement)


async def own_and_lose() -> None:
    bench = TableBench()
    await bench.send("before")
    bench.grant()
    await bench.send("owned")
    async with anyio.create_task_group() as group:
        group.start_soon(bench.send, "running")
        await anyio.sleep(0.005)
        group.start_soon(bench.table.release_upstream, "u1")
        await anyio.sleep(0.001)
        await bench.send("releasing")
        bench.grant(grant_id=2)
        await bench.send("regranted")
    await bench.send("again")
    bench.grant(grant_id=3)
    assert (await bench.table.release_upstream("u1")).limit == 1
    await bench.send("after")
    refused = {name for name in bench.outcomes if bench.failure(name) == REFUSED}
    assert refused == {"before", "releasing", "regranted", "after"}
    assert bench.upstream.seen == ["owned", "running", "again"]
    with pytest.raises(UnavailableError) as refusal:
        await bench.table.release_upstream("u1")
    assert refusal.value.retry_after_ms


@on_trio
async def test_only_an_owner_sends_work() -> None:
    """Guards against two instances that send work to one upstream."""
    await own_and_lose()


def test_the_gates_run_on_asyncio_too() -> None:
    """Guards against code that only trio runs; the daemon uses asyncio."""
    anyio.run(own_and_lose, backend="asyncio")


@on_trio
async def test_queued_work_is_dropped_when_its_data_centre_is_taken_out() -> None:
    """Guards against new work in a data centre that operators take out."""
    bench = TableBench()
    bench.grant("u1")
    bench.grant("u2", dc="dc2")
    work = [(n + u, SEARCH, 1000, "m", u) for n in "ab" for u in ("u1", "u2")]
    async with anyio.create_task_group() as group:
        group.start_soon(bench.send_all, *work)
        await anyio.sleep(0.005)
        bench.out_of_service.add("dc2")
        bench.table.on_configuration_changed()
    await bench.send("cu2", SEARCH, 1000, "m", "u2")
    refused = {name for name in bench.outcomes if bench.failure(name) == REFUSED}
    assert refused == {"bu2", "cu2"}
    assert bench.ended_ms["bu2"] == pytest.approx(5, abs=0.1)


@on_trio
async def test_a_suspect_of_one_upstream_is_refused_at_the_others() -> None:
    """Guards against a retry that breaks the next upstream of the same owner."""
    bench = TableBench()
    bench.grant("u1")
    bench.grant("u2")
    bench.upstream.script["a1"] = "crash"
    await bench.send("a1", CANARY)
    refusal = await bench.send("a2", CANARY, 1000, "m", "u2")
    assert isinstance(refusal, SuspectError)
    assert refusal.first_upstream == "u1"
    assert bench.table.dump()["suspects"] == 1
