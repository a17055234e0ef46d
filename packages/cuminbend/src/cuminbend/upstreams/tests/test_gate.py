"""Behaviour of one gate against a scripted upstream."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from cuminbend.exceptions import RunState, UpstreamErrorKind
from cuminbend.messages import ShardReply, WorkKind
from cuminbend.upstreams.tests.fakes import Bench


def run(test: Callable[[], Awaitable[Any]]) -> Any:
    return trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ("word", "kind", "state"),
    [
        ("reset", UpstreamErrorKind.RESET, RunState.UNKNOWN),
        ("shed", UpstreamErrorKind.SHED, RunState.NOT_RUN),
        ("connect", UpstreamErrorKind.CONNECT, RunState.NOT_RUN),
        ("draining", UpstreamErrorKind.DRAINING, RunState.NOT_RUN),
        ("stall", UpstreamErrorKind.TIMEOUT, RunState.UNKNOWN),
        ("snapshot", UpstreamErrorKind.MISMATCH, RunState.RAN),
        ("crossed", UpstreamErrorKind.MISMATCH, RunState.UNKNOWN),
        ("failed", UpstreamErrorKind.FAILED, RunState.RAN),
        ("oserror", UpstreamErrorKind.FAILED, RunState.UNKNOWN),
    ],
)
@pytest.mark.parametrize("submit", [False, True])
def test_a_failed_exchange_has_its_true_run_state(
    word: str, kind: UpstreamErrorKind, state: RunState, submit: bool
) -> None:
    """Guards against a submit that ran being reported as not run, and the reverse."""

    async def main() -> None:
        bench = Bench()
        bench.upstream.default = word
        if submit and word == "snapshot":
            return
        outcome = await bench.send("r", WorkKind.SUBMIT if submit else WorkKind.SEARCH)
        assert (outcome.kind, outcome.run_state) == (
            kind,
            RunState.UNKNOWN if submit and state is RunState.RAN else state,
        )

    run(main)


def test_requests_are_answered_and_raise_the_limit() -> None:
    """Guards against a cold upstream that never gets more than one request."""

    async def main() -> None:
        bench = Bench(window_successes=4)
        async with trio.open_nursery() as nursery:
            for i in range(16):
                nursery.start_soon(bench.send, f"r{i}")
        assert all(isinstance(o, ShardReply) for o in bench.outcomes.values())
        assert 2 <= bench.upstream.peak <= 4

    run(main)
