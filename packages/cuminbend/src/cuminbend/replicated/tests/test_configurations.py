"""Tests of applies: races, resends and bounds."""

import random

import pytest

from cuminbend.replicated import ApplyConfiguration
from cuminbend.replicated.tests._helpers import SMALL, Machine, file_text


def apply(apply_id, base_version, text=None, operator="o"):
    text = file_text() if text is None else text
    return ApplyConfiguration(apply_id, base_version, text, operator)


@pytest.mark.parametrize("seed", range(20))
def test_racing_operators(seed):
    # Guards against two winners of a version, a resend that gets another verdict or
    # puts an old file in force again, and a version that goes back.
    rng = random.Random(seed)
    machine = Machine()
    winners, verdicts, sent = {}, {}, []
    for number in range(300):
        version = machine.state.version
        if sent and rng.random() < 0.5:
            command = rng.choice(sent)
        else:
            base_version = max(0, version - rng.choice([0, 0, 1, 2]))
            command = apply(f"a{number}", base_version, file_text(60 + number))
            sent.append(command)
        result = machine(command, 10)
        assert verdicts.setdefault(command.apply_id, result) == result
        if result.accepted:
            assert command.base_version == result.version - 1
            assert winners.setdefault(result.version, command.apply_id) == (
                command.apply_id
            )
        assert machine.state.version in (version, version + 1)
        assert len(winners) == machine.state.version
        if rng.random() < 0.1:
            machine.restart()
    in_force = winners[machine.state.version]
    assert machine.state.text == next(
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
    # Guards against a refused apply that leaves traces in what is in force.
    machine = Machine()
    machine(apply("a", 0))
    called = []
    machine.state.on_configuration_change = lambda: called.append(1)
    result = machine(command)
    assert (result.accepted, result.version_in_force) == (False, 1)
    assert problem in result.problems[0]
    assert (machine.state.version, machine.state.text) == (1, file_text())
    assert len(machine.state.history()) == 1
    assert called == []


def test_same_file_again_is_a_version_of_its_own():
    # Guards against two applies that both claim to have won one version.
    machine = Machine()
    results = [machine(apply("a", 0)), machine(apply("b", 1)), machine(apply("c", 1))]
    assert [item.version for item in results] == [1, 2, 0]


def test_bounds_of_history_and_verdicts():
    # Guards against unbounded memory, and against an old file that comes back when
    # its verdict has been dropped.
    machine = Machine(SMALL)
    sent = [apply(f"a{number}", number, file_text(60 + number)) for number in range(8)]
    assert all(machine(command).accepted for command in sent)
    assert [item.version for item in machine.state.history()] == [6, 7, 8]
    assert [machine.state.text_of(version) for version in (6, 7, 8)] == [
        None,
        sent[6].text,
        sent[7].text,
    ]
    assert not machine(sent[0]).accepted
    assert machine.state.version == 8
    bad = machine(apply("bad", 8, file_text(0) + "a = 1\nb = 2\n"))
    assert bad.problems[1] == "and 2 more problems"


def test_callback_sees_the_new_file_also_after_a_restore():
    # Guards against a leader that does not spread a version it got as a snapshot.
    machine, other = Machine(), Machine()
    seen = []
    for state in (machine.state, other.state):
        state.on_configuration_change = lambda state=state: seen.append(
            (state.version, state.configuration.claim_retention_s)
        )
    machine(apply("a", 0, file_text(61)))
    other.state.restore(machine.state.snapshot())
    other.state.restore(machine.state.snapshot())
    assert seen == [(1, 61), (1, 61)]


def test_session_of_racing_operators(snapshot):
    # Guards against a change of what operators are told, which scripts may read.
    machine = Machine()
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
    session = [(who, machine(command, 1000)) for who, command in steps]
    assert (session, machine.state.history()) == snapshot
