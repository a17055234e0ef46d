"""Commits commands through whichever voter leads."""

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

# Time that one voter gets to answer before the next one is asked.
ATTEMPT_MS = 700.0
PAUSE_MS = 50.0


class ControlClient:
    """Implements :class:`cuminbend.ports.ControlPort`.

    A command that got no answer is sent again, possibly to another voter. That is
    safe, because every command carries its own id and the state machine gives the
    first result again.
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
        """Commit a command and return its result; see ControlPort."""
        data = encode_command(command)
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        turn = 0
        hint: str | None = None
        while (left_ms := deadline_ms - self._clock.monotonic_ms()) > 0:
            target = self._target(hint, turn)
            try:
                return decode_result(
                    await self._attempt(target, data, min(left_ms, ATTEMPT_MS))
                )
            except NotLeaderError as error:
                hint = error.leader if error.leader != target else None
                turn += 1
            except (PeerUnreachableError, NoQuorumError):
                hint = None
                turn += 1
            if turn % len(self._voters) == 0:
                await self._clock.sleep(milliseconds(PAUSE_MS))
        raise NoQuorumError(
            "no majority of voters answered in time; check with 'cuminbendctl status' "
            "which voters run and reach each other, then send the request again"
        )

    def _target(self, hint: str | None, turn: int) -> str:
        if hint is not None:
            return hint
        if turn == 0:
            return self._leader_hint() or self._voters[0]
        return self._voters[turn % len(self._voters)]

    async def _attempt(self, target: str, data: bytes, timeout_ms: float) -> bytes:
        if self._replica is not None and self._replica.is_leader:
            return await self._replica.propose(data, timeout_ms)
        return await self._peers.propose(target, data, timeout_ms, forwarded=False)
