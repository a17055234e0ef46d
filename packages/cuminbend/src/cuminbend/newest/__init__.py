"""Replicated state that keeps the configuration with the highest version."""

from cuminbend.newest._state import (
    Command,
    HighestVersionState,
    SetConfiguration,
    SetEvacuated,
    StoredConfiguration,
    decode_command,
    encode_command,
)

__all__ = [
    "Command",
    "HighestVersionState",
    "SetConfiguration",
    "SetEvacuated",
    "StoredConfiguration",
    "decode_command",
    "encode_command",
]
