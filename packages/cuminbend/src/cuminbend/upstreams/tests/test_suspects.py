"""Tests of requests that may crash the upstreams that run them."""

from typing import Any

import anyio
import pytest

from cuminbend.exceptions import RunState, SuspectError
from cuminbend.messages import WorkKind
from cuminbend.replicated import ClaimSuspectRun, ClearSuspect, RecordCrash
from cuminbend.upstreams.tests.fakes import GRANTED, CrashResult, GateHarness, on_trio

NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN
CANARY, SEARCH, SUSPECT = WorkKind.CANARY, WorkKind.SEARCH, WorkKind.SUSPECT


def commits_without_claim_ids(harness: GateHarness) -> list[Any]:
    """Return the commits, with claims reduced to a word because of their random ids."""
    log = harness.control.log
    return ["claim" if isinstance(c, ClaimSuspectRun) else c for c in log]


def crash_command(fingerprint: str, alone: bool) -> RecordCrash:
    return RecordCrash(fingerprint, "u1", 1, alone)


@pytest.mark.parametrize(
    ("first_behaviour", "expected_end_ms"),
    [
        ("ok", [10, 10, 20, 20]),
        ("shed", [10, 10, 20, 30]),
        ("stall", [10, 200, 210, 220]),
    ],
)
@on_trio
async def test_canaries_with_equal_fingerprint_run_one_at_a_time(
    first_behaviour: str, expected_end_ms: list[int]
) -> None:
    """Guards against two runs of one body at the same time on one upstream."""
    harness = GateHarness(limit=4)
    harness.upstream.script["a1"] = first_behaviour
    await harness.send_all(*((name, CANARY) for name in ("a1", "a2", "a3", "b1")))
    assert (
        sorted(round(end_ms) for end_ms in harness.ended_ms.values()) == expected_end_ms
    )
    assert harness.control.log == []


@pytest.mark.parametrize("alone", [False, True])
@on_trio
async def test_crash_makes_unproven_requests_suspects(alone: bool) -> None:
    """Guards against a failure that reaches the caller before the crash is recorded."""
    harness = GateHarness(limit=4)
    harness.control.delay_ms = 5
    harness.upstream.script |= {"a1": "crash", "a4": "shed"}
    canaries = ["a1"] if alone else ["a1", "b1"]
    requests = [(name, CANARY) for name in canaries]
    await harness.send_all(*requests, ("s1", SEARCH), ("a2", CANARY))
    commits = [crash_command(name[0], alone) for name in canaries]
    assert sorted(harness.control.log, key=str) == commits
    for name in canaries:
        assert harness.outcome_and_state(name) == ("UpstreamError", UNKNOWN)
        assert harness.commits_before[name] == len(commits)
    assert harness.outcome_and_state("s1") == ("UpstreamError", UNKNOWN)
    assert harness.outcome_and_state("a2") == ("SuspectError", NOT_RUN)
    refusal = await harness.send("a3", CANARY)
    assert isinstance(refusal, SuspectError)
    assert refusal.first_upstream == "u1"
    assert not {"a2", "a3"} & set(harness.upstream.received_ids)
    await anyio.sleep(61)
    await harness.send("a4", CANARY)
    assert harness.outcome_and_state("a4") == ("UpstreamError", NOT_RUN)


@pytest.mark.parametrize("hangs", [False, True])
@on_trio
async def test_crash_that_cannot_be_recorded_quarantines_the_request(
    hangs: bool,
) -> None:
    """Guards against sending a request elsewhere after an unrecorded crash."""
    harness = GateHarness(limit=4)
    harness.control.result = None
    harness.control.delay_ms = 1e6 if hangs else 1
    harness.upstream.script["a1"] = "crash"
    await harness.send_all(("a1", CANARY), ("s1", SEARCH), ("a2", CANARY, 2000))
    assert harness.outcome_and_state("a1") == ("QuarantinedError", UNKNOWN)
    assert harness.outcome_and_state("a2") == ("QuarantinedError", NOT_RUN)
    assert harness.outcome_and_state("s1") == ("UpstreamError", UNKNOWN)
    assert harness.ended_ms["a1"] < 1010


@pytest.mark.parametrize(
    ("behaviour", "caller_timeout_s", "pause_s", "crash_sign"),
    [
        ("crash", 0.007, 0, "none"),
        ("stall", 0.02, 0, "broken connection"),
        ("stall", 0.02, 0, "refused connection"),
        ("stall", 0.02, 2, "refused connection"),
        ("stall", 0.02, 0, "announcement"),
        ("stall", 0.02, 2, "announcement"),
    ],
)
@on_trio
async def test_abandoned_canary_becomes_suspect_after_crash(
    behaviour: str, caller_timeout_s: float, pause_s: float, crash_sign: str
) -> None:
    """Guards against a caller that cancels and repeats a crashing request."""
    harness = GateHarness(limit=4)
    harness.control.delay_ms = 5
    harness.upstream.script |= {"a1": behaviour, "s1": 50.0}
    async with anyio.create_task_group() as group:
        with anyio.move_on_after(caller_timeout_s):
            await harness.send("a1", CANARY)
        await anyio.sleep(pause_s)
        if crash_sign == "broken connection":
            group.start_soon(harness.send, "s1")
            await anyio.sleep(0.001)
        if crash_sign != "none":
            harness.upstream.crash()
        if crash_sign == "refused connection":
            harness.upstream.default = "connect"
        if crash_sign == "announcement":
            harness.announce(incarnation=2)
    await harness.send("next")
    assert harness.control.log == [crash_command("a", True)]
    # A request that did not crash the upstream is no suspect after a later crash.
    harness.upstream.default = "ok"
    harness.announce(incarnation=2)
    harness.upstream.script |= {"b1": "stall", "s2": "reset"}
    for name, kind in (("b1", CANARY), ("s1", SEARCH), ("s2", SEARCH)):
        await harness.send(name, kind, 500)
        await anyio.sleep(1)
    assert harness.control.log == [crash_command("a", True)]


@on_trio
async def test_unanswered_canary_becomes_suspect_after_restart() -> None:
    """Guards against missing a crash that closes no connection."""
    harness = GateHarness()
    harness.upstream.script["a1"] = "stall"
    async with anyio.create_task_group() as group:
        group.start_soon(harness.send, "a1", CANARY)
        await anyio.sleep(0.005)
        harness.announce(incarnation=2)
    assert harness.control.log == [crash_command("a", True)]


@on_trio
async def test_canary_answered_after_crash_is_cleared() -> None:
    """Guards against a canary that stays a suspect although it was answered."""
    harness = GateHarness(limit=4)
    harness.upstream.script["s1"] = "reset"
    await harness.send_all(("s1", SEARCH), ("a1", CANARY))
    assert harness.outcome_and_state("a1")[0] == "ok"
    assert harness.control.log == [crash_command("a", True), ClearSuspect("a")]


DENIED = CrashResult(1, quarantined=False, granted=False)
QUARANTINED = CrashResult(2, quarantined=True)


@pytest.mark.parametrize(
    ("behaviour", "result", "outcome", "commits"),
    [
        ("ok", GRANTED, ("ok", RAN), ["claim", ClearSuspect("a")]),
        ("failed", GRANTED, ("UpstreamError", RAN), ["claim", ClearSuspect("a")]),
        (
            "crash",
            GRANTED,
            ("QuarantinedError", RAN),
            ["claim", crash_command("a", True)],
        ),
        ("stall", GRANTED, ("UpstreamError", UNKNOWN), ["claim"]),
        ("ok", DENIED, ("UnavailableError", NOT_RUN), ["claim"]),
        ("ok", QUARANTINED, ("QuarantinedError", RAN), ["claim"]),
        ("ok", None, ("QuarantinedError", NOT_RUN), []),
    ],
)
@on_trio
async def test_suspect_runs_only_with_claim_and_alone(
    behaviour: str, result: CrashResult | None, outcome: Any, commits: list[Any]
) -> None:
    """Guards against a suspect that crashes an upstream which runs other requests."""
    harness = GateHarness(limit=4, initial_time_limit_ms=60)
    harness.control.result = result
    harness.upstream.script |= {"a1": behaviour, "s0": 15.0}
    before = [(f"s{i}", SEARCH) for i in range(4)]
    after = [(f"t{i}", SEARCH, 2000) for i in range(4)]
    await harness.send_all(*before, ("a1", SUSPECT), *after)
    assert harness.outcome_and_state("a1") == outcome
    assert commits_without_claim_ids(harness) == commits
    # The first reply of a new incarnation does not match the request.
    expected = {"ok"} | ({"UpstreamError"} if behaviour == "crash" else set())
    assert {harness.outcome_and_state(r[0])[0] for r in (*before, *after)} == expected
    if result is not GRANTED:
        assert "a1" not in harness.upstream.received_ids
        return
    assert harness.upstream.running_counts["a1"] == 1
    # No request starts while the suspect runs or may still run at the upstream.
    free_ms = 1000 if behaviour == "stall" else harness.ended_ms["a1"] - 1.1
    assert harness.upstream.started_ms["t0"] >= free_ms


@on_trio
async def test_suspect_waits_only_briefly_for_requests_in_flight() -> None:
    """Guards against a suspect that cannot start and delays other requests."""
    harness = GateHarness(limit=4)
    harness.upstream.script["silent"] = "stall"
    await harness.send("silent", SEARCH, 1000)
    await harness.send_all(("a1", SUSPECT), ("s1", SEARCH))
    assert harness.outcome_and_state("a1") == ("OverloadedError", NOT_RUN)
    assert harness.upstream.started_ms["s1"] == pytest.approx(300, abs=0.1)
    assert harness.control.log == []


@pytest.mark.parametrize(
    ("behaviour", "commit_ms", "is_same_claim"),
    [("stall", 1, False), ("shed", 1, True), ("ok", 48, True)],
)
@on_trio
async def test_claim_is_used_for_one_run(
    behaviour: str, commit_ms: float, is_same_claim: bool
) -> None:
    """Guards against a second run of a suspect, and against an unused claim."""
    harness = GateHarness()
    harness.control.delay_ms = commit_ms
    harness.upstream.script["a1"] = behaviour
    with anyio.move_on_after(0.049):
        await harness.send("a1", SUSPECT, 50)
    assert harness.upstream.received_ids == ([] if commit_ms > 1 else ["a1"])
    await anyio.sleep(1)
    await harness.send("a2", SUSPECT)
    claims = [c for c in harness.control.log if isinstance(c, ClaimSuspectRun)]
    assert (claims[0].claim_id == claims[1].claim_id) is is_same_claim
