"""Tests of the state machine as a whole."""

import json
import random

import pytest

from cuminbend.exceptions import CorruptDataError
from cuminbend.replicated import ReplicatedState, encode_command
from cuminbend.replicated.tests._helpers import (
    NOW_MS,
    SMALL,
    Machine,
    claim,
    random_command,
)


@pytest.mark.parametrize("seed", range(12))
def test_snapshot_at_any_point_gives_the_same_state(seed):
    # Guards against state that a snapshot leaves out or reorders: a voter that
    # restarts after each entry must answer like one that never does.
    rng = random.Random(seed)
    steady, restarted = Machine(SMALL), Machine(SMALL)
    for _ in range(250):
        command = random_command(rng, steady)
        # Leaders change, so the time of the entries may go back.
        after_ms = rng.choice([0, 1, 2000, 15_000, 60_000, -30_000])
        assert steady(command, after_ms) == restarted(command, after_ms)
        restarted.restart()
        assert steady.state.dump() == restarted.state.dump()
        assert steady.state.snapshot() == restarted.state.snapshot()
        assert steady.state.quarantined == restarted.state.quarantined
        assert steady.state.suspects == restarted.state.suspects
        assert steady.state.configuration == restarted.state.configuration


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff",
        b'{"kind":"later"}',
        b'{"kind":"claim_submit"}',
        b'{"kind":"apply_configuration","apply_id":"a","base_version":0,'
        b'"text":"\\ud800"}',
    ],
)
def test_unreadable_command_changes_nothing(data):
    # Guards against a voter that stops at a command of a newer version or answers it
    # in words that depend on the version of a library.
    state = ReplicatedState()
    before = state.snapshot()
    assert state.apply("command", data, 0.0) == state.apply("command", b"[]", 0.0)
    assert state.snapshot() == before


@pytest.mark.parametrize("at_ms", [float("nan"), float("inf"), 1e300, -1.0])
def test_impossible_time_is_ignored(at_ms):
    # Guards against one broken clock that ends all claims or breaks the history.
    machine = Machine()
    machine.state.apply("noop", b"", NOW_MS)
    machine.state.apply("noop", b"", at_ms)
    assert machine.state.now_ms == NOW_MS


def test_time_comes_with_every_kind_of_entry():
    # Guards against a replica that skips the time of entries without a command.
    state = ReplicatedState()
    assert state.apply("noop", b"", NOW_MS) == b""
    assert state.now_ms == NOW_MS


def test_additional_fields_are_ignored():
    # Guards against an older voter that refuses what a newer one accepts.
    command = json.loads(encode_command(claim("c1"))) | {"added_later": 1}
    answers = [
        ReplicatedState().apply("command", data, NOW_MS)
        for data in (json.dumps(command).encode(), encode_command(claim("c1")))
    ]
    assert answers[0] == answers[1]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"level": 2}', b'{"level": "x"}', b'{"level": 1}']
)
def test_restore_refuses_what_it_cannot_read(data):
    # Guards against running on half a snapshot, or on one of a newer version.
    machine = Machine()
    machine(claim("c1"))
    before = machine.state.snapshot()
    with pytest.raises(CorruptDataError):
        machine.state.restore(data)
    assert machine.state.snapshot() == before


def test_restore_refuses_a_truncated_snapshot():
    # Guards against keys that can run again because their claims were cut off.
    machine = Machine()
    machine(claim("c1"))
    header, _, _ = machine.state.snapshot().partition(b"\n")
    with pytest.raises(CorruptDataError):
        machine.state.restore(header)


def test_dump_is_json():
    # Guards against a state dump that cannot be printed.
    machine = Machine()
    machine(claim("c1"))
    assert json.loads(json.dumps(machine.state.dump()))["claims"]["in_progress"] == 1
