"""Tests of suspects and the quarantine."""

import pytest

from cuminbend.replicated.tests._helpers import SMALL, Machine, clear, crash, run

LAPSE_MS = 10_001


@pytest.mark.parametrize(
    ("steps", "crashes", "quarantined", "granted"),
    [
        ([crash()], 1, False, False),
        # One crash counts once, whoever reports it how often.
        ([crash(), crash()], 1, False, False),
        ([crash(alone=True), crash(alone=True)], 1, False, False),
        ([crash(), crash(upstream="u2")], 2, True, False),
        ([crash(), crash(incarnation=2)], 2, True, False),
        ([crash(), run("r1")], 1, False, True),
        ([crash(), run("r1"), run("r1")], 1, False, True),
        ([crash(), run("r1"), run("r2")], 1, False, False),
        ([crash(), run("")], 1, False, False),
        ([crash(), run("r1"), crash(upstream="u2", alone=True)], 2, True, False),
        # The run may break the connection to the same upstream again.
        ([crash(), run("r1", upstream="u1"), crash(alone=True)], 2, True, False),
        ([crash(), run("r1"), crash(upstream="u2", alone=True), run("r1")], 2, 1, 0),
        # A suspect that was answered starts afresh; a quarantine stays.
        ([crash(), run("r1"), clear()], 0, False, False),
        ([crash(), run("r1"), clear("r1"), crash()], 1, False, False),
        ([crash(), run("r1"), clear("r2")], 1, False, False),
        ([crash(), clear()], 1, False, False),
        ([crash(), crash(upstream="u2"), clear()], 2, True, False),
        ([run("r1")], 0, False, False),
        # A run that is never resolved counts as a crash.
        ([crash(), run("r1"), (run("r2"), LAPSE_MS)], 2, True, False),
        ([crash(), run("r1"), (clear("r1"), LAPSE_MS)], 2, True, False),
        ([crash(), run("r1"), (run("r1"), LAPSE_MS - 1)], 1, False, True),
    ],
)
@pytest.mark.parametrize("restart", [False, True])
def test_suspect(steps, crashes, quarantined, granted, restart):
    # Guards against a third upstream broken by one request, and against a quarantine
    # of requests that broke only one.
    machine = Machine()
    for step in steps:
        command, after_ms = step if isinstance(step, tuple) else (step, 0)
        result = machine(command, after_ms)
        if restart:
            machine.restart()
    assert (result.crashes, result.quarantined, result.granted) == (
        crashes,
        quarantined,
        granted,
    )
    assert machine.state.quarantined == ({"f"} if quarantined else frozenset())
    assert machine.state.suspects == ({"f": "u1"} if crashes == 1 else {})


def test_lapsed_run_shows_without_a_command():
    # Guards against a quarantine that waits for the next request to be noticed.
    machine = Machine()
    machine(crash())
    machine(run("r1"))
    machine.state.apply("noop", b"", machine.at_ms + LAPSE_MS)
    assert machine.state.quarantined == {"f"}


def test_table_is_bounded():
    # Guards against unbounded memory; the oldest fingerprint goes first.
    machine = Machine(SMALL)
    for number in range(4):
        machine(crash(f"f{number}"))
    assert list(machine.state.suspects) == ["f1", "f2", "f3"]
