"""Order of the work that waits for one upstream."""

from collections import Counter

import anyio
import anyio.lowlevel
import pytest

from cuminbend.exceptions import RunState
from cuminbend.messages import WorkKind
from cuminbend.upstreams.tests.fakes import Bench, run

OVERLOADED = ("OverloadedError", RunState.NOT_RUN)


async def send_all(bench: Bench, requests: list[tuple[str, str, float]]) -> None:
    async with anyio.create_task_group() as group:
        for request_id, member, budget_ms in requests:

            async def send(
                name: str = request_id, member: str = member, ms: float = budget_ms
            ) -> None:
                await bench.send(name, WorkKind.SEARCH, member=member, budget_ms=ms)

            group.start_soon(send)
            await anyio.lowlevel.checkpoint()


def test_a_member_gets_its_work_by_deadline() -> None:
    """Guards against an urgent request that waits behind patient ones."""

    async def main() -> None:
        bench = Bench()
        budgets = [1000.0, 900.0, 500.0, 700.0, 300.0, 600.0]
        requests = [(f"{budget:.0f}", "m", budget) for budget in budgets]
        await send_all(bench, requests)
        assert bench.upstream.seen == ["1000", "300", "500", "600", "700", "900"]

    run(main)


@pytest.mark.parametrize(
    ("shares", "expected"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 12, "b": 12}),
        ({"a": 3.0, "b": 1.0}, {"a": 18, "b": 6}),
        ({"a": 0.0, "b": 1.0}, {"a": 0, "b": 24}),
    ],
)
def test_members_are_served_by_share(
    shares: dict[str, float], expected: dict[str, int]
) -> None:
    """Guards against the member that asks most getting most."""

    async def main() -> None:
        bench = Bench(queue_length=100)
        bench.shares.shares = shares
        await bench.send("warm")
        requests = [(f"a{i}", "a", 2000.0) for i in range(60)]
        requests += [(f"b{i}", "b", 2000.0) for i in range(30)]
        await send_all(bench, requests)
        # The first two started before the other member had asked.
        first = Counter(name[0] for name in bench.upstream.seen[2:26])
        # Deficit round robin may be one request ahead of the exact share.
        served = {member: first[member] for member in "ab"}
        assert served == pytest.approx(expected, abs=1)

    run(main)


def test_a_flood_does_not_delay_another_member_and_unused_share_is_lent() -> None:
    """Guards against one member at many times its share."""

    async def main() -> None:
        bench = Bench(queue_length=12)
        bench.shares.shares = {"flood": 1.0, "calm": 1.0}
        async with anyio.create_task_group() as group:
            group.start_soon(
                send_all, bench, [(f"f{i}", "flood", 1000.0) for i in range(100)]
            )
            await anyio.sleep(0.045)
            await bench.send("calm", member="calm", budget_ms=100)
        # One exchange of 10 ms is running and at most one more goes first.
        assert bench.ended_ms["calm"] - 45 <= 30
        answered = [r for r in bench.outcomes if bench.failure(r)[0] == "ok"]
        assert len(answered) == 1 + 12 + 1
        refused = [r for r in bench.outcomes if r not in answered]
        assert {bench.failure(r) for r in refused} == {OVERLOADED}
        assert max(bench.ended_ms[r] for r in refused) < 1
        assert all(bench.outcomes[r].retry_after_ms for r in refused)

    run(main)


def test_a_request_that_cannot_start_in_time_is_refused_at_once() -> None:
    """Guards against work whose answer nobody waits for any more."""

    async def main() -> None:
        bench = Bench(slots=1)
        await bench.warm_up()
        now_ms = bench.clock.monotonic_ms()
        await send_all(bench, [(f"r{i}", "m", 35.0) for i in range(6)])
        # At 10 ms each, the third starts at 20 ms and is the last to end by 35 ms.
        assert bench.upstream.seen == ["r0", "r1", "r2"]
        for late in ("r4", "r5"):
            assert bench.failure(late) == OVERLOADED
            assert bench.ended_ms[late] - now_ms < 1
        assert bench.failure("r3") == OVERLOADED
        assert bench.ended_ms["r3"] - now_ms <= 25.1

    run(main)


def test_a_stall_at_the_upstream_ends_the_wait_in_time() -> None:
    """Guards against a request that waits past the time at which it can start."""

    async def main() -> None:
        bench = Bench(slots=1)
        await bench.warm_up()
        now_ms = bench.clock.monotonic_ms()
        bench.upstream.script["first"] = 100.0
        await send_all(bench, [("first", "m", 500.0), ("second", "m", 40.0)])
        assert bench.failure("second") == OVERLOADED
        assert bench.ended_ms["second"] - now_ms == pytest.approx(30, abs=0.2)

    run(main)
