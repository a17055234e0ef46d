"""Replicated state that keeps the configuration with the highest version."""

from cuminbend.newest._state import (
    Command,
    HighestVersionState,
    RecordCrashes,
    SetConfiguration,
    SetEvacuated,
    StoredConfiguration,
    decode_command,
    encode_command,
)

__all__ = [
    "Command",
    "HighestVersionState",
    "RecordCrashes",
    "SetConfiguration",
    "SetEvacuated",
    "StoredConfiguration",
    "decode_command",
    "encode_command",
]
