"""Deterministic state machine that applies the entries of the control log."""

from cuminbend.replicated._commands import (
    ApplyConfiguration,
    ApplyResult,
    ClaimOutcome,
    ClaimResult,
    ClaimStatus,
    ClaimSubmit,
    ClaimSuspectRun,
    ClearSuspect,
    Command,
    CommandResult,
    ConfigurationSummary,
    ConfigurationVerdict,
    CrashResult,
    RecordCrash,
    RecordOutcome,
    RecordResult,
    RefusedResult,
    decode_command,
    decode_result,
    encode_command,
    encode_result,
)
from cuminbend.replicated._configurations import judge_file
from cuminbend.replicated._keys import key_creation_ms
from cuminbend.replicated._limits import StateLimits
from cuminbend.replicated._state import ReplicatedState

__all__ = [
    "ApplyConfiguration",
    "ApplyResult",
    "ClaimOutcome",
    "ClaimResult",
    "ClaimStatus",
    "ClaimSubmit",
    "ClaimSuspectRun",
    "ClearSuspect",
    "Command",
    "CommandResult",
    "ConfigurationSummary",
    "ConfigurationVerdict",
    "CrashResult",
    "RecordCrash",
    "RecordOutcome",
    "RecordResult",
    "RefusedResult",
    "ReplicatedState",
    "StateLimits",
    "decode_command",
    "decode_result",
    "encode_command",
    "encode_result",
    "judge_file",
    "key_creation_ms",
]
