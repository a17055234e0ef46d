"""Tests of suspects and the quarantine."""

import pytest

from cuminbend.replicated.tests._helpers import (
    SMALL_LIMITS,
    StateMachineDriver,
    claim_run,
    clear,
    crash,
)

EXPIRED_RUN_MS = 10_001


@pytest.mark.parametrize(
    ("steps", "crashes", "quarantined", "granted"),
    [
        ([crash()], 1, False, False),
        # A crash counts once, however often it is reported.
        ([crash(), crash()], 1, False, False),
        ([crash(alone=True), crash(alone=True)], 1, False, False),
        ([crash(), crash(upstream="u2")], 2, True, False),
        ([crash(), crash(incarnation=2)], 2, True, False),
        ([crash(), claim_run("r1")], 1, False, True),
        ([crash(), claim_run("r1"), claim_run("r1")], 1, False, True),
        ([crash(), claim_run("r1"), claim_run("r2")], 1, False, False),
        ([crash(), claim_run("")], 1, False, False),
        ([crash(), claim_run("r1"), crash(upstream="u2", alone=True)], 2, True, False),
        # The claimed run breaks the connection to the same upstream again.
        ([crash(), claim_run("r1", upstream="u1"), crash(alone=True)], 2, True, False),
        (
            [
                crash(),
                claim_run("r1"),
                crash(upstream="u2", alone=True),
                claim_run("r1"),
            ],
            2,
            1,
            0,
        ),
        # A suspect that was answered is cleared; a quarantined fingerprint is not.
        ([crash(), claim_run("r1"), clear()], 0, False, False),
        ([crash(), claim_run("r1"), clear("r1"), crash()], 1, False, False),
        ([crash(), claim_run("r1"), clear("r2")], 1, False, False),
        ([crash(), clear()], 1, False, False),
        ([crash(), crash(upstream="u2"), clear()], 2, True, False),
        ([claim_run("r1")], 0, False, False),
        # A run that is never resolved counts as a crash.
        ([crash(), claim_run("r1"), (claim_run("r2"), EXPIRED_RUN_MS)], 2, True, False),
        ([crash(), claim_run("r1"), (clear("r1"), EXPIRED_RUN_MS)], 2, True, False),
        (
            [crash(), claim_run("r1"), (claim_run("r1"), EXPIRED_RUN_MS - 1)],
            1,
            False,
            True,
        ),
    ],
)
@pytest.mark.parametrize("restart", [False, True])
def test_crash_result_after_steps(steps, crashes, quarantined, granted, restart):
    # Guards against a request that crashes a third upstream, and against a quarantine
    # of requests that crashed only one upstream.
    driver = StateMachineDriver()
    for step in steps:
        command, after_ms = step if isinstance(step, tuple) else (step, 0)
        result = driver(command, after_ms)
        if restart:
            driver.restart()
    assert (result.crashes, result.quarantined, result.granted) == (
        crashes,
        quarantined,
        granted,
    )
    assert driver.state.quarantined == ({"f"} if quarantined else frozenset())
    assert driver.state.suspects == ({"f": "u1"} if crashes == 1 else {})


def test_expired_run_counts_without_a_command():
    # Guards against an expired run that counts as a crash only at the next command.
    driver = StateMachineDriver()
    driver(crash())
    driver(claim_run("r1"))
    driver.state.apply("noop", b"", driver.at_ms + EXPIRED_RUN_MS)
    assert driver.state.quarantined == {"f"}


def test_number_of_fingerprints_is_limited():
    # Guards against unbounded memory; the oldest fingerprint is dropped first.
    driver = StateMachineDriver(SMALL_LIMITS)
    for number in range(4):
        driver(crash(f"f{number}"))
    assert list(driver.state.suspects) == ["f1", "f2", "f3"]
