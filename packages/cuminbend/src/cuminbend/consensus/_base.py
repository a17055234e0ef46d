"""State machine protocol, encoding of voters, and size of a majority."""

import json
from typing import Protocol

from cuminbend.consensus._messages import Voter


class StateMachine(Protocol):
    """Deterministic state machine that applies committed commands."""

    def apply(self, kind: str, data: bytes, at_ms: float) -> bytes:
        """Apply a command and return its result.

        Args:
            kind: Kind of the entry; always ``command``.
            data: The command as proposed.
            at_ms: Wall-clock time of the leader that accepted the proposal, in ms
                since the epoch. It may go backwards when the leader changes.

        Raises:
            UnsupportedDataError: If :meth:`check` refuses the command. The state is
                then unchanged.
        """

    def check(self, data: bytes) -> None:
        """Check that this release can apply a command.

        Raises:
            UnsupportedDataError: If it cannot.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that :meth:`snapshot` returned."""

    def check_snapshot(self, data: bytes) -> None:
        """Check that this release can restore a snapshot completely.

        Raises:
            UnsupportedDataError: If it cannot.
        """


def encode_voters(voters: tuple[Voter, ...]) -> bytes:
    """Return the data of a ``voters`` entry."""
    pairs = [[voter.instance, voter.disk_id] for voter in sorted(voters)]
    return json.dumps(pairs).encode()


def decode_voters(data: bytes) -> tuple[Voter, ...]:
    """Return the voters that :func:`encode_voters` encoded."""
    return tuple(Voter(instance, disk_id) for instance, disk_id in json.loads(data))


def majority(count: int) -> int:
    """Return the size of a majority of ``count`` voters."""
    return count // 2 + 1
