"""Replicated state that keeps the configuration with the highest version."""

from cuminbend.newest._rollout import (
    AppliedConfiguration,
    ConfigurationRollout,
    OverdueInstance,
    merge_overdue,
)
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
    identify_by_bytes,
)

__all__ = [
    "RESULT_DONE",
    "RESULT_OUTDATED",
    "AppliedConfiguration",
    "Command",
    "ConfigurationRollout",
    "HighestVersionState",
    "OverdueInstance",
    "RecordCrashes",
    "RecordLeave",
    "SetConfiguration",
    "SetEvacuated",
    "StoredConfiguration",
    "decode_command",
    "encode_command",
    "identify_by_bytes",
    "merge_overdue",
]
