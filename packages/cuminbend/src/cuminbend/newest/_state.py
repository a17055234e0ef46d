"""State machine of the configuration mode ``highest``.

This mode is an alternative to the compare-and-set of :mod:`cuminbend.replicated`.
Operators number their files themselves. They send a file to any instance, and repeat
this until the file is acknowledged. A version that is not higher than the stored one is
acknowledged and changes nothing, so sending a file again is always safe and an accepted
version never reverts.

Evacuations carry no version of the operator's. Each carries the number that the control
instance expects it to get, so that a copy that a frozen instance or a slow connection
held back cannot act after a later one.
"""

import hashlib
import json
import struct
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import singledispatchmethod
from typing import Any

from cuminbend.crashes import (
    AnsweredRequest,
    Crash,
    CrashHistory,
    CrashReport,
    CrashTable,
)
from cuminbend.exceptions import UnsupportedDataError
from cuminbend.newest._accepted import AcceptedConfigurations
from cuminbend.registry import Leave, LeaveTable, Registration, UpstreamState

_ENTRY_HEADER = struct.Struct("<BQ")
_KIND_CONFIGURATION = 1
_KIND_EVACUATION_ON = 2
_KIND_EVACUATION_OFF = 3
_KIND_CRASHES = 4
_KIND_LEAVE = 5
_SNAPSHOT_HEADER_LENGTH = struct.Struct("<I")

# Results of :meth:`HighestVersionState.apply`.
RESULT_DONE = b"done"
RESULT_OUTDATED = b"outdated"


@dataclass(frozen=True, slots=True)
class SetConfiguration:
    """Command to put a configuration in force if its version is the highest so far.

    Attributes:
        content: The file as the operator sent it, in any encoding.
    """

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class SetEvacuated:
    """Command to take a data centre out of service, or back into service.

    Attributes:
        number: Position among the commands for this data centre, from 1. The command
            has no effect if another one took its position; 0 takes the next one.
    """

    data_centre: str
    evacuated: bool
    number: int = 0


@dataclass(frozen=True, slots=True)
class RecordCrashes:
    """Command to record what entry instances observed of crashing requests."""

    report: CrashReport


@dataclass(frozen=True, slots=True)
class RecordLeave:
    """Command to record that an upstream is leaving or gone."""

    registration: Registration


Command = SetConfiguration | SetEvacuated | RecordCrashes | RecordLeave


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration in force; version 0 means that there is none."""

    version: int = 0
    content: bytes = b""


def encode_command(command: Command) -> bytes:
    """Return a command encoded as the data of a log entry."""
    if isinstance(command, SetConfiguration):
        return (
            _ENTRY_HEADER.pack(_KIND_CONFIGURATION, command.version) + command.content
        )
    if isinstance(command, RecordCrashes):
        body = json.dumps(asdict(command.report)).encode()
        return _ENTRY_HEADER.pack(_KIND_CRASHES, 0) + body
    if isinstance(command, RecordLeave):
        body = json.dumps(asdict(command.registration)).encode()
        return _ENTRY_HEADER.pack(_KIND_LEAVE, 0) + body
    kind = _KIND_EVACUATION_ON if command.evacuated else _KIND_EVACUATION_OFF
    return _ENTRY_HEADER.pack(kind, command.number) + command.data_centre.encode()


def decode_command(data: bytes) -> Command:
    """Return the command that the data of a log entry encodes.

    Raises:
        UnsupportedDataError: If the data is too short or its kind is unknown.
    """
    if len(data) < _ENTRY_HEADER.size:
        raise UnsupportedDataError("a log entry is too short; upgrade all voters")
    kind, version = _ENTRY_HEADER.unpack_from(data)
    body = data[_ENTRY_HEADER.size :]
    if kind == _KIND_CONFIGURATION:
        return SetConfiguration(version, body)
    if kind in (_KIND_EVACUATION_ON, _KIND_EVACUATION_OFF):
        return SetEvacuated(_decode_name(body), kind == _KIND_EVACUATION_ON, version)
    if kind == _KIND_CRASHES:
        return RecordCrashes(_decode_report(body))
    if kind == _KIND_LEAVE:
        return RecordLeave(_decode_registration(body))
    raise UnsupportedDataError(
        f"a log entry has the unknown kind {kind}; upgrade all voters"
    )


def _decode_name(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise UnsupportedDataError(
            f"a name in a log entry is unreadable ({error!r}); upgrade all voters"
        ) from error


def _decode_report(body: bytes) -> CrashReport:
    try:
        fields = json.loads(body)
        return CrashReport(
            crashes=tuple(Crash(**crash) for crash in fields["crashes"]),
            answered=tuple(
                AnsweredRequest(**answered) for answered in fields["answered"]
            ),
        )
    except (ValueError, TypeError, KeyError) as error:
        raise UnsupportedDataError(
            f"a record of crashes is unreadable ({error!r}); upgrade all voters"
        ) from error


def _decode_registration(body: bytes) -> Registration:
    try:
        return _registration_from(json.loads(body))
    except (ValueError, TypeError, KeyError) as error:
        raise UnsupportedDataError(
            f"a record of a leave is unreadable ({error!r}); upgrade all voters"
        ) from error


def _registration_from(fields: dict[str, Any]) -> Registration:
    return Registration(**{**fields, "state": UpstreamState(fields["state"])})


def identify_by_bytes(content: bytes) -> str:
    """Return the identity of a content by its bytes alone."""
    return hashlib.blake2b(content, digest_size=16).hexdigest()


class HighestVersionState:
    """State machine of the configuration, evacuations, crashing requests and leaves.

    Args:
        identify: Returns the identity of the file that a content encodes. It must not
            raise, and must not depend on how the content is encoded.

    Attributes:
        stored_configuration: The configuration with the highest version.
        accepted: Identities of the files that were confirmed.
        evacuated: Names of the data centres that are out of service.
        evacuation_numbers: Number of the last evacuation or withdrawal that took
            effect, by data centre.
        crash_table: Requests that crashed upstreams.
        leave_table: Acknowledged leaves of upstreams.
        change_count: Number of changes so far, by which readers detect a change.
        on_change: Called after each change. It must not raise.
    """

    def __init__(self, *, identify: Callable[[bytes], str] = identify_by_bytes) -> None:
        self._identify = identify
        self.stored_configuration = StoredConfiguration()
        self.accepted = AcceptedConfigurations()
        self.evacuated: frozenset[str] = frozenset()
        self.evacuation_numbers: dict[str, int] = {}
        self.crash_table = CrashTable()
        self.leave_table = LeaveTable()
        self._entry_at_ms = 0.0
        self.change_count = 0
        self.on_change: Callable[[], None] | None = None

    def apply(self, kind: str, data: bytes, at_ms: float) -> bytes:
        """Apply one entry of the log; see :class:`cuminbend.consensus.StateMachine`.

        Returns:
            ``RESULT_OUTDATED`` if another command took the position of this one, else
            ``RESULT_DONE``.

        Raises:
            UnsupportedDataError: If the entry cannot be decoded; nothing is changed.
        """
        command = decode_command(data)
        self._entry_at_ms = at_ms
        return RESULT_OUTDATED if self._execute(command) else RESULT_DONE

    def check(self, data: bytes) -> None:
        """Check that an entry can be decoded.

        Raises:
            UnsupportedDataError: If it cannot.
        """
        decode_command(data)

    @singledispatchmethod
    def _execute(self, command: Any) -> bool:
        """Execute a command and return whether it was outdated, without effect."""
        raise TypeError(
            f"no handler for command type {type(command).__name__}; register one with "
            "_execute"
        )

    @_execute.register
    def _(self, command: SetConfiguration) -> bool:
        self.accepted.record(self._identify(command.content))
        if command.version > self.stored_configuration.version:
            self.stored_configuration = StoredConfiguration(
                command.version, command.content
            )
            self._notify_change()
        # An older version is acknowledged like one that is stored.
        return False

    @_execute.register
    def _(self, command: SetEvacuated) -> bool:
        next_number = self.evacuation_numbers.get(command.data_centre, 0) + 1
        if command.number not in (0, next_number):
            return True
        self.evacuation_numbers[command.data_centre] = next_number
        affected = {command.data_centre}
        previously_evacuated = self.evacuated
        self.evacuated = (
            previously_evacuated | affected
            if command.evacuated
            else previously_evacuated - affected
        )
        if self.evacuated != previously_evacuated:
            self._notify_change()
        return False

    @_execute.register
    def _(self, command: RecordCrashes) -> bool:
        previous_revision = self.crash_table.revision
        for crash in command.report.crashes:
            self.crash_table.record(crash)
        for answered in command.report.answered:
            self.crash_table.record_answer(answered.fingerprint, answered.service)
        if self.crash_table.revision != previous_revision:
            self._notify_change()
        return False

    @_execute.register
    def _(self, command: RecordLeave) -> bool:
        leave = Leave(
            registration=command.registration, recorded_at_ms=self._entry_at_ms
        )
        if self.leave_table.record(leave):
            self._notify_change()
        return False

    def _notify_change(self) -> None:
        self.change_count += 1
        if self.on_change is not None:
            self.on_change()

    def snapshot(self) -> bytes:
        """Return the whole state encoded."""
        header = json.dumps(
            {
                "version": self.stored_configuration.version,
                "evacuated": sorted(self.evacuated),
                "evacuation_numbers": self.evacuation_numbers,
                "crashes": [
                    asdict(crash)
                    for history in self.crash_table.histories()
                    for crash in history.crashes
                ],
                "leaves": [asdict(leave) for leave in self.leave_table.leaves()],
                "accepted": self.accepted.identities(),
            }
        ).encode()
        return (
            _SNAPSHOT_HEADER_LENGTH.pack(len(header))
            + header
            + self.stored_configuration.content
        )

    def check_snapshot(self, data: bytes) -> None:
        """Check that :meth:`restore` reads everything that a snapshot contains.

        A field that this release does not know holds state that it would lose.

        Raises:
            UnsupportedDataError: If it does not.
        """
        try:
            HighestVersionState().restore(data)
            unknown = _snapshot_fields(data) - _snapshot_fields(self.snapshot())
        except (struct.error, ValueError, KeyError, TypeError, AttributeError) as error:
            raise UnsupportedDataError(f"unreadable ({error!r})") from error
        if unknown:
            raise UnsupportedDataError(f"unknown fields {sorted(unknown)}")

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that :meth:`snapshot` returned.

        Raises:
            struct.error: If the data is too short for the header length.
            ValueError: If the header is not valid JSON.
            KeyError: If the header lacks a field.
        """
        (length,) = _SNAPSHOT_HEADER_LENGTH.unpack_from(data)
        body_start = _SNAPSHOT_HEADER_LENGTH.size + length
        header = json.loads(data[_SNAPSHOT_HEADER_LENGTH.size : body_start])
        self.stored_configuration = StoredConfiguration(
            header["version"], data[body_start:]
        )
        self.accepted.replace_all(header.get("accepted", []))
        identity = self._identify(self.stored_configuration.content)
        # A snapshot of an earlier release has no identities.
        if self.stored_configuration.version and identity not in self.accepted:
            self.accepted.record(identity)
        self.evacuated = frozenset(header["evacuated"])
        self.evacuation_numbers = header.get("evacuation_numbers", {})
        self.crash_table.replace_all(_decode_histories(header.get("crashes", [])))
        self.leave_table.replace_all(
            Leave(
                registration=_registration_from(fields["registration"]),
                recorded_at_ms=fields["recorded_at_ms"],
            )
            for fields in header.get("leaves", [])
        )
        self._notify_change()


def _snapshot_fields(data: bytes) -> set[str]:
    (length,) = _SNAPSHOT_HEADER_LENGTH.unpack_from(data)
    start = _SNAPSHOT_HEADER_LENGTH.size
    return set(json.loads(data[start : start + length]))


def _decode_histories(crashes: list[dict[str, Any]]) -> list[CrashHistory]:
    histories: dict[str, CrashHistory] = {}
    for fields in crashes:
        crash = Crash(**fields)
        history = histories.get(crash.fingerprint) or CrashHistory(
            fingerprint=crash.fingerprint
        )
        histories[crash.fingerprint] = history.with_crash(crash)
    return list(histories.values())
