"""Replication state of other instances, as the leader knows it."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from cuminbend.consensus._base import majority
from cuminbend.consensus._core import ReplicaCore
from cuminbend.consensus._messages import Voter


@dataclass(slots=True)
class Peer:
    """Replication state of another instance.

    Attributes:
        next_index: First entry of the next append to the instance.
        disk_id: Disk that the instance reported last; empty before the first reply.
        match_index: Last entry known to be on that disk.
        known_commit_index: Commit index in the latest append that matched its log.
        last_acknowledged_send_ms: Monotonic time at which the latest message that the
            instance answered was sent; ``-inf`` before the first reply.
        last_contact_ms: Monotonic time of the latest reply; ``-inf`` before the first.
        round: Number of the latest append sent to the instance.
        is_failing: Whether the last message got no answer. The next message is then a
            heartbeat, because a peer answers heartbeats even while it writes, and a
            heartbeat costs little if the peer is down.
    """

    instance: str
    next_index: int
    disk_id: str = ""
    match_index: int = 0
    known_commit_index: int = 0
    last_acknowledged_send_ms: float = -math.inf
    last_contact_ms: float = -math.inf
    round: int = 0
    is_failing: bool = False

    def record_reply(self, disk_id: str, *, sent_ms: float, now_ms: float) -> None:
        """Record a reply in the leader's term; reset the state if the disk changed."""
        if disk_id != self.disk_id:
            self.disk_id = disk_id
            self.match_index = 0
            self.known_commit_index = 0
            self.last_acknowledged_send_ms = -math.inf
        self.last_acknowledged_send_ms = max(self.last_acknowledged_send_ms, sent_ms)
        self.last_contact_ms = now_ms


class ReplicationProgress:
    """Progress of each voter and of majorities of the voters.

    Args:
        core: State of the replica that leads.
        peers: The other instances by name; the leader adds and removes them.
    """

    def __init__(self, core: ReplicaCore, peers: Mapping[str, Peer]) -> None:
        self.core = core
        self.peers = peers

    def match_index(self, voter: Voter) -> int:
        """Return the last index known to be on a voter's disk, 0 if none is known."""
        if voter == self.core.own_voter:
            return self.core.storage.last_index
        peer = self.peers.get(voter.instance)
        return peer.match_index if peer and peer.disk_id == voter.disk_id else 0

    def last_acknowledged_send_ms(self, voter: Voter) -> float:
        """Return when the latest message that a voter answered was sent.

        Returns:
            A monotonic time: the present for this replica, and ``-inf`` for a voter
            that has not answered yet.
        """
        if voter == self.core.own_voter:
            return self.core.clock.monotonic_ms()
        peer = self.peers.get(voter.instance)
        if peer is None or peer.disk_id != voter.disk_id:
            return -math.inf
        return peer.last_acknowledged_send_ms

    def majority_acknowledged_send_ms(self, voters: tuple[Voter, ...]) -> float:
        """Return the latest monotonic time since which a majority has answered.

        Returns:
            A time such that a majority has answered a message sent then or later;
            ``-inf`` if no majority has answered yet.
        """
        send_times_ms = sorted(
            map(self.last_acknowledged_send_ms, voters), reverse=True
        )
        return send_times_ms[majority(len(send_times_ms)) - 1]

    def count_reachable(self, voters: tuple[Voter, ...]) -> int:
        """Return how many voters answered within the minimum election timeout."""
        since_ms = (
            self.core.clock.monotonic_ms() - self.core.settings.election_timeout_min_ms
        )
        return sum(self.last_acknowledged_send_ms(voter) > since_ms for voter in voters)

    def is_majority_reachable(self, voters: tuple[Voter, ...]) -> bool:
        """Return whether a majority answered within the minimum election timeout."""
        return self.count_reachable(voters) >= majority(len(voters))
