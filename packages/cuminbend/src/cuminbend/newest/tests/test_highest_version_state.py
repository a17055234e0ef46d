"""Tests of the state machine that keeps the highest configuration version."""

import pytest

from cuminbend.exceptions import CorruptDataError
from cuminbend.newest import (
    Command,
    HighestVersionState,
    SetConfiguration,
    SetEvacuated,
    decode_command,
    encode_command,
)


def state_after(*commands: Command) -> HighestVersionState:
    state = HighestVersionState()
    for command in commands:
        state.apply("command", encode_command(command), 0.0)
    return state


@pytest.mark.parametrize(
    ("versions", "expected_version"),
    [((3,), 3), ((3, 9), 9), ((9, 3), 9), ((3, 3), 3), ((9, 3, 9, 11), 11)],
)
def test_highest_version_stays_in_force(
    versions: tuple[int, ...], expected_version: int
) -> None:
    """Guards against a version that reverts when an older command arrives again."""
    commands = [
        SetConfiguration(version, b"%d-%d" % (version, position))
        for position, version in enumerate(versions)
    ]
    assert state_after(*commands).stored_configuration.version == expected_version


def test_other_content_of_stored_version_changes_nothing() -> None:
    """Guards against a version that stands for two different files."""
    state = state_after(SetConfiguration(3, b"first"), SetConfiguration(3, b"second"))
    assert state.stored_configuration.content == b"first"


def test_evacuation_is_idempotent() -> None:
    """Guards against a resent command that counts as another change."""
    state = state_after(SetEvacuated("a", True), SetEvacuated("a", True))
    assert state.evacuated == {"a"}
    assert state.change_count == 1
    state.apply("command", encode_command(SetEvacuated("a", False)), 0.0)
    assert state.evacuated == frozenset()


def test_snapshot_restores_everything() -> None:
    """Guards against state that is lost when the log is compacted."""
    state = state_after(SetConfiguration(7, b"\x00binary\xff"), SetEvacuated("b", True))
    restored = HighestVersionState()
    restored.restore(state.snapshot())
    assert restored.stored_configuration == state.stored_configuration
    assert restored.evacuated == state.evacuated


def test_unknown_entry_is_skipped(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against voters that fail at an entry of a newer version."""
    state = state_after(SetConfiguration(7, b"x"))
    state.apply("command", b"\xff" * 20, 0.0)
    assert state.stored_configuration.version == 7
    assert "entry_skipped" in caplog.text
    with pytest.raises(CorruptDataError, match="too short"):
        decode_command(b"")
