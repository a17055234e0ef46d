"""Tests of the mode in which the highest version wins."""

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


def applied(*commands: Command) -> HighestVersionState:
    state = HighestVersionState()
    for command in commands:
        state.apply("command", encode_command(command), 0.0)
    return state


@pytest.mark.parametrize(
    ("versions", "held"),
    [((3,), 3), ((3, 9), 9), ((9, 3), 9), ((3, 3), 3), ((9, 3, 9, 11), 11)],
)
def test_highest_version_holds(versions: tuple[int, ...], held: int) -> None:
    """Guards against a version that reverts when an older change arrives again."""
    commands = [
        SetConfiguration(version, b"%d-%d" % (version, position))
        for position, version in enumerate(versions)
    ]
    assert applied(*commands).stored_configuration.version == held


def test_other_content_under_a_held_version_changes_nothing() -> None:
    """Guards against two operators who both see their own file in force."""
    state = applied(SetConfiguration(3, b"first"), SetConfiguration(3, b"second"))
    assert state.stored_configuration.content == b"first"


def test_evacuation_is_idempotent() -> None:
    """Guards against an order that is sent again and takes effect twice."""
    state = applied(SetEvacuated("a", True), SetEvacuated("a", True))
    assert state.evacuated == {"a"}
    assert state.changes == 1
    state.apply("command", encode_command(SetEvacuated("a", False)), 0.0)
    assert state.evacuated == frozenset()


def test_snapshot_restores_everything() -> None:
    """Guards against state that a compaction of the log loses."""
    state = applied(SetConfiguration(7, b"\x00binary\xff"), SetEvacuated("b", True))
    restored = HighestVersionState()
    restored.restore(state.snapshot())
    assert restored.stored_configuration == state.stored_configuration
    assert restored.evacuated == state.evacuated


def test_unknown_entry_is_skipped(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against voters that stop at an entry of a newer version."""
    state = applied(SetConfiguration(7, b"x"))
    state.apply("command", b"\xff" * 20, 0.0)
    assert state.stored_configuration.version == 7
    assert "entry_skipped" in caplog.text
    with pytest.raises(CorruptDataError, match="too short"):
        decode_command(b"")
