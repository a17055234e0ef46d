"""Order of the work that waits for one upstream."""

from collections import Counter
from typing import Any

import anyio
import pytest

from cuminbend.exceptions import RunState
from cuminbend.messages import WorkKind
from cuminbend.upstreams.tests.fakes import Bench, on_trio

SEARCH = WorkKind.SEARCH
OVERLOADED = ("OverloadedError", RunState.NOT_RUN)


@on_trio
async def test_a_member_gets_its_work_by_deadline() -> None:
    """Guards against an urgent request that waits behind patient ones."""
    bench = Bench()
    budgets = [1000, 900, 500, 700, 300, 600]
    await bench.send_all(*((f"{budget}", SEARCH, budget) for budget in budgets))
    assert bench.upstream.seen == ["1000", "300", "500", "600", "700", "900"]


@pytest.mark.parametrize(
    ("shares", "expected"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 12, "b": 12}),
        ({"a": 3.0, "b": 1.0}, {"a": 18, "b": 6}),
        ({"a": 0.0, "b": 1.0}, {"a": 0, "b": 24}),
    ],
)
@on_trio
async def test_members_are_served_by_share(shares: Any, expected: Any) -> None:
    """Guards against the member that asks most getting most."""
    bench = Bench(queue_length=100)
    bench.shares.update(shares)
    await bench.send("warm")
    requests = [(f"a{i}", SEARCH, 2000, "a") for i in range(60)]
    await bench.send_all(*requests, *((f"b{i}", SEARCH, 2000, "b") for i in range(30)))
    # The first two started before the other member had asked.
    first = Counter(name[0] for name in bench.upstream.seen[2:26])
    # Deficit round robin may be one request ahead of the exact share.
    assert {m: first[m] for m in "ab"} == pytest.approx(expected, abs=1)


@on_trio
async def test_a_flood_does_not_delay_another_member_and_unused_share_is_lent() -> None:
    """Guards against one member at many times its share."""
    bench = Bench(queue_length=12)
    async with anyio.create_task_group() as group:
        flood = [(f"f{i}", SEARCH, 1000, "flood") for i in range(100)]
        group.start_soon(bench.send_all, *flood)
        await anyio.sleep(0.045)
        await bench.send("calm", SEARCH, 100, "calm")
    # One exchange of 10 ms is running and at most one more goes first.
    assert bench.ended_ms["calm"] - 45 <= 30
    refused = [name for name in bench.outcomes if bench.failure(name)[0] != "ok"]
    assert len(refused) == 100 - 1 - 12
    assert {bench.failure(name) for name in refused} == {OVERLOADED}
    assert max(bench.ended_ms[name] for name in refused) < 1
    outcomes: list[Any] = [bench.outcomes[name] for name in refused]
    assert all(outcome.retry_after_ms for outcome in outcomes)


@pytest.mark.parametrize(
    ("first", "waits_ms"),
    [("ok", [10, 20, 30, 25, 0, 0]), (90.0, [90, 25, 25, 25, 0, 0])],
)
@on_trio
async def test_a_request_that_cannot_start_in_time_is_refused_at_once(
    first: Any, waits_ms: list[float]
) -> None:
    """Guards against work whose answer nobody waits for any more."""
    bench = Bench(slots=1, min_time_limit_ms=200)
    await bench.warm_up()
    now_ms = bench.clock.monotonic_ms()
    bench.upstream.script["r0"] = first
    await bench.send_all(*((f"r{i}", SEARCH, 35 if i else 200) for i in range(6)))
    # At 10 ms each, the third starts at 20 ms and is the last to end by 35 ms.
    ended_ms = [bench.ended_ms[f"r{i}"] - now_ms for i in range(6)]
    assert ended_ms == pytest.approx(waits_ms, abs=0.1)
    assert {bench.failure(f"r{i}") for i in (3, 4, 5)} == {OVERLOADED}
    assert len(bench.upstream.seen) == sum(1 for w in waits_ms if w not in (0, 25))
