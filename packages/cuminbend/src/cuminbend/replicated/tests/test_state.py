"""Tests of the state machine as a whole."""

import json
import random

import pytest

from cuminbend.exceptions import CorruptDataError
from cuminbend.replicated import ReplicatedState, encode_command
from cuminbend.replicated.tests._helpers import (
    NOW_MS,
    SMALL_LIMITS,
    StateMachineDriver,
    claim,
    random_command,
)


@pytest.mark.parametrize("seed", range(12))
def test_snapshot_at_any_point_gives_the_same_state(seed):
    # Guards against state that a snapshot leaves out or reorders. A voter that restarts
    # after each entry must return the same results as one that never restarts.
    rng = random.Random(seed)
    uninterrupted, restarted = (
        StateMachineDriver(SMALL_LIMITS),
        StateMachineDriver(SMALL_LIMITS),
    )
    for _ in range(250):
        command = random_command(rng, uninterrupted)
        # The time of entries can decrease when the leader changes.
        after_ms = rng.choice([0, 1, 2000, 15_000, 60_000, -30_000])
        assert uninterrupted(command, after_ms) == restarted(command, after_ms)
        restarted.restart()
        assert uninterrupted.state.dump() == restarted.state.dump()
        assert uninterrupted.state.snapshot() == restarted.state.snapshot()
        assert uninterrupted.state.quarantined == restarted.state.quarantined
        assert uninterrupted.state.suspects == restarted.state.suspects
        assert uninterrupted.state.configuration == restarted.state.configuration


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
    # Guards against a voter that fails at a command of a newer version, or whose answer
    # contains a message that depends on the version of a library.
    state = ReplicatedState()
    before = state.snapshot()
    assert state.apply("command", data, 0.0) == state.apply("command", b"[]", 0.0)
    assert state.snapshot() == before


@pytest.mark.parametrize("at_ms", [float("nan"), float("inf"), 1e300, -1.0])
def test_invalid_time_is_ignored(at_ms):
    # Guards against one wrong clock. It could expire all claims, or put a time into the
    # history that datetime cannot represent.
    driver = StateMachineDriver()
    driver.state.apply("noop", b"", NOW_MS)
    driver.state.apply("noop", b"", at_ms)
    assert driver.state.now_ms == NOW_MS


def test_every_kind_of_entry_advances_time():
    # Guards against a replica that ignores the time of entries without a command.
    state = ReplicatedState()
    assert state.apply("noop", b"", NOW_MS) == b""
    assert state.now_ms == NOW_MS


def test_additional_fields_are_ignored():
    # Guards against an older voter that refuses a command with a field of a newer one.
    command = json.loads(encode_command(claim("c1"))) | {"added_later": 1}
    results = [
        ReplicatedState().apply("command", data, NOW_MS)
        for data in (json.dumps(command).encode(), encode_command(claim("c1")))
    ]
    assert results[0] == results[1]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"level": 2}', b'{"level": "x"}', b'{"level": 1}']
)
def test_restore_refuses_invalid_snapshot(data):
    # Guards against running on a partly restored snapshot, or one of a newer version.
    driver = StateMachineDriver()
    driver(claim("c1"))
    before = driver.state.snapshot()
    with pytest.raises(CorruptDataError):
        driver.state.restore(data)
    assert driver.state.snapshot() == before


def test_restore_refuses_truncated_snapshot():
    # Guards against submits that can run again because their claims are missing from a
    # truncated snapshot.
    driver = StateMachineDriver()
    driver(claim("c1"))
    header, _, _ = driver.state.snapshot().partition(b"\n")
    with pytest.raises(CorruptDataError):
        driver.state.restore(header)


def test_dump_is_json():
    # Guards against a state dump that cannot be encoded as JSON.
    driver = StateMachineDriver()
    driver(claim("c1"))
    assert json.loads(json.dumps(driver.state.dump()))["claims"]["in_progress"] == 1
