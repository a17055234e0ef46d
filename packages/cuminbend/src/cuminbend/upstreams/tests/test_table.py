"""Gates of the upstreams that an instance owns."""

from dataclasses import replace
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from cuminbend.exceptions import RequestFailedError, RunState, UnavailableError
from cuminbend.messages import OwnedUpstream, ShardReply, ShardRequest, WorkKind
from cuminbend.upstreams import GateSettings, GateTable, SuspectError
from cuminbend.upstreams.tests.fakes import (
    ANNOUNCEMENT,
    FakeControl,
    FakeLease,
    FakeShares,
    FakeUpstream,
    LoopClock,
    run,
)


class Table:
    """A table with its stand-ins."""

    def __init__(self) -> None:
        self.upstream = FakeUpstream()
        self.out: set[str] = set()
        self.table = GateTable(
            settings=GateSettings(),
            transport=self.upstream,
            clock=LoopClock(),
            random=Random(1),
            lease=FakeLease(),
            control=FakeControl(),
            shares=FakeShares(),
            data_centre_in_service=lambda name: name not in self.out,
        )

    def grant(self, upstream: str = "u1", grant_id: int = 1, dc: str = "dc1") -> None:
        announcement = replace(ANNOUNCEMENT, upstream=upstream, data_centre=dc)
        self.table.granted(OwnedUpstream(upstream, grant_id, 5), announcement)

    async def send(
        self, name: str, upstream: str = "u1", **fields: Any
    ) -> ShardReply | RequestFailedError:
        request = ShardRequest(
            name, name, "m", "s", upstream, WorkKind.SEARCH, b"q", 1000.0
        )
        try:
            return await self.table.run(replace(request, **fields))
        except RequestFailedError as error:
            return error


def refused(outcome: ShardReply | RequestFailedError) -> bool:
    return (
        isinstance(outcome, UnavailableError) and outcome.run_state is RunState.NOT_RUN
    )


async def own_and_lose() -> None:
    table = Table()
    outcome = await table.send("before")
    assert refused(outcome)
    assert outcome.retry_after_ms
    table.grant()
    assert isinstance(await table.send("owned"), ShardReply)
    async with anyio.create_task_group() as group:
        group.start_soon(table.send, "running")
        await anyio.sleep(0.005)
        group.start_soon(table.table.revoked, "u1")
        await anyio.sleep(0.001)
        assert refused(await table.send("releasing"))
        table.grant(grant_id=2)
        assert refused(await table.send("still releasing"))
    assert table.upstream.seen == ["owned", "running"]
    assert isinstance(await table.send("again"), ShardReply)
    table.grant(grant_id=3)
    assert (await table.table.revoked("u1")).limit == 1
    assert refused(await table.send("after"))
    with pytest.raises(UnavailableError):
        await table.table.revoked("u1")


def test_only_an_owner_sends_work() -> None:
    """Guards against two instances that send work to one upstream."""
    run(own_and_lose)


def test_the_gates_run_on_asyncio_too() -> None:
    """Guards against code that only trio runs; the daemon uses asyncio."""
    anyio.run(own_and_lose, backend="asyncio")


def test_queued_work_for_a_data_centre_that_is_taken_out_is_dropped_at_once() -> None:
    """Guards against new work in a data centre that operators take out."""

    async def main() -> None:
        table = Table()
        table.grant("u1")
        table.grant("u2", dc="dc2")
        ended: dict[str, float] = {}

        async def send(name: str, upstream: str) -> None:
            outcome = await table.send(name, upstream)
            ended[name] = anyio.current_time() * 1000 if refused(outcome) else -1

        async with anyio.create_task_group() as group:
            for name in ("a", "b"):
                for upstream in ("u1", "u2"):
                    group.start_soon(send, name + upstream, upstream)
                    await anyio.lowlevel.checkpoint()
            await anyio.sleep(0.005)
            table.out.add("dc2")
            table.table.configuration_changed()
        assert ended == {"au1": -1, "au2": -1, "bu1": -1, "bu2": pytest.approx(5)}
        assert refused(await table.send("later", "u2"))

    run(main)


def test_a_suspect_of_one_upstream_is_refused_at_the_others() -> None:
    """Guards against a retry that breaks the next upstream of the same owner."""

    async def main() -> None:
        table = Table()
        table.grant("u1")
        table.grant("u2")
        table.upstream.script["a1"] = "crash"
        await table.send("a1", kind=WorkKind.CANARY, fingerprint="a")
        second = await table.send("a2", "u2", kind=WorkKind.CANARY, fingerprint="a")
        assert isinstance(second, SuspectError)
        assert second.first_upstream == "u1"
        assert table.table.dump()["suspects"] == 1

    run(main)
