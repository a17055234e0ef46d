"""Replicated state that keeps the configuration with the highest version."""

from cuminbend.newest._state import (
    RESULT_DONE,
    RESULT_OUTDATED,
    Command,
    HighestVersionState,
    RecordCrashes,
    RecordLeave,
    SetConfiguration,
    SetEvacuated,
    StoredConfiguration,
    decode_command,
    encode_command,
)

__all__ = [
    "RESULT_DONE",
    "RESULT_OUTDATED",
    "Command",
    "HighestVersionState",
    "RecordCrashes",
    "RecordLeave",
    "SetConfiguration",
    "SetEvacuated",
    "StoredConfiguration",
    "decode_command",
    "encode_command",
]
