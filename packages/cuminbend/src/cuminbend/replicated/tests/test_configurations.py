"""Tests of applies: concurrent applies, resends and limits."""

import random

import pytest

from cuminbend.replicated import ApplyConfiguration
from cuminbend.replicated.tests._helpers import (
    SMALL_LIMITS,
    StateMachineDriver,
    file_text,
)


def apply(apply_id, base_version, text=None, operator="o"):
    text = file_text() if text is None else text
    return ApplyConfiguration(apply_id, base_version, text, operator)


@pytest.mark.parametrize("seed", range(20))
def test_concurrent_applies_and_resends(seed):
    # Guards against two applies accepted for one version, a resend that gets another
    # result or puts an old file in force again, and a version that decreases.
    rng = random.Random(seed)
    driver = StateMachineDriver()
    accepted_ids, first_results, sent = {}, {}, []
    for number in range(300):
        version = driver.state.version
        if sent and rng.random() < 0.5:
            command = rng.choice(sent)
        else:
            base_version = max(0, version - rng.choice([0, 0, 1, 2]))
            command = apply(f"a{number}", base_version, file_text(60 + number))
            sent.append(command)
        result = driver(command, 10)
        assert first_results.setdefault(command.apply_id, result) == result
        if result.accepted:
            assert command.base_version == result.version - 1
            assert accepted_ids.setdefault(result.version, command.apply_id) == (
                command.apply_id
            )
        assert driver.state.version in (version, version + 1)
        assert len(accepted_ids) == driver.state.version
        if rng.random() < 0.1:
            driver.restart()
    in_force = accepted_ids[driver.state.version]
    assert driver.state.text == next(
        command.text for command in sent if command.apply_id == in_force
    )


@pytest.mark.parametrize(
    ("command", "problem"),
    [
        (apply("b", 1, "no toml"), "not valid TOML"),
        (apply("b", 1, file_text(0)), "greater than or equal to 60"),
        (apply("a", 1, file_text(61)), "used with another file"),
        (apply("", 1), "apply id"),
        (apply("x" * 201, 1), "apply id"),
    ],
)
def test_refused_file_changes_nothing(command, problem):
    # Guards against a refused apply that changes the file, version or history in force.
    driver = StateMachineDriver()
    driver(apply("a", 0))
    calls = []
    driver.state.on_configuration_change = lambda: calls.append(1)
    result = driver(command)
    assert (result.accepted, result.version_in_force) == (False, 1)
    assert problem in result.problems[0]
    assert (driver.state.version, driver.state.text) == (1, file_text())
    assert len(driver.state.history()) == 1
    assert calls == []


def test_equal_file_gets_a_new_version():
    # Guards against two applies of equal files that are both accepted for one version.
    driver = StateMachineDriver()
    results = [driver(apply("a", 0)), driver(apply("b", 1)), driver(apply("c", 1))]
    assert [result.version for result in results] == [1, 2, 0]


def test_limits_of_history_and_apply_results():
    # Guards against unbounded memory, and against an old file that is put in force
    # again by a resend after the result of its apply has been dropped.
    driver = StateMachineDriver(SMALL_LIMITS)
    sent = [apply(f"a{number}", number, file_text(60 + number)) for number in range(8)]
    assert all(driver(command).accepted for command in sent)
    assert [summary.version for summary in driver.state.history()] == [6, 7, 8]
    assert [driver.state.text_of(version) for version in (6, 7, 8)] == [
        None,
        sent[6].text,
        sent[7].text,
    ]
    assert not driver(sent[0]).accepted
    assert driver.state.version == 8
    refused = driver(apply("bad", 8, file_text(0) + "a = 1\nb = 2\n"))
    assert refused.problems[1] == "and 2 more problems"


def test_callback_is_called_after_apply_and_restore():
    # Guards against a leader that does not distribute a version that it received in a
    # snapshot.
    driver, other = StateMachineDriver(), StateMachineDriver()
    notified = []
    for state in (driver.state, other.state):
        state.on_configuration_change = lambda state=state: notified.append(
            (state.version, state.configuration.claim_retention_s)
        )
    driver(apply("a", 0, file_text(61)))
    other.state.restore(driver.state.snapshot())
    other.state.restore(driver.state.snapshot())
    assert notified == [(1, 61), (1, 61)]


def test_results_of_concurrent_operators(snapshot):
    # Guards against changed results, which scripts of operators may read.
    driver = StateMachineDriver()
    steps = [
        ("anna", apply("a1", 0, file_text(60), "anna")),
        ("ben", apply("b1", 0, file_text(90), "ben")),
        ("anna again, answer lost", apply("a1", 0, file_text(60), "anna")),
        ("ben on what is in force", apply("b2", 1, file_text(90), "ben")),
        ("carla, broken", apply("c1", 2, 'name = "x\n', "carla")),
        ("carla, invalid", apply("c2", 2, file_text(1), "carla")),
        ("anna reuses an id", apply("a1", 2, file_text(61), "anna")),
        ("anna's first file again", apply("a1", 0, file_text(60), "anna")),
        ("ben, same file", apply("b3", 2, file_text(90), "ben")),
    ]
    results = [(description, driver(command, 1000)) for description, command in steps]
    assert (results, driver.state.history()) == snapshot
