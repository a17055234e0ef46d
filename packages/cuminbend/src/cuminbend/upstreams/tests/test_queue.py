"""Tests of the order of the requests that wait for one upstream."""

from collections import Counter
from typing import Any

import anyio
import pytest

from cuminbend.exceptions import RunState
from cuminbend.messages import WorkKind
from cuminbend.upstreams.tests.fakes import GateHarness, on_trio

SEARCH = WorkKind.SEARCH
OVERLOADED = ("OverloadedError", RunState.NOT_RUN)


@on_trio
async def test_requests_of_a_member_are_served_by_deadline() -> None:
    """Guards against an urgent request that waits behind less urgent ones."""
    harness = GateHarness()
    budgets = [1000, 900, 500, 700, 300, 600]
    await harness.send_all(*((f"{budget}", SEARCH, budget) for budget in budgets))
    assert harness.upstream.received_ids == ["1000", "300", "500", "600", "700", "900"]


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
    """Guards against a member that gets a larger share by sending more requests."""
    harness = GateHarness(member_queue_length=100)
    harness.shares.update(shares)
    await harness.send("warm")
    requests = [(f"a{i}", SEARCH, 2000, "a") for i in range(60)]
    await harness.send_all(
        *requests, *((f"b{i}", SEARCH, 2000, "b") for i in range(30))
    )
    # The first two requests started before those of the other member arrived.
    served_counts = Counter(name[0] for name in harness.upstream.received_ids[2:26])
    # Deficit round robin may be one request ahead of the exact share.
    assert {member: served_counts[member] for member in "ab"} == pytest.approx(
        expected, abs=1
    )


@on_trio
async def test_flood_does_not_delay_another_member() -> None:
    """Guards against a member that sends many times its share.

    The flood also uses the share that other members do not need.
    """
    harness = GateHarness(member_queue_length=12)
    async with anyio.create_task_group() as group:
        flood = [(f"f{i}", SEARCH, 1000, "flood") for i in range(100)]
        group.start_soon(harness.send_all, *flood)
        await anyio.sleep(0.045)
        await harness.send("calm", SEARCH, 100, "calm")
    # One exchange of 10 ms is running and at most one more starts before this one.
    assert harness.ended_ms["calm"] - 45 <= 30
    refused = [
        name for name in harness.outcomes if harness.outcome_and_state(name)[0] != "ok"
    ]
    assert len(refused) == 100 - 1 - 12
    assert {harness.outcome_and_state(name) for name in refused} == {OVERLOADED}
    assert max(harness.ended_ms[name] for name in refused) < 1
    outcomes: list[Any] = [harness.outcomes[name] for name in refused]
    assert all(outcome.retry_after_ms for outcome in outcomes)


@pytest.mark.parametrize(
    ("first_behaviour", "expected_end_ms"),
    [("ok", [10, 20, 30, 25, 0, 0]), (90.0, [90, 25, 25, 25, 0, 0])],
)
@on_trio
async def test_request_that_cannot_start_in_time_is_refused_immediately(
    first_behaviour: Any, expected_end_ms: list[float]
) -> None:
    """Guards against running a request whose answer would be too late."""
    harness = GateHarness(slots=1, min_time_limit_ms=200)
    await harness.warm_up()
    now_ms = harness.clock.monotonic_ms()
    harness.upstream.script["r0"] = first_behaviour
    await harness.send_all(*((f"r{i}", SEARCH, 35 if i else 200) for i in range(6)))
    # At 10 ms each, the third request starts at 20 ms and is the last to end by 35 ms.
    ended_ms = [harness.ended_ms[f"r{i}"] - now_ms for i in range(6)]
    assert ended_ms == pytest.approx(expected_end_ms, abs=0.1)
    assert {harness.outcome_and_state(f"r{i}") for i in (3, 4, 5)} == {OVERLOADED}
    assert len(harness.upstream.received_ids) == sum(
        1 for end_ms in expected_end_ms if end_ms not in (0, 25)
    )
