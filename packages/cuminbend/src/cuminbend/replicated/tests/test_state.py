"""Tests of the state machine."""

import pytest

from cuminbend.replicated import (
    ApplyConfiguration,
    ApplyResult,
    ReplicatedState,
    decode_result,
    encode_command,
)

FILE = """
[cluster]
name = "one"
[[data_centres]]
name = "dc1"
[[members]]
name = "tresscommon"
[[services]]
name = "chairbook"
mode = "submit"
shards = { p1 = 1 }
"""


def test_apply_accepts_once_per_version():
    # Guards against two racing applies that both win a version.
    state = ReplicatedState()
    results = [
        decode_result(
            state.apply("command", encode_command(ApplyConfiguration(i, 0, FILE)), 1.0)
        )
        for i in ("a", "b", "a")
    ]
    assert results == [
        ApplyResult(True, 1, 1),
        ApplyResult(False, 0, 1),
        ApplyResult(True, 1, 1),
    ]
    assert state.version == 1


@pytest.mark.parametrize("data", [b"", b"{", b'{"kind":"later"}'])
def test_unknown_command_changes_nothing(data):
    # Guards against a voter that stops at a command of a newer version.
    state = ReplicatedState()
    before = state.snapshot()
    assert decode_result(state.apply("command", data, 0.0)).kind == "refused_result"
    assert state.snapshot() == before
