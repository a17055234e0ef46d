"""State machine of the configuration mode ``highest``.

Beside the compare-and-set of :mod:`cuminbend.replicated`, this mode serves operators
that number their files themselves and send them again, to any instance, until one is
acknowledged. A version that is not higher than the one held is acknowledged and
changes nothing, so sending again is always safe and an accepted version never
reverts.
"""

import json
import logging
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from cuminbend.exceptions import CorruptDataError

logger = logging.getLogger(__name__)

_HEAD = struct.Struct("<BQ")
_CONFIGURATION = 1
_EVACUATION_ON = 2
_EVACUATION_OFF = 3
_LENGTH = struct.Struct("<I")


@dataclass(frozen=True, slots=True)
class SetConfiguration:
    """Puts a configuration in force if its version is the highest so far.

    Attributes:
        content: The file as the operator sent it, in any encoding.
    """

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class SetEvacuated:
    """Takes a data centre out of service, or back."""

    data_centre: str
    evacuated: bool


Command = SetConfiguration | SetEvacuated


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration in force; version 0 stands for none."""

    version: int = 0
    content: bytes = b""


def encode_command(command: Command) -> bytes:
    """Return a command as data of a log entry."""
    if isinstance(command, SetConfiguration):
        return _HEAD.pack(_CONFIGURATION, command.version) + command.content
    kind = _EVACUATION_ON if command.evacuated else _EVACUATION_OFF
    return _HEAD.pack(kind, 0) + command.data_centre.encode()


def decode_command(data: bytes) -> Command:
    """Return the command of a log entry.

    Raises:
        CorruptDataError: If the data is of no known kind.
    """
    if len(data) < _HEAD.size:
        raise CorruptDataError("a log entry is too short; upgrade all voters")
    kind, version = _HEAD.unpack_from(data)
    body = data[_HEAD.size :]
    if kind == _CONFIGURATION:
        return SetConfiguration(version, body)
    if kind in (_EVACUATION_ON, _EVACUATION_OFF):
        return SetEvacuated(body.decode(), kind == _EVACUATION_ON)
    raise CorruptDataError(f"a log entry has the unknown kind {kind}; upgrade all")


class HighestVersionState:
    """The configuration with the highest version, and the evacuated data centres.

    Attributes:
        on_change: Called after each change. It must not raise.
        changes: Grows with each change, for readers that look for news.
    """

    def __init__(self) -> None:
        self.stored_configuration = StoredConfiguration()
        self.evacuated: frozenset[str] = frozenset()
        self.changes = 0
        self.on_change: Callable[[], None] | None = None

    def apply(self, kind: str, data: bytes, at_ms: float) -> bytes:
        """Apply one entry of the log; see :class:`cuminbend.consensus.StateMachine`."""
        try:
            self._execute(decode_command(data))
        except CorruptDataError as error:
            logger.error("event=entry_skipped error='%s'", error)
        return str(self.stored_configuration.version).encode()

    @singledispatchmethod
    def _execute(self, command: Any) -> None:
        raise TypeError(f"no behaviour for {type(command).__name__}")

    @_execute.register
    def _(self, command: SetConfiguration) -> None:
        if command.version > self.stored_configuration.version:
            self.stored_configuration = StoredConfiguration(
                command.version, command.content
            )
            self._note_change()

    @_execute.register
    def _(self, command: SetEvacuated) -> None:
        changed = {command.data_centre}
        before = self.evacuated
        self.evacuated = before | changed if command.evacuated else before - changed
        if self.evacuated != before:
            self._note_change()

    def _note_change(self) -> None:
        self.changes += 1
        if self.on_change is not None:
            self.on_change()

    def snapshot(self) -> bytes:
        """Return the whole state."""
        head = json.dumps(
            {
                "version": self.stored_configuration.version,
                "evacuated": sorted(self.evacuated),
            }
        ).encode()
        return _LENGTH.pack(len(head)) + head + self.stored_configuration.content

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that :meth:`snapshot` returned."""
        (length,) = _LENGTH.unpack_from(data)
        body_start = _LENGTH.size + length
        head = json.loads(data[_LENGTH.size : body_start])
        self.stored_configuration = StoredConfiguration(
            head["version"], data[body_start:]
        )
        self.evacuated = frozenset(head["evacuated"])
        self._note_change()
