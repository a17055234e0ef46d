"""What a leader knows of the other instances, and of majorities of them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from cuminbend.consensus._base import majority
from cuminbend.consensus._core import ReplicaCore
from cuminbend.consensus._messages import Voter


@dataclass(slots=True)
class Peer:
    """What the leader knows of another instance.

    Attributes:
        disk_id: Disk that the instance reported last; empty before the first reply.
        match_index: Last entry known to be on that disk.
        acknowledged_ms: When the latest message that it answered was sent.
        failing: Whether the last message got no answer. The next one is a heartbeat
            then: a peer that is busy writing answers it, and one that is gone costs
            little.
    """

    instance: str
    next_index: int
    disk_id: str = ""
    match_index: int = 0
    acknowledged_ms: float = -math.inf
    last_contact_ms: float = -math.inf
    round: int = 0
    failing: bool = False

    def note_reply(self, disk_id: str, *, sent_ms: float, now_ms: float) -> None:
        """Note an answer in the leader's term; another disk starts from nothing."""
        if disk_id != self.disk_id:
            self.disk_id = disk_id
            self.match_index = 0
            self.acknowledged_ms = -math.inf
        self.acknowledged_ms = max(self.acknowledged_ms, sent_ms)
        self.last_contact_ms = now_ms


class Progress:
    """What voters have on disk and when they answered last.

    Args:
        core: State of the replica that leads.
        peers: The other instances by name; the leader changes it.
    """

    def __init__(self, core: ReplicaCore, peers: Mapping[str, Peer]) -> None:
        self.core = core
        self.peers = peers

    def match_index(self, voter: Voter) -> int:
        """Return the last entry that is known to be on a voter's disk."""
        if voter == self.core.me:
            return self.core.storage.last_index
        peer = self.peers.get(voter.instance)
        return peer.match_index if peer and peer.disk_id == voter.disk_id else 0

    def acknowledged_ms(self, voter: Voter) -> float:
        """Return when the latest message that a voter answered was sent."""
        if voter == self.core.me:
            return self.core.clock.monotonic_ms()
        peer = self.peers.get(voter.instance)
        if peer is None or peer.disk_id != voter.disk_id:
            return -math.inf
        return peer.acknowledged_ms

    def majority_acknowledged_ms(self, voters: tuple[Voter, ...]) -> float:
        """Return when the latest messages that a majority answered were sent."""
        times = sorted(map(self.acknowledged_ms, voters), reverse=True)
        return times[majority(len(times)) - 1]

    def is_reachable(self, voters: tuple[Voter, ...]) -> bool:
        """Return whether a majority of the voters answered lately."""
        now_ms = self.core.clock.monotonic_ms()
        silent_ms = now_ms - self.majority_acknowledged_ms(voters)
        return silent_ms < self.core.settings.election_timeout_min_ms
