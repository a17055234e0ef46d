"""State machine to which every voter applies the same log."""

import math
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from pydantic import ValidationError
from pydantic_core import from_json, to_json

from cuminbend.config import Configuration
from cuminbend.exceptions import (
    ConfigurationError,
    CorruptDataError,
    UnsupportedDataError,
)
from cuminbend.replicated._claims import ClaimTable
from cuminbend.replicated._commands import (
    ApplyConfiguration,
    ApplyResult,
    ClaimResult,
    ClaimStatus,
    ClaimSubmit,
    ClaimSuspectRun,
    ClearSuspect,
    CommandResult,
    ConfigurationSummary,
    CrashResult,
    RecordCrash,
    RecordOutcome,
    RecordResult,
    RefusedResult,
    decode_command,
    encode_result,
)
from cuminbend.replicated._configurations import ConfigurationTable
from cuminbend.replicated._limits import StateLimits
from cuminbend.replicated._suspects import SuspectTable

__all__ = ["ReplicatedState"]

# Number of the set of commands and rules that this code executes. A version that adds
# a command kind, a value or a field with an effect, or that changes a rule, has to add
# a command that raises the level. That command is sent once all voters run the version;
# until then the version follows the former rules. The same holds for a rule of the
# operator file while there are applies without a verdict, which voters judge
# themselves. A verdict by the same rules has the effect of that judgement, so it needs
# no level of its own.
STATE_MACHINE_LEVEL = 1

DEFAULT_CLAIM_RETENTION_MS = 86_400_000
# End of the year 9999, the last year that datetime can represent.
_MAX_AT_MS = 253_402_300_799_000


class ReplicatedState:
    """State machine with the tables of configurations, claims and suspects.

    The state depends only on the entries applied; each entry carries its time. A
    command that is malformed or of an unknown kind changes nothing and gets
    :class:`RefusedResult` with the same text on every voter. A newer voter must refuse
    a new kind in the same way until the level is raised, so that the states of voters
    of two versions never differ. A voter refuses a snapshot above its own level.

    Attributes:
        on_configuration_change: Called after a version was accepted or restored. It
            must not raise.
    """

    def __init__(self, *, limits: StateLimits | None = None) -> None:
        self._limits = limits or StateLimits()
        self.on_configuration_change: Callable[[], None] | None = None
        self._now_ms = 0.0
        self._configurations = ConfigurationTable(limits=self._limits)
        self._claims = ClaimTable(limits=self._limits)
        self._suspects = SuspectTable(limits=self._limits)

    def apply(self, kind: str, data: bytes, at_ms: float) -> bytes:
        """Apply one entry of the log.

        Args:
            kind: ``command`` for an encoded command; other kinds only carry the time.
            data: The command as :func:`encode_command` encodes it.
            at_ms: The leader's wall-clock time when it appended the entry, in ms
                since the epoch.

        Returns:
            The encoded result of a command; empty for other kinds.
        """
        self._advance_time(at_ms)
        if kind != "command":
            return b""
        try:
            command = decode_command(data)
        except ValidationError:
            return encode_result(
                RefusedResult(
                    "the command cannot be read or its kind is not known; upgrade all "
                    "voters before sending commands of a newer version"
                )
            )
        return encode_result(self._execute(command))

    def _advance_time(self, at_ms: float) -> None:
        if math.isfinite(at_ms) and self._now_ms < at_ms <= _MAX_AT_MS:
            self._now_ms = at_ms
        self._expire()

    def _expire(self) -> None:
        self._claims.expire(self._now_ms - self._retention_ms())
        self._suspects.expire_runs(self._now_ms)

    def _retention_ms(self) -> float:
        retention_s = self._configurations.claim_retention_s
        return DEFAULT_CLAIM_RETENTION_MS if retention_s is None else retention_s * 1000

    @singledispatchmethod
    def _execute(self, command: Any) -> CommandResult:
        raise TypeError(
            f"no handler for command type {type(command).__name__}; register one with "
            "_execute"
        )

    @_execute.register
    def _(self, command: ApplyConfiguration) -> ApplyResult:
        previous_version = self.version
        result = self._configurations.apply(command, self._now_ms)
        if self.version != previous_version:
            self._expire()
            self._notify_configuration_change()
        return result

    @_execute.register
    def _(self, command: ClaimSubmit) -> ClaimResult | RefusedResult:
        return self._claims.claim(command, self._now_ms)

    @_execute.register
    def _(self, command: RecordOutcome) -> RecordResult:
        return self._claims.record_outcome(command)

    @_execute.register
    def _(self, command: RecordCrash) -> CrashResult:
        return self._suspects.record_crash(command)

    @_execute.register
    def _(self, command: ClaimSuspectRun) -> CrashResult:
        return self._suspects.claim_run(command, self._now_ms)

    @_execute.register
    def _(self, command: ClearSuspect) -> CrashResult:
        return self._suspects.clear_suspect(command)

    def _notify_configuration_change(self) -> None:
        if self.on_configuration_change is not None:
            self.on_configuration_change()

    def snapshot(self) -> bytes:
        """Return the whole state encoded; equal states give equal bytes."""
        header = to_json(
            {
                "level": STATE_MACHINE_LEVEL,
                "now_ms": self._now_ms,
                "configurations": self._configurations.snapshot(),
                "claims": self._claims.snapshot(),
                "suspects": self._suspects.snapshot(),
            }
        )
        return b"\n".join([header, *self._claims.rows()])

    def check(self, data: bytes) -> None:
        """Accept every command; all voters refuse the same ones when applied."""

    def check_snapshot(self, data: bytes) -> None:
        """Check that :meth:`restore` accepts a snapshot.

        Raises:
            UnsupportedDataError: If it does not.
        """
        try:
            ReplicatedState(limits=self._limits).restore(data)
        except CorruptDataError as error:
            raise UnsupportedDataError(str(error)) from error

    def restore(self, data: bytes) -> None:
        """Replace the state by one that :meth:`snapshot` returned.

        Raises:
            CorruptDataError: If the snapshot is damaged or of a newer version. The
                state is then unchanged.
        """
        previous_version = self.version
        try:
            header, *rows = data.split(b"\n")
            content = from_json(header)
            if content["level"] > STATE_MACHINE_LEVEL:
                raise CorruptDataError(
                    f"the snapshot has level {content['level']}, but this version "
                    f"supports {STATE_MACHINE_LEVEL}; upgrade this instance"
                )
            self._replace_tables(content, rows)
        except (ValueError, KeyError, TypeError, ConfigurationError) as error:
            raise CorruptDataError(
                "the snapshot of the control state cannot be read; move the data "
                "folder aside and let the voter rejoin with an empty one"
            ) from error
        if self.version != previous_version:
            self._notify_configuration_change()

    def _replace_tables(self, content: dict[str, Any], rows: list[bytes]) -> None:
        """Replace all tables, or none of them if one cannot be restored."""
        configurations = ConfigurationTable(limits=self._limits)
        configurations.restore(content["configurations"])
        claims = ClaimTable(limits=self._limits)
        claims.restore(content["claims"], rows)
        suspects = SuspectTable(limits=self._limits)
        suspects.restore(content["suspects"])
        self._now_ms = content["now_ms"]
        self._configurations = configurations
        self._claims = claims
        self._suspects = suspects

    @property
    def now_ms(self) -> float:
        """Greatest time of an applied entry, in ms since the epoch."""
        return self._now_ms

    @property
    def version(self) -> int:
        """Version of the operator file in force, 0 before the first."""
        return self._configurations.version

    @property
    def text(self) -> str:
        """Text of the operator file in force, empty before the first."""
        return self._configurations.text

    @property
    def configuration(self) -> Configuration | None:
        """The operator file in force, parsed, or None before the first."""
        return self._configurations.configuration

    def history(self) -> tuple[ConfigurationSummary, ...]:
        """Return summaries of the last versions, newest last."""
        return tuple(self._configurations.summaries)

    def text_of(self, version: int) -> str | None:
        """Return the text of a version, or None if it is no longer kept."""
        return self._configurations.text_of(version)

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints that all instances refuse."""
        return self._suspects.quarantined

    @property
    def suspects(self) -> dict[str, str]:
        """Name of the upstream that each suspected fingerprint crashed."""
        return self._suspects.suspects

    def claim_status(self, member: str, service: str, key: str) -> ClaimStatus | None:
        """Return the status another claim of a key would get, None if it is free."""
        return self._claims.status(member, service, key, self._now_ms)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump, as JSON values."""
        return {
            "level": STATE_MACHINE_LEVEL,
            "now_ms": self._now_ms,
            "version": self.version,
            "claims": self._claims.dump(),
            "suspects": self.suspects,
            "quarantined": sorted(self.quarantined),
        }
