"""Replicated log (Raft) of the instances that have a disk."""

from cuminbend.consensus._base import StateMachine, decode_voters, encode_voters
from cuminbend.consensus._messages import (
    CONSENSUS_MESSAGES,
    AppendReply,
    AppendRequest,
    Entry,
    IdentifyReply,
    IdentifyRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNowReply,
    TimeoutNowRequest,
    Voter,
    VoteReply,
    VoteRequest,
)
from cuminbend.consensus._replica import Replica
from cuminbend.consensus._settings import ReplicaSettings
from cuminbend.consensus._storage import LogSnapshot, LogStorage

__all__ = [
    "CONSENSUS_MESSAGES",
    "AppendReply",
    "AppendRequest",
    "Entry",
    "IdentifyReply",
    "IdentifyRequest",
    "LogSnapshot",
    "LogStorage",
    "Replica",
    "ReplicaSettings",
    "SnapshotReply",
    "SnapshotRequest",
    "StateMachine",
    "TimeoutNowReply",
    "TimeoutNowRequest",
    "VoteReply",
    "VoteRequest",
    "Voter",
    "decode_voters",
    "encode_voters",
]
