"""Tests of the limit on the requests in flight at a cold upstream."""

from random import Random
from typing import Any

import anyio
import pytest

from cuminbend.messages import UpstreamState, WorkKind
from cuminbend.upstreams.tests.fakes import GateHarness, on_trio

SEARCH = WorkKind.SEARCH
WINDOW = 4


@pytest.mark.parametrize(
    ("cause", "request_count"),
    [
        ("reset", 1),
        ("connect", 1),
        ("shed", 1),
        ("restarted", 1),
        (31.0, 4),
        # Cancelled after 35 ms.
        (100.0, 4),
        ({"incarnation": 2}, 0),
        ({"state": UpstreamState.COLD}, 0),
        ("out of service", 0),
    ],
)
@on_trio
async def test_failures_and_restarts_reset_the_limit(
    cause: Any, request_count: int
) -> None:
    """Guards against full load on an upstream that became cold unannounced."""
    harness = GateHarness(limit=4, window_successes=WINDOW, reset_hold_ms=200)
    await harness.warm_up()
    assert harness.limit == 4
    harness.upstream.default = cause
    harness.upstream.confirms_cancel = True
    for i in range(request_count):
        with anyio.move_on_after(0.035):
            await harness.send(f"r{i}")
    if isinstance(cause, dict):
        harness.announce(**cause)
    elif request_count == 0:
        harness.out_of_service.add("dc1")
        harness.gate.update_data_centre()
        harness.out_of_service.clear()
        harness.gate.update_data_centre()
    assert harness.limit == 1
    harness.upstream.default = "ok"
    await harness.warm_up(2 * WINDOW)
    assert harness.limit == 1
    await anyio.sleep(0.3)
    await harness.warm_up(WINDOW - 1)
    assert harness.limit == 1
    await harness.warm_up(1)
    assert harness.limit == 2


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([10.0] * WINDOW * 3, 4),
        ([10.0] * (WINDOW * 3 - 1), 3),
        ([10.0] * WINDOW + [10.0, 10.0, 10.0, 200.0] * 3, 2),
        ([10.0] * WINDOW * 3 + [200.0, 10.0, 10.0, 10.0] * 5, 4),
        # An upstream that became permanently slower does not stay cold.
        ([10.0] * WINDOW * 3 + [40.0] * 200, 4),
    ],
)
@on_trio
async def test_windows_of_usual_latency_raise_the_limit(
    script: list[float], expected: int
) -> None:
    """Guards against growth without full windows, and resets by single stragglers."""
    harness = GateHarness(window_successes=WINDOW, initial_time_limit_ms=500)
    for i, service_ms in enumerate(script):
        harness.upstream.script[f"r{i}"] = service_ms
        await harness.send(f"r{i}", budget_ms=2000)
    assert harness.limit == expected


@on_trio
async def test_reported_load_lowers_the_limit_only() -> None:
    """Guards against relying on reported loads that are stale or wrong."""
    harness = GateHarness(limit=3)
    limits = []
    for load in (0.0, 1.0, 0.5, 0.0, 0.2):
        harness.announce(load=load)
        limits.append(harness.limit)
    assert limits == [3, 2, 2, 3, 3]
    await harness.send_all(("a",), ("b",), ("c",))
    harness.announce(load=0.75)
    assert harness.limit == 3


@pytest.mark.parametrize("behaviours", [("ok", "shed"), ("shed", "ok")])
@on_trio
async def test_reset_applies_to_admitted_requests_not_yet_sent(
    behaviours: tuple[str, str],
) -> None:
    """Guards against sending requests, or counting answers, by an outdated limit."""
    harness = GateHarness(limit=3, window_successes=1, reset_hold_ms=1)
    harness.upstream.script = {
        "a": behaviours[0],
        "b": behaviours[1],
        "slow": 50.0,
        "d": "stall",
    }
    async with anyio.create_task_group() as group:
        group.start_soon(harness.send_all, ("a",), ("b",), ("slow",), ("d",), ("e",))
        await anyio.sleep(0.055)
        assert harness.limit == 1
        assert harness.upstream.started_ms["d"] == pytest.approx(50, abs=0.1)
        assert "e" not in harness.upstream.received_ids
        group.cancel_scope.cancel()


@pytest.mark.parametrize("confirms", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
@on_trio
async def test_abandoned_request_counts_until_its_deadline(
    confirms: bool, cancelled: bool
) -> None:
    """Guards against a second request while a cold upstream still runs the first."""
    harness = GateHarness(initial_time_limit_ms=60)
    harness.upstream.confirms_cancel = confirms
    harness.upstream.script["first"] = "stall"

    async def send(name: str, budget_ms: float, caller_timeout_s: float) -> None:
        with anyio.move_on_after(caller_timeout_s):
            await harness.send(name, SEARCH, budget_ms)

    async with anyio.create_task_group() as group:
        group.start_soon(send, "first", 300, 0.06 if cancelled else 1)
        await anyio.sleep(0.001)
        # The waiting request that has the wake timer is abandoned.
        group.start_soon(send, "impatient", 500, 0.061)
        await anyio.sleep(0.001)
        group.start_soon(send, "second", 1000, 1)
    assert harness.upstream.received_ids == ["first", "second"]
    start_ms = harness.upstream.started_ms["second"]
    assert start_ms == pytest.approx(62 if confirms else 305, abs=0.2)


@on_trio
async def test_reply_to_another_request_does_not_free_capacity() -> None:
    """Guards against a mixed-up reply that ends a request which may still run."""
    harness = GateHarness()
    harness.upstream.script["first"] = "other_request"
    await harness.send("first", SEARCH, 300)
    await harness.send("second")
    assert harness.upstream.started_ms["second"] == pytest.approx(305, abs=0.2)
    assert harness.gate.dump()["lingering_connections"] == 1


@pytest.mark.parametrize("seed", range(30))
@on_trio
async def test_upstream_never_gets_more_requests_than_its_cold_start_allows(
    seed: int,
) -> None:
    """Guards against exceeding the limit after crashes, stalls and cancellations.

    The upstream accepts one request at a time when it is cold, and one more for each
    window that it has answered. It counts abandoned requests until their deadline. It
    crashes at random, which the gate detects only from broken connections and
    refusals.
    """
    random = Random(seed)
    settings = {"window_successes": WINDOW, "member_queue_length": 8}
    harness = GateHarness(
        seed=seed, connection_cap=5, connection_linger_ms=400.0, **settings
    )
    upstream = harness.upstream
    upstream.confirms_cancel = seed % 2 == 0
    upstream.window = WINDOW
    behaviours = ["ok"] * 30 + ["stall", "crash", "shed", "malformed", 60.0, 2.0]
    kinds = [*WorkKind, SEARCH, SEARCH]

    async def caller(member: str) -> None:
        for i in range(60):
            name = f"{random.choice('abcdefgh')}{i}-{member}"
            upstream.script[name] = random.choice(behaviours)
            budget_ms = random.choice([30.0, 80.0, 300.0])
            with anyio.move_on_after(random.choice([0.004, 0.012, 1.0, 1.0, 1.0])):
                await harness.send(name, random.choice(kinds), budget_ms, member)
            await anyio.sleep(random.random() * 0.03)

    async with anyio.create_task_group() as group:
        for member in "ABCDEFGH":
            group.start_soon(caller, member)
    answered = sum(
        1 for name in harness.outcomes if harness.outcome_and_state(name)[0] == "ok"
    )
    assert answered > 40
    assert upstream.overload_count == 0
    assert upstream.peak_connections <= 5
    assert harness.gate.dump()["awaited"] == 0
