"""Table of requests that crashed upstreams."""

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

# A request may crash at most two upstreams in the whole cluster.
_QUARANTINE_CRASHES = 2


@dataclass(slots=True)
class _Suspect:
    """A fingerprint that crashed an upstream.

    Attributes:
        broken: Upstream and incarnation of each crash, oldest first.
        crashes: Number of crashes counted. Exceeds the length of ``broken`` if a run
            was never resolved, or ended with a broken connection to an incarnation
            that ``broken`` contains already.
        run_id: Claim id of the unresolved run, or empty.
        run_upstream: Upstream of the last claimed run, or empty.
        run_at_ms: State machine time at which the last run was claimed.
    """

    broken: list[tuple[str, int]] = field(default_factory=list)
    crashes: int = 0
    run_id: str = ""
    run_upstream: str = ""
    run_at_ms: float = 0.0

    @property
    def is_quarantined(self) -> bool:
        return self.crashes >= _QUARANTINE_CRASHES


# Snapshots contain the fields in this order.
_SUSPECT_FIELDS = tuple(_Suspect.__slots__)


class SuspectTable:
    """Suspects and quarantined fingerprints, oldest first.

    The sets of suspects and of quarantined fingerprints are cached until the next
    change, because each poll of an instance reads them.
    """

    def __init__(self, *, limits: StateLimits) -> None:
        self._limits = limits
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._unresolved_runs: OrderedDict[str, None] = OrderedDict()
        self._quarantined_cache: frozenset[str] | None = None
        self._suspects_cache: dict[str, str] | None = None

    def expire_runs(self, now_ms: float) -> None:
        """Count each run that was not resolved in time as a crash.

        The instance that sent the request may have failed together with the upstream.
        """
        while self._unresolved_runs:
            fingerprint = next(iter(self._unresolved_runs))
            suspect = self._suspects[fingerprint]
            if now_ms - suspect.run_at_ms <= self._limits.suspect_run_timeout_ms:
                break
            self._count_crash(fingerprint, suspect)

    def _count_crash(self, fingerprint: str, suspect: _Suspect) -> None:
        suspect.crashes += 1
        suspect.run_id = ""
        self._unresolved_runs.pop(fingerprint, None)
        self._clear_caches()

    def _clear_caches(self) -> None:
        self._quarantined_cache = self._suspects_cache = None

    def record_crash(self, command: RecordCrash) -> CrashResult:
        """Count a crash once per upstream and incarnation.

        A crash of the claimed run counts even if a crash of the same upstream and
        incarnation is recorded, because a connection can break without a restart of
        the upstream.
        """
        suspect = self._suspects.get(command.fingerprint)
        if suspect is None:
            suspect = self._suspects[command.fingerprint] = _Suspect()
            while len(self._suspects) > self._limits.suspects:
                dropped, _ = self._suspects.popitem(last=False)
                self._unresolved_runs.pop(dropped, None)
        crash = (command.upstream, command.incarnation)
        is_claimed_run = (
            command.alone
            and bool(suspect.run_id)
            and suspect.run_upstream == command.upstream
        )
        if crash not in suspect.broken:
            suspect.broken.append(crash)
            self._count_crash(command.fingerprint, suspect)
        elif is_claimed_run:
            self._count_crash(command.fingerprint, suspect)
        return CrashResult(suspect.crashes, suspect.is_quarantined)

    def claim_run(self, command: ClaimSuspectRun, now_ms: float) -> CrashResult:
        """Grant the single run of a suspect, alone on an upstream.

        A fingerprint that is not a suspect gets no grant and zero crashes, because it
        needs no grant to run.
        """
        suspect = self._suspects.get(command.fingerprint)
        if suspect is None:
            return CrashResult(0, False)
        if command.claim_id and not suspect.is_quarantined and not suspect.run_id:
            self._unresolved_runs[command.fingerprint] = None
            suspect.run_id = command.claim_id
            suspect.run_upstream = command.upstream
            suspect.run_at_ms = now_ms
        granted = bool(command.claim_id) and suspect.run_id == command.claim_id
        return CrashResult(suspect.crashes, suspect.is_quarantined, granted)

    def clear_suspect(self, command: ClearSuspect) -> CrashResult:
        """Clear a suspect whose claimed run was answered.

        A quarantined fingerprint is not cleared, because a delayed duplicate of the
        command must not lift the quarantine.
        """
        suspect = self._suspects.get(command.fingerprint)
        if suspect is None:
            return CrashResult(0, False)
        if suspect.run_id and command.claim_id in ("", suspect.run_id):
            del self._suspects[command.fingerprint]
            del self._unresolved_runs[command.fingerprint]
            self._clear_caches()
            return CrashResult(0, False)
        return CrashResult(suspect.crashes, suspect.is_quarantined)

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints that all instances refuse."""
        if self._quarantined_cache is None:
            self._quarantined_cache = frozenset(
                fingerprint
                for fingerprint, suspect in self._suspects.items()
                if suspect.is_quarantined
            )
        return self._quarantined_cache

    @property
    def suspects(self) -> dict[str, str]:
        """Name of the upstream that each suspected fingerprint crashed."""
        if self._suspects_cache is None:
            self._suspects_cache = {
                fingerprint: suspect.broken[0][0]
                for fingerprint, suspect in self._suspects.items()
                if not suspect.is_quarantined
            }
        return self._suspects_cache

    def snapshot(self) -> list[Any]:
        """Return the table as JSON values."""
        return [
            [
                fingerprint,
                *(getattr(suspect, field_name) for field_name in _SUSPECT_FIELDS),
            ]
            for fingerprint, suspect in self._suspects.items()
        ]

    def restore(self, data: list[Any]) -> None:
        """Replace the table by one that :meth:`snapshot` returned."""
        self._suspects = OrderedDict()
        for fingerprint, *values in data:
            suspect = _Suspect(**dict(zip(_SUSPECT_FIELDS, values, strict=True)))
            suspect.broken = [
                (upstream, incarnation) for upstream, incarnation in suspect.broken
            ]
            self._suspects[fingerprint] = suspect
        by_run_time = sorted(self._suspects.items(), key=lambda item: item[1].run_at_ms)
        self._unresolved_runs = OrderedDict(
            (fingerprint, None)
            for fingerprint, suspect in by_run_time
            if suspect.run_id
        )
        self._clear_caches()
