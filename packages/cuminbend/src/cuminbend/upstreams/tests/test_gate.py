"""Tests of the exchanges of one gate: run states, checks, time limits, connections."""

from dataclasses import replace
from typing import Any

import anyio
import pytest

from cuminbend.exceptions import RunState
from cuminbend.messages import OwnedUpstream, UpstreamState, WorkKind
from cuminbend.upstreams.tests.fakes import GateHarness, on_trio

NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN
SEARCH, SUBMIT = WorkKind.SEARCH, WorkKind.SUBMIT


@pytest.mark.parametrize(
    ("behaviour", "kind", "search_state", "submit_state"),
    [
        ("reset", "reset", UNKNOWN, UNKNOWN),
        ("shed", "shed", NOT_RUN, NOT_RUN),
        ("connect", "connect", NOT_RUN, NOT_RUN),
        ("draining", "draining", NOT_RUN, NOT_RUN),
        ("stall", "timeout", UNKNOWN, UNKNOWN),
        ("snapshot", "mismatch", RAN, None),
        ("partial", "mismatch", UNKNOWN, None),
        ("other_request", "mismatch", UNKNOWN, UNKNOWN),
        ("other_upstream", "mismatch", UNKNOWN, UNKNOWN),
        ("restarted", "mismatch", UNKNOWN, UNKNOWN),
        ("failed", "failed", RAN, UNKNOWN),
        ("oserror", "failed", UNKNOWN, UNKNOWN),
    ],
)
@on_trio
async def test_failure_has_correct_kind_and_run_state(
    behaviour: str,
    kind: str,
    search_state: RunState,
    submit_state: RunState | None,
) -> None:
    """Guards against wrong replies as results, and wrong run states."""
    for work_kind, state in ((SEARCH, search_state), (SUBMIT, submit_state)):
        harness = GateHarness()
        harness.upstream.default = behaviour
        outcome: Any = await harness.send("r", work_kind)
        if state is not None:
            assert (outcome.kind, outcome.run_state) == (kind, state)


def apply_change(harness: GateHarness, change: str) -> None:
    match change:
        case "lease ends":
            harness.lease.remaining_time_ms = 500.0
        case "data centre out" | "data centre out and notified":
            harness.out_of_service.add("dc1")
        case "leaving":
            harness.announce(state=UpstreamState.LEAVING)
        case "draining":
            harness.upstream.script["first"] = "draining"
        case "stopped":
            harness.gate.stop_admitting("test")
    if change == "data centre out and notified":
        harness.gate.update_data_centre()


@pytest.mark.parametrize(
    ("change", "error", "ended_ms"),
    [
        ("lease ends", "LeaseExpiredError", 10),
        ("data centre out", "UnavailableError", 10),
        ("data centre out and notified", "UnavailableError", 5),
        ("leaving", "UnavailableError", 5),
        ("draining", "UnavailableError", 10),
        ("stopped", "UnavailableError", 5),
    ],
)
@on_trio
async def test_changes_while_a_request_waits_prevent_sending_it(
    change: str, error: str, ended_ms: float
) -> None:
    """Guards against new requests to upstreams that must not get any."""
    harness = GateHarness()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.send_all, ("first",), ("second",))
        await anyio.sleep(0.005)
        apply_change(harness, change)
    assert harness.outcome_and_state("second") == (error, NOT_RUN)
    assert harness.ended_ms["second"] == pytest.approx(ended_ms, abs=0.1)
    # With the transit time to the upstream, this request ends after the lease.
    await harness.send("third", budget_ms=497)
    assert harness.outcome_and_state("third") == (error, NOT_RUN)
    assert harness.upstream.received_ids == ["first"]


@on_trio
async def test_draining_upstream_gets_no_requests_for_a_while() -> None:
    """Guards against stale announcements of an upstream that started to drain."""
    harness = GateHarness(limit=2)
    harness.upstream.script["first"] = "draining"
    sent_counts = []
    for incarnation, pause_s in ((1, 0), (1, 6), (0, 6)):
        await harness.send("first")
        await anyio.sleep(pause_s)
        harness.announce(incarnation=incarnation)
        harness.upstream.incarnation = 1
        harness.upstream.received_ids.clear()
        await harness.send("next")
        sent_counts.append(len(harness.upstream.received_ids))
    assert sent_counts == [0, 1, 0]
    assert harness.limit == 1


@on_trio
async def test_request_is_sent_with_remaining_budget() -> None:
    """Guards against stale budgets, and refusing all requests near the lease's end."""
    harness = GateHarness()
    apply_change(harness, "lease ends")
    await harness.send_all(("first", SEARCH, 400), ("second", SEARCH, 401))
    assert harness.outcome_and_state("second")[0] == "ok"
    assert harness.upstream.received_budgets_ms["second"] == pytest.approx(391, abs=0.1)


@pytest.mark.parametrize(
    ("service_ms", "previous_behaviour", "kind", "budget_ms", "expected_ms"),
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
async def test_time_limit_follows_service_time(
    service_ms: Any,
    previous_behaviour: str,
    kind: WorkKind,
    budget_ms: float,
    expected_ms: float,
) -> None:
    """Guards against waiting for an unresponsive upstream until the deadline."""
    harness = GateHarness(slots=1, initial_time_limit_ms=77)
    if service_ms is not None:
        harness.upstream.service_ms = service_ms
        await harness.warm_up()
    harness.upstream.default = previous_behaviour
    await harness.warm_up(1)
    began_ms = harness.clock.monotonic_ms()
    harness.upstream.default = "stall"
    await harness.send("r", kind, budget_ms)
    assert harness.ended_ms["r"] - began_ms == pytest.approx(expected_ms, abs=0.1)
    assert harness.outcome_and_state("r") == ("UpstreamError", UNKNOWN)
    assert harness.upstream.received_ids == ["r"]


@on_trio
async def test_old_service_time_estimate_expires() -> None:
    """Guards against refusing short budgets permanently after a slow phase."""
    harness = GateHarness(slots=1)
    harness.upstream.service_ms = 180.0
    await harness.warm_up(4)
    await harness.send("refused", budget_ms=100)
    assert harness.outcome_and_state("refused") == ("OverloadedError", NOT_RUN)
    harness.upstream.service_ms = 5.0
    await anyio.sleep(6)
    await harness.send("r", budget_ms=100)
    assert harness.outcome_and_state("r")[0] == "ok"


@pytest.mark.parametrize("confirms", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
@on_trio
async def test_abandoned_connections_count_until_known_closed(
    confirms: bool, cancelled: bool
) -> None:
    """Guards against exceeding the connection cap, and starvation through hedging."""
    harness = GateHarness(limit=4, connection_cap=2, connection_linger_ms=3000)
    harness.upstream.confirms_cancel = confirms
    for i in range(4):
        harness.upstream.script[f"r{i}"] = "stall"
        with anyio.move_on_after(0.03 if cancelled else 10):
            await harness.send(f"r{i}", budget_ms=200)
        await anyio.sleep(0.01)
    outcome: Any = await harness.send("next", budget_ms=200)
    assert harness.upstream.peak_connections <= 2
    if confirms:
        assert harness.outcome_and_state("next")[0] == "ok"
        return
    assert harness.outcome_and_state("next") == ("UnavailableError", NOT_RUN)
    assert outcome.retry_after_ms > 0
    assert harness.upstream.received_ids == ["r0", "r1"]
    await anyio.sleep(4)
    await harness.send("later")
    assert harness.outcome_and_state("later")[0] == "ok"


@on_trio
async def test_release_waits_for_requests_in_flight_and_returns_handover() -> None:
    """Guards against aborted requests, and two owners with requests in flight."""
    harness = GateHarness(limit=2)
    harness.upstream.script["silent"] = "stall"
    async with anyio.create_task_group() as group:
        group.start_soon(harness.send_all, ("silent",), ("running",), ("queued",))
        await anyio.sleep(0.005)
        handover = await harness.gate.release()
    assert harness.clock.monotonic_ms() == pytest.approx(1005, abs=0.1)
    assert harness.outcome_and_state("running")[0] == "ok"
    assert harness.outcome_and_state("queued") == ("UnavailableError", NOT_RUN)
    assert harness.upstream.closed
    assert (handover.limit, handover.lingering_connections) == (2, 1)
    other = GateHarness(connection_cap=1)
    limits = []
    for grant_id, state in enumerate(
        (handover, replace(handover, incarnation=0), None)
    ):
        other.gate.renew_grant(OwnedUpstream("u1", grant_id + 2, 1, state))
        limits.append(other.limit)
    assert limits == [2, 1, 1]
    await other.send("r")
    assert other.outcome_and_state("r") == ("UnavailableError", NOT_RUN)
