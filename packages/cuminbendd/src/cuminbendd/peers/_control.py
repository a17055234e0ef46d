"""Commits commands through the voter that leads."""

import logging
from collections.abc import Callable
from typing import Any

from cuminbend.consensus import Replica
from cuminbend.exceptions import (
    NoQuorumError,
    NotLeaderError,
    PeerUnreachableError,
)
from cuminbend.ports import Clock, milliseconds
from cuminbend.replicated import decode_result, encode_command

from cuminbendd.peers._client import PeerClients

logger = logging.getLogger(__name__)

# Time for which one voter may leave a command unanswered before the next is asked.
ATTEMPT_TIMEOUT_MS = 700.0
# Wait after every voter was asked once without success.
RETRY_PAUSE_MS = 50.0


class ControlClient:
    """Implements :class:`cuminbend.ports.ControlPort`.

    A command that got no answer is sent again, possibly to another voter. That is
    safe, because every command carries its own id, and for an id that was already
    applied the state machine returns the first result again.
    """

    def __init__(
        self,
        *,
        peers: PeerClients,
        voters: list[str],
        replica: Replica | None,
        leader_hint: Callable[[], str | None],
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._voters = voters
        self._replica = replica
        self._leader_hint = leader_hint
        self._clock = clock

    async def propose(self, command: Any, timeout_ms: float) -> Any:
        """Commit a command and return its result; see ControlPort.

        Raises:
            NoQuorumError: If no result came within ``timeout_ms``; the command may
                have been committed.
        """
        encoded_command = encode_command(command)
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        attempts_made = 0
        reported_leader: str | None = None
        while (left_ms := deadline_ms - self._clock.monotonic_ms()) > 0:
            voter = self._choose_voter(reported_leader, attempts_made)
            try:
                return decode_result(
                    await self._propose_once(
                        voter, encoded_command, min(left_ms, ATTEMPT_TIMEOUT_MS)
                    )
                )
            except NotLeaderError as error:
                reported_leader = error.leader if error.leader != voter else None
                attempts_made += 1
            except (PeerUnreachableError, NoQuorumError):
                reported_leader = None
                attempts_made += 1
            if attempts_made % len(self._voters) == 0:
                await self._clock.sleep(milliseconds(RETRY_PAUSE_MS))
        raise NoQuorumError(
            "no majority of voters answered in time; check with 'cuminbendctl status' "
            "which voters run and reach each other, then send the request again"
        )

    def _choose_voter(self, reported_leader: str | None, attempts_made: int) -> str:
        if reported_leader is not None:
            return reported_leader
        if attempts_made == 0:
            return self._leader_hint() or self._voters[0]
        return self._voters[attempts_made % len(self._voters)]

    async def _propose_once(
        self, voter: str, encoded_command: bytes, timeout_ms: float
    ) -> bytes:
        if self._replica is not None and self._replica.is_leader:
            return await self._replica.propose(encoded_command, timeout_ms)
        return await self._peers.propose(
            voter, encoded_command, timeout_ms, forwarded=False
        )
