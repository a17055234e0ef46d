"""Requests that may break the upstreams that run them."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from cuminbend.exceptions import RunState
from cuminbend.messages import WorkKind
from cuminbend.replicated import (
    ClaimSuspectRun,
    ClearSuspect,
    CrashResult,
    RecordCrash,
)
from cuminbend.upstreams import SuspectError
from cuminbend.upstreams.tests.fakes import Bench, run

NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN
CANARY, SEARCH, SUSPECT = WorkKind.CANARY, WorkKind.SEARCH, WorkKind.SUSPECT


async def send_all(bench: Bench, requests: list[tuple[str, WorkKind]]) -> None:
    """Send requests in order; the letter of a name is its fingerprint."""
    async with anyio.create_task_group() as group:
        for name, kind in requests:

            async def send(name: str = name, kind: WorkKind = kind) -> None:
                budget_ms = 1000 if kind is SUSPECT else 2000
                await bench.send(name, kind, budget_ms=budget_ms, fingerprint=name[0])

            group.start_soon(send)
            await anyio.lowlevel.checkpoint()


def summary(bench: Bench) -> list[Any]:
    """Return the commits without claim ids."""
    return [
        ("claim", command.fingerprint)
        if isinstance(command, ClaimSuspectRun)
        else command
        for command in bench.control.log
    ]


def crash(fingerprint: str, alone: bool) -> RecordCrash:
    return RecordCrash(fingerprint, "u1", 1, alone)


def test_equal_canaries_wait_for_the_first_and_then_run_together() -> None:
    """Guards against one body that is tried twice at a time on one upstream."""

    async def main() -> None:
        bench = Bench(limit=4)
        kinds = {"a1": CANARY, "a2": CANARY, "a3": CANARY, "b1": CANARY}
        await send_all(bench, list(kinds.items()))
        ends = {name: round(bench.ended_ms[name]) for name in kinds}
        assert ends == {"a1": 10, "b1": 10, "a2": 20, "a3": 20}
        assert bench.control.log == []

    run(main)


@pytest.mark.parametrize("first", ["stall", "shed"])
def test_a_canary_without_an_answer_leaves_its_turn_to_the_next(first: str) -> None:
    """Guards against waiting for, or trusting, a canary that was not answered."""

    async def main() -> None:
        bench = Bench(limit=4)
        bench.upstream.script["a1"] = first
        await send_all(bench, [("a1", CANARY), ("a2", CANARY), ("a3", CANARY)])
        ends = [bench.ended_ms[name] for name in ("a2", "a3")]
        assert abs(ends[0] - ends[1]) == pytest.approx(10, abs=1)

    run(main)


@pytest.mark.parametrize("alone", [False, True])
def test_a_break_makes_suspects_of_the_unproven_requests_only(alone: bool) -> None:
    """Guards against a crash that is reported before it is on record."""

    async def main() -> None:
        bench = Bench(limit=4)
        bench.control.delay_ms = 5
        bench.upstream.script["a1"] = "crash"
        requests = [("a1", CANARY), ("s1", SEARCH), ("a2", CANARY)]
        if not alone:
            requests.append(("b1", CANARY))
        await send_all(bench, requests)
        commits = [crash("a", alone)] + ([] if alone else [crash("b", False)])
        assert sorted(bench.control.log, key=str) == commits
        for name in ["a1"] if alone else ["a1", "b1"]:
            assert bench.failure(name) == ("UpstreamError", UNKNOWN)
            assert bench.commits_before[name] == len(commits)
        assert bench.failure("s1") == ("UpstreamError", UNKNOWN)
        assert bench.failure("a2") == ("SuspectError", NOT_RUN)
        refusal = await bench.send("a3", CANARY, fingerprint="a")
        assert isinstance(refusal, SuspectError)
        assert refusal.first_upstream == "u1"
        assert not {"a2", "a3"} & set(bench.upstream.seen)
        await anyio.sleep(61)
        bench.upstream.script["a4"] = "shed"
        await bench.send("a4", CANARY, fingerprint="a")
        assert bench.failure("a4") == ("UpstreamError", NOT_RUN)

    run(main)


@pytest.mark.parametrize("hangs", [False, True])
def test_a_crash_that_cannot_be_recorded_ends_the_query(hangs: bool) -> None:
    """Guards against trying the next upstream with a crash that nobody knows of."""

    async def main() -> None:
        bench = Bench(limit=4)
        bench.control.result = None
        bench.control.delay_ms = 1e6 if hangs else 1
        bench.upstream.script["a1"] = "crash"
        await send_all(bench, [("a1", CANARY), ("s1", SEARCH), ("a2", CANARY)])
        assert bench.failure("a1") == ("QuarantinedError", UNKNOWN)
        assert bench.failure("a2")[1] == NOT_RUN
        assert bench.failure("s1") == ("UpstreamError", UNKNOWN)

    run(main)


def by_broken_connection(bench: Bench) -> Any:
    bench.upstream.crash()


def by_refused_connection(bench: Bench) -> None:
    bench.upstream.default = "connect"


def by_announcement(bench: Bench) -> None:
    bench.upstream.crash()
    bench.gate.announced(replace(bench.announcement, incarnation=2))


@pytest.mark.parametrize(
    ("sign", "others"),
    [
        (by_broken_connection, [SEARCH]),
        (by_refused_connection, []),
        (by_announcement, []),
    ],
)
def test_a_canary_whose_caller_gave_up_is_a_suspect_too(
    sign: Callable[[Bench], None], others: list[WorkKind]
) -> None:
    """Guards against a caller that cancels and retries what breaks upstreams."""

    async def main() -> None:
        bench = Bench(limit=4)
        bench.upstream.script |= {"a1": "stall", "s": 50.0}
        async with anyio.create_task_group() as group:
            with anyio.move_on_after(0.02):
                await bench.send("a1", CANARY, fingerprint="a")
            for kind in others:
                group.start_soon(bench.send, "s", kind)
                await anyio.sleep(0.001)
            sign(bench)
        await bench.send("next")
        assert bench.control.log == [crash("a", True)]

    run(main)


def test_a_canary_that_is_answered_after_a_break_is_cleared() -> None:
    """Guards against a suspect that has been answered."""

    async def main() -> None:
        bench = Bench(limit=4)
        bench.upstream.script["s1"] = "reset"
        await send_all(bench, [("s1", SEARCH), ("a1", CANARY)])
        assert bench.failure("a1")[0] == "ok"
        assert bench.control.log == [crash("a", True), ClearSuspect("a")]

    run(main)


GRANTED = CrashResult(1, quarantined=False, granted=True)
DENIED = CrashResult(1, quarantined=False, granted=False)
QUARANTINED = CrashResult(2, quarantined=True)


@pytest.mark.parametrize(
    ("word", "result", "outcome", "commits"),
    [
        ("ok", GRANTED, ("ok", RAN), [("claim", "a"), ClearSuspect("a")]),
        (
            "failed",
            GRANTED,
            ("UpstreamError", RAN),
            [("claim", "a"), ClearSuspect("a")],
        ),
        (
            "crash",
            GRANTED,
            ("QuarantinedError", RAN),
            [("claim", "a"), crash("a", True)],
        ),
        ("stall", GRANTED, ("UpstreamError", UNKNOWN), [("claim", "a")]),
        ("ok", DENIED, ("UnavailableError", NOT_RUN), [("claim", "a")]),
        ("ok", QUARANTINED, ("QuarantinedError", RAN), [("claim", "a")]),
        ("ok", None, ("QuarantinedError", NOT_RUN), []),
    ],
)
def test_a_suspect_runs_only_with_a_claim_and_alone(
    word: str,
    result: CrashResult | None,
    outcome: tuple[str, RunState],
    commits: list[Any],
) -> None:
    """Guards against a suspect that breaks an upstream together with other work."""

    async def main() -> None:
        bench = Bench(limit=4, initial_time_limit_ms=60)
        bench.control.result = result
        bench.upstream.script["a1"] = word
        requests = [(f"s{i}", SEARCH) for i in range(4)]
        requests += [("a1", SUSPECT), *((f"t{i}", SEARCH) for i in range(4))]
        await send_all(bench, requests)
        assert bench.failure("a1") == outcome
        assert summary(bench) == commits
        assert bench.upstream.seen.count("a1") == int(result is GRANTED)
        assert bench.upstream.loads_of.get("a1", 1) == 1
        others = [name for name, _ in requests if name != "a1"]
        # The first reply of a new incarnation is a mismatch.
        expected = {"ok"} | ({"UpstreamError"} if word == "crash" else set())
        assert {bench.failure(name)[0] for name in others} == expected
        if result is GRANTED:
            # Nothing starts beside it, also while the upstream may still run it.
            waited_ms = 1000 if word == "stall" else bench.ended_ms["a1"] - 1.1
            assert bench.upstream.started_ms["t0"] >= waited_ms

    run(main)


@pytest.mark.parametrize("cancelled", [False, True])
def test_a_claim_is_used_for_one_run_only(cancelled: bool) -> None:
    """Guards against a second run of a suspect, and against a wasted claim."""

    async def main() -> None:
        bench = Bench()
        bench.upstream.script["a1"] = "stall" if cancelled else "shed"
        with anyio.move_on_after(0.02):
            await bench.send("a1", SUSPECT, fingerprint="a", budget_ms=50)
        await anyio.sleep(1)
        await bench.send("a2", SUSPECT, fingerprint="a")
        claims = [c for c in bench.control.log if isinstance(c, ClaimSuspectRun)]
        assert (claims[0].claim_id != claims[1].claim_id) is cancelled

    run(main)
