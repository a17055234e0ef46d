"""Tests of the gates of the upstreams that an instance owns."""

from dataclasses import replace

import anyio
import pytest

from cuminbend.exceptions import RunState, SuspectError, UnavailableError
from cuminbend.messages import OwnedUpstream, WorkKind
from cuminbend.upstreams import GateTable
from cuminbend.upstreams.tests.fakes import ANNOUNCEMENT, GateHarness, on_trio

SEARCH, CANARY = WorkKind.SEARCH, WorkKind.CANARY
REFUSED = ("UnavailableError", RunState.NOT_RUN)


class TableHarness(GateHarness):
    """A table of gates with fake ports."""

    def __init__(self) -> None:
        super().__init__()
        self.table = GateTable(**self.ports)
        self.run = self.table.run

    def grant(
        self, upstream: str = "u1", grant_id: int = 1, data_centre: str = "dc1"
    ) -> None:
        announcement = replace(ANNOUNCEMENT, upstream=upstream, data_centre=data_centre)
        self.table.add_upstream(OwnedUpstream(upstream, grant_id, 5), announcement)


async def check_requests_need_a_grant() -> None:
    harness = TableHarness()
    await harness.send("before")
    harness.grant()
    await harness.send("owned")
    async with anyio.create_task_group() as group:
        group.start_soon(harness.send, "running")
        await anyio.sleep(0.005)
        group.start_soon(harness.table.release_upstream, "u1")
        await anyio.sleep(0.001)
        await harness.send("releasing")
        harness.grant(grant_id=2)
        await harness.send("regranted")
    await harness.send("again")
    harness.grant(grant_id=3)
    assert (await harness.table.release_upstream("u1")).limit == 1
    await harness.send("after")
    refused = {
        name for name in harness.outcomes if harness.outcome_and_state(name) == REFUSED
    }
    assert refused == {"before", "releasing", "regranted", "after"}
    assert harness.upstream.received_ids == ["owned", "running", "again"]
    with pytest.raises(UnavailableError) as refusal:
        await harness.table.release_upstream("u1")
    assert refusal.value.retry_after_ms


@on_trio
async def test_only_owner_sends_requests() -> None:
    """Guards against two instances that send requests to one upstream."""
    await check_requests_need_a_grant()


def test_gates_run_on_asyncio() -> None:
    """Guards against code that runs only on trio; the daemon uses asyncio."""
    anyio.run(check_requests_need_a_grant, backend="asyncio")


@on_trio
async def test_queued_requests_are_refused_when_data_centre_goes_out_of_service() -> (
    None
):
    """Guards against new requests to a data centre that is taken out of service."""
    harness = TableHarness()
    harness.grant("u1")
    harness.grant("u2", data_centre="dc2")
    requests = [
        (name + upstream, SEARCH, 1000, "m", upstream)
        for name in "ab"
        for upstream in ("u1", "u2")
    ]
    async with anyio.create_task_group() as group:
        group.start_soon(harness.send_all, *requests)
        await anyio.sleep(0.005)
        harness.out_of_service.add("dc2")
        harness.table.on_configuration_changed()
    await harness.send("cu2", SEARCH, 1000, "m", "u2")
    refused = {
        name for name in harness.outcomes if harness.outcome_and_state(name) == REFUSED
    }
    assert refused == {"bu2", "cu2"}
    assert harness.ended_ms["bu2"] == pytest.approx(5, abs=0.1)


@on_trio
async def test_suspect_of_one_upstream_is_refused_at_others() -> None:
    """Guards against a retry that crashes another upstream of the same owner."""
    harness = TableHarness()
    harness.grant("u1")
    harness.grant("u2")
    harness.upstream.script["a1"] = "crash"
    await harness.send("a1", CANARY)
    refusal = await harness.send("a2", CANARY, 1000, "m", "u2")
    assert isinstance(refusal, SuspectError)
    assert refusal.first_upstream == "u1"
    assert harness.table.dump()["suspects"] == 1
