"""Bound on the work at an upstream that starts cold."""

from random import Random
from typing import Any

import anyio
import pytest

from cuminbend.messages import UpstreamState, WorkKind
from cuminbend.upstreams.tests.fakes import Bench, on_trio

SEARCH = WorkKind.SEARCH
WINDOW = 4


@pytest.mark.parametrize(
    ("trouble", "requests"),
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
async def test_trouble_sets_the_limit_to_one(trouble: Any, requests: int) -> None:
    """Guards against full load on an upstream that became cold without warning."""
    bench = Bench(limit=4, window_successes=WINDOW, hold_ms=200)
    await bench.warm_up()
    assert bench.limit == 4
    bench.upstream.default = trouble
    bench.upstream.confirms_cancel = True
    for i in range(requests):
        with anyio.move_on_after(0.035):
            await bench.send(f"r{i}")
    if isinstance(trouble, dict):
        bench.announce(**trouble)
    elif requests == 0:
        bench.out_of_service.add("dc1")
        bench.gate.data_centre_changed()
        bench.out_of_service.clear()
        bench.gate.data_centre_changed()
    assert bench.limit == 1
    bench.upstream.default = "ok"
    await bench.warm_up(2 * WINDOW)
    assert bench.limit == 1
    await anyio.sleep(0.3)
    await bench.warm_up(WINDOW - 1)
    assert bench.limit == 1
    await bench.warm_up(1)
    assert bench.limit == 2


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([10.0] * WINDOW * 3, 4),
        ([10.0] * (WINDOW * 3 - 1), 3),
        ([10.0] * WINDOW + [10.0, 10.0, 10.0, 200.0] * 3, 2),
        ([10.0] * WINDOW * 3 + [200.0, 10.0, 10.0, 10.0] * 5, 4),
        # An upstream that became slower for good is not held cold forever.
        ([10.0] * WINDOW * 3 + [40.0] * 200, 4),
    ],
)
@on_trio
async def test_full_windows_of_usual_latency_raise_the_limit(
    script: list[float], expected: int
) -> None:
    """Guards against growth without evidence, and resets by single stragglers."""
    bench = Bench(window_successes=WINDOW, initial_time_limit_ms=500)
    for i, service_ms in enumerate(script):
        bench.upstream.script[f"r{i}"] = service_ms
        await bench.send(f"r{i}", budget_ms=2000)
    assert bench.limit == expected


@on_trio
async def test_reported_load_only_lowers_the_limit() -> None:
    """Guards against trust in load figures that lag or mislead."""
    bench = Bench(limit=3)
    limits = []
    for load in (0.0, 1.0, 0.5, 0.0, 0.2):
        bench.announce(load=load)
        limits.append(bench.limit)
    assert limits == [3, 2, 2, 3, 3]
    await bench.send_all(("a",), ("b",), ("c",))
    bench.announce(load=0.75)
    assert bench.limit == 3


@pytest.mark.parametrize("ends", [("ok", "shed"), ("shed", "ok")])
@on_trio
async def test_a_reset_counts_for_work_that_has_not_begun(
    ends: tuple[str, str],
) -> None:
    """Guards against work admitted, or answered, on what was known before a reset."""
    bench = Bench(limit=3, window_successes=1, hold_ms=1)
    bench.upstream.script = {"a": ends[0], "b": ends[1], "slow": 50.0, "d": "stall"}
    async with anyio.create_task_group() as group:
        group.start_soon(bench.send_all, ("a",), ("b",), ("slow",), ("d",), ("e",))
        await anyio.sleep(0.055)
        assert bench.limit == 1
        assert bench.upstream.started_ms["d"] == pytest.approx(50, abs=0.1)
        assert "e" not in bench.upstream.seen
        group.cancel_scope.cancel()


@pytest.mark.parametrize("confirms", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
@on_trio
async def test_an_abandoned_request_counts_until_its_deadline(
    confirms: bool, cancelled: bool
) -> None:
    """Guards against a second request while a cold upstream still runs the first."""
    bench = Bench(initial_time_limit_ms=60)
    bench.upstream.confirms_cancel = confirms
    bench.upstream.script["first"] = "stall"

    async def send(name: str, budget_ms: float, patience_s: float) -> None:
        with anyio.move_on_after(patience_s):
            await bench.send(name, SEARCH, budget_ms)

    async with anyio.create_task_group() as group:
        group.start_soon(send, "first", 300, 0.06 if cancelled else 1)
        await anyio.sleep(0.001)
        # The request that watches the time gives up.
        group.start_soon(send, "impatient", 500, 0.061)
        await anyio.sleep(0.001)
        group.start_soon(send, "second", 1000, 1)
    assert bench.upstream.seen == ["first", "second"]
    start_ms = bench.upstream.started_ms["second"]
    assert start_ms == pytest.approx(62 if confirms else 305, abs=0.2)


@on_trio
async def test_a_reply_to_another_request_ends_nothing() -> None:
    """Guards against a crossed reply that frees the place of unfinished work."""
    bench = Bench()
    bench.upstream.script["first"] = "crossed"
    await bench.send("first", SEARCH, 300)
    await bench.send("second")
    assert bench.upstream.started_ms["second"] == pytest.approx(305, abs=0.2)
    assert bench.gate.dump()["lingering_connections"] == 1


@pytest.mark.parametrize("seed", range(30))
@on_trio
async def test_an_upstream_never_gets_more_than_its_cold_start_bears(seed: int) -> None:
    """Guards against any path around the limit, under crashes, stalls and cancels.

    The upstream bears one request when it is cold and one more per window that it has
    answered; it counts abandoned requests until their deadline. It crashes at times,
    and the gate learns so only from broken connections and refusals.
    """
    random = Random(seed)
    settings = {"window_successes": WINDOW, "queue_length": 8}
    bench = Bench(seed=seed, cap=5, connection_linger_ms=400.0, **settings)
    upstream = bench.upstream
    upstream.confirms_cancel = seed % 2 == 0
    upstream.window = WINDOW
    words = ["ok"] * 30 + ["stall", "crash", "shed", "malformed", 60.0, 2.0]
    kinds = [*WorkKind, SEARCH, SEARCH]

    async def caller(member: str) -> None:
        for i in range(60):
            name = f"{random.choice('abcdefgh')}{i}-{member}"
            upstream.script[name] = random.choice(words)
            budget_ms = random.choice([30.0, 80.0, 300.0])
            with anyio.move_on_after(random.choice([0.004, 0.012, 1.0, 1.0, 1.0])):
                await bench.send(name, random.choice(kinds), budget_ms, member)
            await anyio.sleep(random.random() * 0.03)

    async with anyio.create_task_group() as group:
        for member in "ABCDEFGH":
            group.start_soon(caller, member)
    answered = sum(1 for name in bench.outcomes if bench.failure(name)[0] == "ok")
    assert answered > 40
    assert upstream.overloaded == 0
    assert upstream.peak_held <= 5
    assert bench.gate.dump()["awaited"] == 0
