"""Requests that may break the upstreams that run them."""

from typing import Any

import anyio
import pytest

from cuminbend.exceptions import RunState, SuspectError
from cuminbend.messages import WorkKind
from cuminbend.replicated import ClaimSuspectRun, ClearSuspect, RecordCrash
from cuminbend.upstreams.tests.fakes import GRANTED, Bench, CrashResult, on_trio

NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN
CANARY, SEARCH, SUSPECT = WorkKind.CANARY, WorkKind.SEARCH, WorkKind.SUSPECT


def summary(bench: Bench) -> list[Any]:
    """Return the commits without claim ids."""
    log = bench.control.log
    return ["claim" if isinstance(c, ClaimSuspectRun) else c for c in log]


def crash(fingerprint: str, alone: bool) -> RecordCrash:
    return RecordCrash(fingerprint, "u1", 1, alone)


@pytest.mark.parametrize(
    ("first", "ends_ms"),
    [
        ("ok", [10, 10, 20, 20]),
        ("shed", [10, 10, 20, 30]),
        ("stall", [10, 200, 210, 220]),
    ],
)
@on_trio
async def test_equal_canaries_take_turns(first: str, ends_ms: list[int]) -> None:
    """Guards against one body that is tried twice at a time on one upstream."""
    bench = Bench(limit=4)
    bench.upstream.script["a1"] = first
    await bench.send_all(*((name, CANARY) for name in ("a1", "a2", "a3", "b1")))
    assert sorted(round(end_ms) for end_ms in bench.ended_ms.values()) == ends_ms
    assert bench.control.log == []


@pytest.mark.parametrize("alone", [False, True])
@on_trio
async def test_a_break_makes_suspects_of_unproven_requests(alone: bool) -> None:
    """Guards against a crash that is reported before it is on record."""
    bench = Bench(limit=4)
    bench.control.delay_ms = 5
    bench.upstream.script |= {"a1": "crash", "a4": "shed"}
    canaries = ["a1"] if alone else ["a1", "b1"]
    requests = [(name, CANARY) for name in canaries]
    await bench.send_all(*requests, ("s1", SEARCH), ("a2", CANARY))
    commits = [crash(name[0], alone) for name in canaries]
    assert sorted(bench.control.log, key=str) == commits
    for name in canaries:
        assert bench.failure(name) == ("UpstreamError", UNKNOWN)
        assert bench.commits_before[name] == len(commits)
    assert bench.failure("s1") == ("UpstreamError", UNKNOWN)
    assert bench.failure("a2") == ("SuspectError", NOT_RUN)
    refusal = await bench.send("a3", CANARY)
    assert isinstance(refusal, SuspectError)
    assert refusal.first_upstream == "u1"
    assert not {"a2", "a3"} & set(bench.upstream.seen)
    await anyio.sleep(61)
    await bench.send("a4", CANARY)
    assert bench.failure("a4") == ("UpstreamError", NOT_RUN)


@pytest.mark.parametrize("hangs", [False, True])
@on_trio
async def test_a_crash_that_cannot_be_recorded_ends_the_query(hangs: bool) -> None:
    """Guards against trying the next upstream with a crash that nobody knows of."""
    bench = Bench(limit=4)
    bench.control.result = None
    bench.control.delay_ms = 1e6 if hangs else 1
    bench.upstream.script["a1"] = "crash"
    await bench.send_all(("a1", CANARY), ("s1", SEARCH), ("a2", CANARY, 2000))
    assert bench.failure("a1") == ("QuarantinedError", UNKNOWN)
    assert bench.failure("a2") == ("QuarantinedError", NOT_RUN)
    assert bench.failure("s1") == ("UpstreamError", UNKNOWN)
    assert bench.ended_ms["a1"] < 1010


@pytest.mark.parametrize(
    ("word", "patience_s", "pause_s", "sign"),
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
async def test_a_canary_whose_caller_gave_up_is_a_suspect_too(
    word: str, patience_s: float, pause_s: float, sign: str
) -> None:
    """Guards against a caller that cancels and retries what breaks upstreams."""
    bench = Bench(limit=4)
    bench.control.delay_ms = 5
    bench.upstream.script |= {"a1": word, "s1": 50.0}
    async with anyio.create_task_group() as group:
        with anyio.move_on_after(patience_s):
            await bench.send("a1", CANARY)
        await anyio.sleep(pause_s)
        if sign == "broken connection":
            group.start_soon(bench.send, "s1")
            await anyio.sleep(0.001)
        if sign != "none":
            bench.upstream.crash()
        if sign == "refused connection":
            bench.upstream.default = "connect"
        if sign == "announcement":
            bench.announce(incarnation=2)
    await bench.send("next")
    assert bench.control.log == [crash("a", True)]
    # What the upstream survived is no suspect of a later break.
    bench.upstream.default = "ok"
    bench.announce(incarnation=2)
    bench.upstream.script |= {"b1": "stall", "s2": "reset"}
    for name, kind in (("b1", CANARY), ("s1", SEARCH), ("s2", SEARCH)):
        await bench.send(name, kind, 500)
        await anyio.sleep(1)
    assert bench.control.log == [crash("a", True)]


@on_trio
async def test_a_canary_that_is_silent_during_a_restart_is_a_suspect() -> None:
    """Guards against a break that closes no connection."""
    bench = Bench()
    bench.upstream.script["a1"] = "stall"
    async with anyio.create_task_group() as group:
        group.start_soon(bench.send, "a1", CANARY)
        await anyio.sleep(0.005)
        bench.announce(incarnation=2)
    assert bench.control.log == [crash("a", True)]


@on_trio
async def test_a_canary_that_is_answered_after_a_break_is_cleared() -> None:
    """Guards against a suspect that has been answered."""
    bench = Bench(limit=4)
    bench.upstream.script["s1"] = "reset"
    await bench.send_all(("s1", SEARCH), ("a1", CANARY))
    assert bench.failure("a1")[0] == "ok"
    assert bench.control.log == [crash("a", True), ClearSuspect("a")]


DENIED = CrashResult(1, quarantined=False, granted=False)
QUARANTINED = CrashResult(2, quarantined=True)


@pytest.mark.parametrize(
    ("word", "result", "outcome", "commits"),
    [
        ("ok", GRANTED, ("ok", RAN), ["claim", ClearSuspect("a")]),
        ("failed", GRANTED, ("UpstreamError", RAN), ["claim", ClearSuspect("a")]),
        ("crash", GRANTED, ("QuarantinedError", RAN), ["claim", crash("a", True)]),
        ("stall", GRANTED, ("UpstreamError", UNKNOWN), ["claim"]),
        ("ok", DENIED, ("UnavailableError", NOT_RUN), ["claim"]),
        ("ok", QUARANTINED, ("QuarantinedError", RAN), ["claim"]),
        ("ok", None, ("QuarantinedError", NOT_RUN), []),
    ],
)
@on_trio
async def test_a_suspect_runs_only_with_a_claim_and_alone(
    word: str, result: CrashResult | None, outcome: Any, commits: list[Any]
) -> None:
    """Guards against a suspect that breaks an upstream together with other work."""
    bench = Bench(limit=4, initial_time_limit_ms=60)
    bench.control.result = result
    bench.upstream.script |= {"a1": word, "s0": 15.0}
    before = [(f"s{i}", SEARCH) for i in range(4)]
    after = [(f"t{i}", SEARCH, 2000) for i in range(4)]
    await bench.send_all(*before, ("a1", SUSPECT), *after)
    assert bench.failure("a1") == outcome
    assert summary(bench) == commits
    # The first reply of a new incarnation is a mismatch.
    expected = {"ok"} | ({"UpstreamError"} if word == "crash" else set())
    assert {bench.failure(r[0])[0] for r in (*before, *after)} == expected
    if result is not GRANTED:
        assert "a1" not in bench.upstream.seen
        return
    assert bench.upstream.loads["a1"] == 1
    # Nothing starts beside it, also while the upstream may still run it.
    free_ms = 1000 if word == "stall" else bench.ended_ms["a1"] - 1.1
    assert bench.upstream.started_ms["t0"] >= free_ms


@on_trio
async def test_a_suspect_waits_for_an_empty_upstream_for_a_short_time_only() -> None:
    """Guards against other work kept waiting by a suspect that cannot start."""
    bench = Bench(limit=4)
    bench.upstream.script["silent"] = "stall"
    await bench.send("silent", SEARCH, 1000)
    await bench.send_all(("a1", SUSPECT), ("s1", SEARCH))
    assert bench.failure("a1") == ("OverloadedError", NOT_RUN)
    assert bench.upstream.started_ms["s1"] == pytest.approx(300, abs=0.1)
    assert bench.control.log == []


@pytest.mark.parametrize(
    ("word", "commit_ms", "is_same"),
    [("stall", 1, False), ("shed", 1, True), ("ok", 48, True)],
)
@on_trio
async def test_a_claim_is_used_once(word: str, commit_ms: float, is_same: bool) -> None:
    """Guards against a second run of a suspect, and against a wasted claim."""
    bench = Bench()
    bench.control.delay_ms = commit_ms
    bench.upstream.script["a1"] = word
    with anyio.move_on_after(0.049):
        await bench.send("a1", SUSPECT, 50)
    assert bench.upstream.seen == ([] if commit_ms > 1 else ["a1"])
    await anyio.sleep(1)
    await bench.send("a2", SUSPECT)
    claims = [c for c in bench.control.log if isinstance(c, ClaimSuspectRun)]
    assert (claims[0].claim_id == claims[1].claim_id) is is_same
