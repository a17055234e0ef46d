"""Requests that broke upstreams."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from cuminbend.replicated._commands import (
    ClaimSuspectRun,
    ClearSuspect,
    CrashResult,
    RecordCrash,
)
from cuminbend.replicated._limits import StateLimits

__all__ = ["SuspectTable"]

# A request may break two upstreams in the whole cluster, not more.
_QUARANTINE_CRASHES = 2


@dataclass(slots=True)
class _Suspect:
    """A fingerprint that broke an upstream.

    Attributes:
        broken: Upstream and incarnation of each crash, oldest first.
        crashes: Crashes counted; more than ``broken`` when a run was never resolved.
        run_id: Claim id of the unresolved run alone, or empty.
    """

    broken: list[tuple[str, int]] = field(default_factory=list)
    crashes: int = 0
    run_id: str = ""
    run_upstream: str = ""
    run_at_ms: float = 0.0

    @property
    def quarantined(self) -> bool:
        return self.crashes >= _QUARANTINE_CRASHES


_FIELDS = tuple(_Suspect.__slots__)


class SuspectTable:
    """Suspects and quarantined fingerprints, oldest first.

    Each poll of an instance reads both sets, so they are kept until a change.
    """

    def __init__(self, *, limits: StateLimits) -> None:
        self._limits = limits
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._runs: OrderedDict[str, None] = OrderedDict()
        self._quarantined: frozenset[str] | None = None
        self._suspected: dict[str, str] | None = None

    def expire_runs(self, now_ms: float) -> None:
        """Count each run that was not resolved in time as a crash.

        The instance that ran it may have been lost together with the upstream.
        """
        while self._runs:
            oldest = next(iter(self._runs))
            suspect = self._suspects[oldest]
            if now_ms - suspect.run_at_ms <= self._limits.suspect_run_ms:
                break
            self._count(oldest, suspect)

    def _count(self, fingerprint: str, suspect: _Suspect) -> None:
        suspect.crashes += 1
        suspect.run_id = ""
        self._runs.pop(fingerprint, None)
        self._changed()

    def _changed(self) -> None:
        self._quarantined = self._suspected = None

    def record(self, command: RecordCrash) -> CrashResult:
        """Count a crash once per upstream and incarnation.

        A crash of the claimed run counts even if upstream and incarnation are known:
        a connection can break without a restart of the upstream.
        """
        suspect = self._suspects.get(command.fingerprint)
        if suspect is None:
            suspect = self._suspects[command.fingerprint] = _Suspect()
            while len(self._suspects) > self._limits.suspects:
                dropped, _ = self._suspects.popitem(last=False)
                self._runs.pop(dropped, None)
        crash = (command.upstream, command.incarnation)
        of_run = (
            command.alone
            and bool(suspect.run_id)
            and suspect.run_upstream == command.upstream
        )
        if crash not in suspect.broken:
            suspect.broken.append(crash)
            self._count(command.fingerprint, suspect)
        elif of_run:
            self._count(command.fingerprint, suspect)
        return CrashResult(suspect.crashes, suspect.quarantined)

    def claim_run(self, command: ClaimSuspectRun, now_ms: float) -> CrashResult:
        """Grant the single run alone of a suspect.

        A fingerprint that is no suspect gets no grant and zero crashes: it needs none.
        """
        suspect = self._suspects.get(command.fingerprint)
        if suspect is None:
            return CrashResult(0, False)
        if command.claim_id and not suspect.quarantined and not suspect.run_id:
            self._runs[command.fingerprint] = None
            suspect.run_id = command.claim_id
            suspect.run_upstream = command.upstream
            suspect.run_at_ms = now_ms
        granted = bool(command.claim_id) and suspect.run_id == command.claim_id
        return CrashResult(suspect.crashes, suspect.quarantined, granted)

    def clear(self, command: ClearSuspect) -> CrashResult:
        """Clear a suspect whose claimed run was answered.

        A quarantine stays: a delayed duplicate of the command must not lift it.
        """
        suspect = self._suspects.get(command.fingerprint)
        if suspect is None:
            return CrashResult(0, False)
        if suspect.run_id and command.claim_id in ("", suspect.run_id):
            del self._suspects[command.fingerprint]
            del self._runs[command.fingerprint]
            self._changed()
            return CrashResult(0, False)
        return CrashResult(suspect.crashes, suspect.quarantined)

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints refused everywhere."""
        if self._quarantined is None:
            self._quarantined = frozenset(
                name for name, item in self._suspects.items() if item.quarantined
            )
        return self._quarantined

    @property
    def suspects(self) -> dict[str, str]:
        """Fingerprints that broke one upstream, with its name."""
        if self._suspected is None:
            self._suspected = {
                name: item.broken[0][0]
                for name, item in self._suspects.items()
                if not item.quarantined
            }
        return self._suspected

    def snapshot(self) -> list[Any]:
        """Return the table as JSON values."""
        return [
            [name, *(getattr(suspect, field_name) for field_name in _FIELDS)]
            for name, suspect in self._suspects.items()
        ]

    def restore(self, data: list[Any]) -> None:
        """Replace the table by one that :meth:`snapshot` returned."""
        self._suspects = OrderedDict()
        for name, *values in data:
            suspect = _Suspect(**dict(zip(_FIELDS, values, strict=True)))
            suspect.broken = [(upstream, inc) for upstream, inc in suspect.broken]
            self._suspects[name] = suspect
        by_age = sorted(self._suspects.items(), key=lambda item: item[1].run_at_ms)
        self._runs = OrderedDict((name, None) for name, item in by_age if item.run_id)
        self._changed()
