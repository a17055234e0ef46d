"""Bound on the work at an upstream that starts cold."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import anyio
import pytest

from cuminbend.messages import UpstreamState, WorkKind
from cuminbend.upstreams.tests.fakes import Bench, run

WINDOW = 4


def announce(**changes: Any) -> Callable[[Bench], None]:
    def change(bench: Bench) -> None:
        bench.upstream.incarnation = changes.get("incarnation", 1)
        bench.gate.announced(replace(bench.announcement, **changes))

    return change


@pytest.mark.parametrize(
    ("trouble", "requests"),
    [
        ("reset", 1),
        ("connect", 1),
        ("shed", 1),
        ("restarted", 1),
        (31.0, 4),
        (announce(incarnation=2), 0),
        (announce(state=UpstreamState.COLD), 0),
    ],
)
def test_trouble_puts_the_limit_back_to_one_for_a_while(
    trouble: Any, requests: int
) -> None:
    """Guards against full load on an upstream that became cold without warning."""

    async def main() -> None:
        bench = Bench(limit=4, window_successes=WINDOW, hold_ms=200)
        await bench.warm_up()
        assert bench.limit == 4
        bench.upstream.default = trouble
        for i in range(requests):
            await bench.send(f"r{i}")
        if requests == 0:
            trouble(bench)
        assert bench.limit == 1
        bench.upstream.default = "ok"
        await bench.warm_up(2 * WINDOW)
        assert bench.limit == 1
        await anyio.sleep(0.3)
        await bench.warm_up(WINDOW - 1)
        assert bench.limit == 1
        await bench.warm_up(1)
        assert bench.limit == 2

    run(main)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([10.0] * WINDOW * 3, 4),
        ([10.0] * (WINDOW * 3 - 1), 3),
        ([10.0] * WINDOW + [10.0, 10.0, 10.0, 200.0] * 3, 2),
        ([10.0] * WINDOW * 3 + [200.0, 10.0, 10.0, 10.0] * 5, 4),
        ([10.0] * WINDOW * 9, 4),
    ],
)
def test_full_windows_of_usual_latency_raise_the_limit(
    script: list[float], expected: int
) -> None:
    """Guards against growth without evidence, and resets by single stragglers."""

    async def main() -> None:
        bench = Bench(window_successes=WINDOW, initial_time_limit_ms=500)
        for i, service_ms in enumerate(script):
            bench.upstream.script[f"r{i}"] = service_ms
            await bench.send(f"r{i}", budget_ms=2000)
        assert bench.limit == expected

    run(main)


def test_reported_load_only_lowers_the_limit() -> None:
    """Guards against trust in load figures that lag or mislead."""

    async def main() -> None:
        bench = Bench(limit=3)
        limits = []
        for load in (0.0, 1.0, 0.5, 0.0, 0.2):
            announce(load=load)(bench)
            limits.append(bench.limit)
        assert limits == [3, 1, 2, 3, 3]

    run(main)


@pytest.mark.parametrize("confirms", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
def test_an_abandoned_request_counts_until_its_deadline(
    confirms: bool, cancelled: bool
) -> None:
    """Guards against a second request while a cold upstream still runs the first."""

    async def main() -> None:
        bench = Bench(initial_time_limit_ms=60)
        bench.upstream.confirms_cancel = confirms
        bench.upstream.script["first"] = "stall"
        async with anyio.create_task_group() as group:
            group.start_soon(bench.send, "second")
            with anyio.move_on_after(0.06 if cancelled else 1):
                await bench.send("first", budget_ms=300)
        started_ms = bench.ended_ms["second"] - 10
        assert bench.failure("second")[0] == "ok"
        if bench.upstream.seen == ["first", "second"]:
            assert started_ms == pytest.approx(60 if confirms else 300, abs=0.2)
        assert bench.upstream.peak == 1

    run(main)


@pytest.mark.parametrize("seed", range(30))
def test_an_upstream_never_gets_more_than_its_cold_start_bears(seed: int) -> None:
    """Guards against any path around the limit, under crashes, stalls and cancels.

    The upstream bears one request when it is cold and one more per window that it has
    answered; it counts abandoned requests until their deadline. It crashes at times,
    and the gate learns so only from broken connections and refusals.
    """

    async def main() -> None:
        random = Random(seed)
        bench = Bench(
            seed=seed,
            cap=5,
            window_successes=WINDOW,
            queue_length=8,
            connection_linger_ms=400.0,
        )
        upstream = bench.upstream
        upstream.confirms_cancel = seed % 2 == 0
        # What was sent in the instant of a crash could not know of it.
        upstream.capacity = lambda: (
            1_000_000
            if anyio.current_time() == upstream.crashed_at
            else 1 + upstream.answered // WINDOW
        )
        words = ["ok"] * 30 + ["stall", "crash", "shed", "malformed", 60.0, 2.0]
        kinds = [*WorkKind, WorkKind.SEARCH, WorkKind.SEARCH]

        async def caller(name: str) -> None:
            for i in range(60):
                request_id = f"{name}-{i}"
                upstream.script[request_id] = random.choice(words)
                patience = random.choice([0.004, 0.012, 1.0, 1.0, 1.0])
                with anyio.move_on_after(patience):
                    await bench.send(
                        request_id,
                        random.choice(kinds),
                        member=name,
                        budget_ms=random.choice([30.0, 80.0, 300.0]),
                        fingerprint=random.choice("abcdefgh") + str(i),
                    )
                await anyio.sleep(random.random() * 0.03)

        async with anyio.create_task_group() as group:
            for name in "abcdefgh":
                group.start_soon(caller, name)
        answered = sum(1 for r in bench.outcomes if bench.failure(r)[0] == "ok")
        assert answered > 40
        assert upstream.overloaded == 0
        assert upstream.peak_held <= 5
        assert bench.gate.dump()["awaited"] == 0

    run(main)
