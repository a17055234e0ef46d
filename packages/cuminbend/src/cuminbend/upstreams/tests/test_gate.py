"""Exchanges of one gate: run states, checks before them, time limits, connections."""

from dataclasses import replace
from typing import Any

import anyio
import pytest

from cuminbend.exceptions import RunState
from cuminbend.messages import OwnedUpstream, UpstreamState, WorkKind
from cuminbend.upstreams.tests.fakes import Bench, on_trio

NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN
SEARCH, SUBMIT = WorkKind.SEARCH, WorkKind.SUBMIT


@pytest.mark.parametrize(
    ("word", "kind", "search", "submit"),
    [
        ("reset", "reset", UNKNOWN, UNKNOWN),
        ("shed", "shed", NOT_RUN, NOT_RUN),
        ("connect", "connect", NOT_RUN, NOT_RUN),
        ("draining", "draining", NOT_RUN, NOT_RUN),
        ("stall", "timeout", UNKNOWN, UNKNOWN),
        ("snapshot", "mismatch", RAN, None),
        ("partial", "mismatch", UNKNOWN, None),
        ("crossed", "mismatch", UNKNOWN, UNKNOWN),
        ("stranger", "mismatch", UNKNOWN, UNKNOWN),
        ("restarted", "mismatch", UNKNOWN, UNKNOWN),
        ("failed", "failed", RAN, UNKNOWN),
        ("oserror", "failed", UNKNOWN, UNKNOWN),
    ],
)
@on_trio
async def test_a_failure_has_its_run_state(
    word: str, kind: str, search: RunState, submit: RunState | None
) -> None:
    """Guards against wrong replies as results, and work that ran called not run."""
    for work, state in ((SEARCH, search), (SUBMIT, submit)):
        bench = Bench()
        bench.upstream.default = word
        outcome: Any = await bench.send("r", work)
        if state is not None:
            assert (outcome.kind, outcome.run_state) == (kind, state)


def change(bench: Bench, what: str) -> None:
    match what:
        case "lease ends":
            bench.lease.remaining = 500.0
        case "data centre out" | "data centre out and told":
            bench.out_of_service.add("dc1")
        case "leaving":
            bench.announce(state=UpstreamState.LEAVING)
        case "draining":
            bench.upstream.script["first"] = "draining"
        case "stopped":
            bench.gate.stop_admitting("test")
    if what == "data centre out and told":
        bench.gate.data_centre_changed()


@pytest.mark.parametrize(
    ("what", "error", "ended_ms"),
    [
        ("lease ends", "LeaseExpiredError", 10),
        ("data centre out", "UnavailableError", 10),
        ("data centre out and told", "UnavailableError", 5),
        ("leaving", "UnavailableError", 5),
        ("draining", "UnavailableError", 10),
        ("stopped", "UnavailableError", 5),
    ],
)
@on_trio
async def test_what_changes_while_a_request_waits_is_noticed_before_it_is_sent(
    what: str, error: str, ended_ms: float
) -> None:
    """Guards against new work to upstreams that may get none any more."""
    bench = Bench()
    async with anyio.create_task_group() as group:
        group.start_soon(bench.send_all, ("first",), ("second",))
        await anyio.sleep(0.005)
        change(bench, what)
    assert bench.failure("second") == (error, NOT_RUN)
    assert bench.ended_ms["second"] == pytest.approx(ended_ms, abs=0.1)
    # With the time to the upstream this ends after the lease.
    await bench.send("third", budget_ms=497)
    assert bench.failure("third") == (error, NOT_RUN)
    assert bench.upstream.seen == ["first"]


@on_trio
async def test_an_upstream_that_drains_stays_closed_until_it_is_surely_back() -> None:
    """Guards against announcements that were on their way when it began to drain."""
    bench = Bench(limit=2)
    bench.upstream.script["first"] = "draining"
    sent = []
    for incarnation, pause_s in ((1, 0), (1, 6), (0, 6)):
        await bench.send("first")
        await anyio.sleep(pause_s)
        bench.announce(incarnation=incarnation)
        bench.upstream.incarnation = 1
        bench.upstream.seen.clear()
        await bench.send("next")
        sent.append(len(bench.upstream.seen))
    assert sent == [0, 1, 0]
    assert bench.limit == 1


@on_trio
async def test_a_request_is_sent_with_its_remaining_budget() -> None:
    """Guards against refusing all work near the end of a lease, and stale budgets."""
    bench = Bench()
    change(bench, "lease ends")
    await bench.send_all(("first", SEARCH, 400), ("second", SEARCH, 401))
    assert bench.failure("second")[0] == "ok"
    assert bench.upstream.budgets["second"] == pytest.approx(391, abs=0.1)


@pytest.mark.parametrize(
    ("service_ms", "before", "kind", "budget_ms", "expected_ms"),
    [
        (None, "ok", SEARCH, 1000, 77),
        (5.0, "ok", SEARCH, 1000, 50),
        (5.0, "shed", SEARCH, 1000, 77),
        (30.0, "ok", WorkKind.HEDGE, 1000, 120),
        (30.0, "ok", WorkKind.CANARY, 100, 60),
        (5.0, "ok", SUBMIT, 1000, 1000),
    ],
)
@on_trio
async def test_the_time_limit_follows_the_service_time(
    service_ms: Any, before: str, kind: WorkKind, budget_ms: float, expected_ms: float
) -> None:
    """Guards against waiting for a silent connection until the deadline."""
    bench = Bench(slots=1, initial_time_limit_ms=77)
    if service_ms is not None:
        bench.upstream.service_ms = service_ms
        await bench.warm_up()
    bench.upstream.default = before
    await bench.warm_up(1)
    began_ms = bench.clock.monotonic_ms()
    bench.upstream.default = "stall"
    await bench.send("r", kind, budget_ms)
    assert bench.ended_ms["r"] - began_ms == pytest.approx(expected_ms, abs=0.1)
    assert bench.failure("r") == ("UpstreamError", UNKNOWN)
    assert bench.upstream.seen == ["r"]


@on_trio
async def test_an_old_estimate_does_not_refuse_requests_forever() -> None:
    """Guards against a slow phase after which short budgets are always too late."""
    bench = Bench(slots=1)
    bench.upstream.service_ms = 180.0
    await bench.warm_up(4)
    await bench.send("refused", budget_ms=100)
    assert bench.failure("refused") == ("OverloadedError", NOT_RUN)
    bench.upstream.service_ms = 5.0
    await anyio.sleep(6)
    await bench.send("r", budget_ms=100)
    assert bench.failure("r")[0] == "ok"


@pytest.mark.parametrize("confirms", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
@on_trio
async def test_abandoned_connections_count_until_they_are_known_to_be_closed(
    confirms: bool, cancelled: bool
) -> None:
    """Guards against exceeding the connection cap, and against starving by hedging."""
    bench = Bench(limit=4, cap=2, connection_linger_ms=3000)
    bench.upstream.confirms_cancel = confirms
    for i in range(4):
        bench.upstream.script[f"r{i}"] = "stall"
        with anyio.move_on_after(0.03 if cancelled else 10):
            await bench.send(f"r{i}", budget_ms=200)
        await anyio.sleep(0.01)
    outcome: Any = await bench.send("next", budget_ms=200)
    assert bench.upstream.peak_held <= 2
    if confirms:
        assert bench.failure("next")[0] == "ok"
        return
    assert bench.failure("next") == ("UnavailableError", NOT_RUN)
    assert outcome.retry_after_ms > 0
    assert bench.upstream.seen == ["r0", "r1"]
    await anyio.sleep(4)
    await bench.send("later")
    assert bench.failure("later")[0] == "ok"


@on_trio
async def test_a_release_finishes_work_in_flight_and_hands_over_what_is_known() -> None:
    """Guards against cut requests, and against two owners with work in flight."""
    bench = Bench(limit=2)
    bench.upstream.script["silent"] = "stall"
    async with anyio.create_task_group() as group:
        group.start_soon(bench.send_all, ("silent",), ("running",), ("queued",))
        await anyio.sleep(0.005)
        handover = await bench.gate.release()
    assert bench.clock.monotonic_ms() == pytest.approx(1005, abs=0.1)
    assert bench.failure("running")[0] == "ok"
    assert bench.failure("queued") == ("UnavailableError", NOT_RUN)
    assert bench.upstream.closed
    assert (handover.limit, handover.lingering_connections) == (2, 1)
    other = Bench(cap=1)
    limits = []
    for grant_id, state in enumerate(
        (handover, replace(handover, incarnation=0), None)
    ):
        other.gate.regranted(OwnedUpstream("u1", grant_id + 2, 1, state))
        limits.append(other.limit)
    assert limits == [2, 1, 1]
    await other.send("r")
    assert other.failure("r") == ("UnavailableError", NOT_RUN)
