"""Exchanges of one gate: run states, checks before them, time limits, connections."""

from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest

from cuminbend.exceptions import RunState, UpstreamErrorKind
from cuminbend.messages import OwnedUpstream, UpstreamState, WorkKind
from cuminbend.upstreams.tests.fakes import Bench, run

NOT_RUN, RAN, UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN


@pytest.mark.parametrize(
    ("word", "kind", "search", "submit"),
    [
        ("reset", UpstreamErrorKind.RESET, UNKNOWN, UNKNOWN),
        ("shed", UpstreamErrorKind.SHED, NOT_RUN, NOT_RUN),
        ("connect", UpstreamErrorKind.CONNECT, NOT_RUN, NOT_RUN),
        ("draining", UpstreamErrorKind.DRAINING, NOT_RUN, NOT_RUN),
        ("stall", UpstreamErrorKind.TIMEOUT, UNKNOWN, UNKNOWN),
        ("snapshot", UpstreamErrorKind.MISMATCH, RAN, None),
        ("partial", UpstreamErrorKind.MISMATCH, UNKNOWN, None),
        ("crossed", UpstreamErrorKind.MISMATCH, UNKNOWN, UNKNOWN),
        ("stranger", UpstreamErrorKind.MISMATCH, UNKNOWN, UNKNOWN),
        ("restarted", UpstreamErrorKind.MISMATCH, UNKNOWN, UNKNOWN),
        ("failed", UpstreamErrorKind.FAILED, RAN, UNKNOWN),
        ("oserror", UpstreamErrorKind.FAILED, UNKNOWN, UNKNOWN),
    ],
)
def test_a_failed_exchange_has_its_true_run_state(
    word: str, kind: UpstreamErrorKind, search: RunState, submit: RunState | None
) -> None:
    """Guards against wrong replies as results, and work that ran called not run."""

    async def main() -> None:
        for work, state in ((WorkKind.SEARCH, search), (WorkKind.SUBMIT, submit)):
            bench = Bench()
            bench.upstream.default = word
            outcome = await bench.send("r", work)
            if state is not None:
                assert (outcome.kind, outcome.run_state) == (kind, state)

    run(main)


def expire_lease(bench: Bench) -> None:
    bench.lease.remaining = 500.0


def take_out_data_centre(bench: Bench) -> None:
    bench.in_service = False


def take_out_and_tell(bench: Bench) -> None:
    bench.in_service = False
    bench.gate.data_centre_changed()


def announce_leaving(bench: Bench) -> None:
    bench.gate.announced(replace(bench.announcement, state=UpstreamState.LEAVING))


def drain_by_reply(bench: Bench) -> None:
    bench.upstream.script["first"] = "draining"


def stop(bench: Bench) -> None:
    bench.gate.stop_admitting("test")


@pytest.mark.parametrize(
    ("change", "error", "ended_ms"),
    [
        (expire_lease, "LeaseExpiredError", 10),
        (take_out_data_centre, "UnavailableError", 10),
        (take_out_and_tell, "UnavailableError", 5),
        (announce_leaving, "UnavailableError", 5),
        (drain_by_reply, "UnavailableError", 10),
        (stop, "UnavailableError", 5),
    ],
)
def test_what_changes_while_a_request_waits_is_noticed_before_it_is_sent(
    change: Callable[[Bench], None], error: str, ended_ms: float
) -> None:
    """Guards against new work to upstreams that may get none any more."""

    async def main() -> None:
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.send, "first")
            await anyio.sleep(0.001)
            group.start_soon(bench.send, "second")
            await anyio.sleep(0.004)
            change(bench)
        assert bench.failure("second") == (error, NOT_RUN)
        assert bench.ended_ms["second"] == pytest.approx(ended_ms, abs=0.1)
        await bench.send("third", budget_ms=600)
        assert bench.failure("third") == (error, NOT_RUN)
        assert bench.upstream.seen == ["first"]

    run(main)


def test_a_request_shorter_than_the_lease_is_sent_with_its_remaining_budget() -> None:
    """Guards against refusing all work near the end of a lease, and stale budgets."""

    async def main() -> None:
        bench = Bench()
        expire_lease(bench)
        async with anyio.create_task_group() as group:
            group.start_soon(lambda: bench.send("first", budget_ms=400))
            await anyio.sleep(0.001)
            await bench.send("second", budget_ms=400)
        assert bench.failure("second")[0] == "ok"
        assert bench.upstream.budgets[1] == pytest.approx(391, abs=0.1)

    run(main)


@pytest.mark.parametrize(
    ("service_ms", "kind", "budget_ms", "expected_ms"),
    [
        (None, WorkKind.SEARCH, 1000, 77),
        (5.0, WorkKind.SEARCH, 1000, 50),
        (30.0, WorkKind.HEDGE, 1000, 120),
        (30.0, WorkKind.CANARY, 100, 60),
        (5.0, WorkKind.SUBMIT, 1000, 1000),
    ],
)
def test_the_time_limit_follows_the_service_time(
    service_ms: float | None, kind: WorkKind, budget_ms: float, expected_ms: float
) -> None:
    """Guards against waiting for a silent connection until the deadline."""

    async def main() -> None:
        bench = Bench(slots=1, initial_time_limit_ms=77)
        if service_ms is not None:
            bench.upstream.service_ms = service_ms
            await bench.warm_up()
        began_ms = bench.clock.monotonic_ms()
        bench.upstream.default = "stall"
        await bench.send("r", kind, budget_ms=budget_ms)
        assert bench.ended_ms["r"] - began_ms == pytest.approx(expected_ms, abs=0.1)
        assert bench.failure("r") == ("UpstreamError", UNKNOWN)
        assert bench.upstream.seen == ["r"]

    run(main)


def test_an_estimate_of_another_time_does_not_refuse_requests_forever() -> None:
    """Guards against a slow phase after which short budgets are always too late."""

    async def main() -> None:
        bench = Bench(slots=1)
        bench.upstream.service_ms = 180.0
        await bench.warm_up(4)
        await bench.send("refused", budget_ms=100)
        assert bench.failure("refused") == ("OverloadedError", NOT_RUN)
        bench.upstream.service_ms = 5.0
        await anyio.sleep(6)
        await bench.send("r", budget_ms=100)
        assert bench.failure("r")[0] == "ok"

    run(main)


@pytest.mark.parametrize("confirms", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
def test_abandoned_connections_count_until_they_are_known_to_be_closed(
    confirms: bool, cancelled: bool
) -> None:
    """Guards against exceeding the connection cap, and against starving by hedging."""

    async def main() -> None:
        bench = Bench(limit=4, cap=2, connection_linger_ms=3000)
        bench.upstream.confirms_cancel = confirms
        for i in range(4):
            bench.upstream.script[f"r{i}"] = "stall"
            with anyio.move_on_after(0.03 if cancelled else 10):
                await bench.send(f"r{i}", budget_ms=200)
        await bench.send("next", budget_ms=200)
        assert bench.upstream.peak_held <= 2
        if confirms:
            assert bench.failure("next")[0] == "ok"
            return
        assert bench.failure("next") == ("UnavailableError", NOT_RUN)
        assert bench.outcomes["next"].retry_after_ms > 0
        assert bench.upstream.seen == ["r0", "r1"]
        await anyio.sleep(4)
        await bench.send("later")
        assert bench.failure("later")[0] == "ok"

    run(main)


def test_a_release_finishes_work_in_flight_and_hands_over_what_is_known() -> None:
    """Guards against cut requests, and against two owners with work in flight."""

    async def main() -> None:
        bench = Bench(limit=2)
        bench.upstream.script["silent"] = "stall"
        async with anyio.create_task_group() as group:
            for name in ("silent", "running", "queued"):
                group.start_soon(bench.send, name, WorkKind.SEARCH)
                await anyio.sleep(0.001)
            handover = await bench.gate.release()
        assert bench.clock.monotonic_ms() == pytest.approx(1000, abs=0.1)
        assert bench.failure("running")[0] == "ok"
        assert bench.failure("queued") == ("UnavailableError", NOT_RUN)
        assert bench.upstream.closed
        assert (handover.limit, handover.lingering_connections) == (2, 1)
        again = Bench(cap=1)
        again.gate.regranted(OwnedUpstream("u1", 2, 1, handover))
        await again.send("r")
        assert again.limit == 2
        assert again.failure("r") == ("UnavailableError", NOT_RUN)
        again.gate.regranted(OwnedUpstream("u1", 3, 1))
        assert again.limit == 1

    run(main)
