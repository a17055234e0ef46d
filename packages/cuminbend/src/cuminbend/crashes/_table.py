"""Crashes that are attributed to requests, and which requests get no more work."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

# Number of processes that a request may crash before it is quarantined.
QUARANTINE_CRASHES = 3
_MAX_CRASHES_PER_FINGERPRINT = 16
_MAX_FINGERPRINTS = 1000


class Verdict(IntEnum):
    """How a request is treated; a greater value is stricter.

    A request that is ``SUSPECT`` gets no second attempts. One that is ``QUARANTINED``
    is sent to no upstream.
    """

    CLEAR = 0
    SUSPECT = 1
    QUARANTINED = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """An upstream process that ended while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream: Identity of the upstream.
        incarnation_ms: Start time of the process, which distinguishes it from others
            with the same identity.
        service: Service of the upstream.
        is_partial: Whether upstreams of other services answered the same request, or
            any upstream answered an equal one shortly before.
    """

    fingerprint: str
    upstream: str
    incarnation_ms: int
    service: str
    is_partial: bool = False

    @property
    def process(self) -> tuple[str, int]:
        """Identifies the process that ended."""
        return (self.upstream, self.incarnation_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashHistory:
    """The crashes of one fingerprint, oldest first; none if it was cleared."""

    fingerprint: str
    crashes: tuple[Crash, ...] = ()

    @property
    def verdict(self) -> Verdict:
        """How requests with the fingerprint are treated.

        The load pattern it answers is a request that comes again at any instance and
        crashes what runs it. Many upstreams may also end at the same moment for another
        reason, while harmless requests run there; these are answered by other shards.
        A crash while other shards answered therefore counts only together with another
        one of the same service.
        """
        if not self.crashes:
            return Verdict.CLEAR
        full_count = sum(not crash.is_partial for crash in self.crashes)
        counts = Counter(crash.service for crash in self.crashes)
        same_service_count = max(counts.values())
        if max(full_count, same_service_count) >= QUARANTINE_CRASHES:
            return Verdict.QUARANTINED
        is_suspect = full_count > 0 or same_service_count > 1
        return Verdict.SUSPECT if is_suspect else Verdict.CLEAR

    def with_crash(self, crash: Crash) -> "CrashHistory":
        """Return the history with one more crash; each process counts once."""
        if crash.process in {known.process for known in self.crashes}:
            return self
        if len(self.crashes) >= _MAX_CRASHES_PER_FINGERPRINT:
            return self
        return CrashHistory(
            fingerprint=self.fingerprint, crashes=(*self.crashes, crash)
        )

    def without_service(self, service: str) -> "CrashHistory":
        """Return the history after an upstream of the service answered the request.

        The crashes of other services become partial ones.
        """
        crashes = tuple(
            replace(crash, is_partial=True)
            for crash in self.crashes
            if crash.service != service
        )
        return CrashHistory(fingerprint=self.fingerprint, crashes=crashes)


class CrashTable:
    """Crash histories by fingerprint, with a revision for each change.

    The table is a function of the calls and their order, so that equal logs give equal
    tables. When there are too many histories, the one that has not changed for the
    longest time is dropped; one of a quarantined request only if there are no others,
    because a loss of many upstreams makes suspects of many harmless requests.

    Attributes:
        revision: Number of the last change.
    """

    def __init__(self, *, max_fingerprints: int = _MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        self._rows: OrderedDict[str, tuple[int, CrashHistory]] = OrderedDict()
        self.revision = 0

    def __contains__(self, fingerprint: object) -> bool:
        return fingerprint in self._rows

    def history(self, fingerprint: str) -> CrashHistory:
        """Return the crashes of a fingerprint."""
        row = self._rows.get(fingerprint)
        return row[1] if row is not None else CrashHistory(fingerprint=fingerprint)

    def histories(self) -> list[CrashHistory]:
        """Return the histories with crashes, the one that changed last at the end."""
        return [history for _, history in self._rows.values() if history.crashes]

    def record(self, crash: Crash) -> bool:
        """Record a crash; return whether it is new."""
        former = self.history(crash.fingerprint)
        history = former.with_crash(crash)
        if history is former:
            return False
        self.replace(history)
        return True

    def record_answer(self, fingerprint: str, service: str) -> bool:
        """Record that an upstream of a service answered a request.

        Returns:
            Whether this changed the history of the fingerprint.
        """
        former = self.history(fingerprint)
        history = former.without_service(service)
        if history.crashes == former.crashes:
            return False
        self.replace(history)
        return True

    def replace(self, history: CrashHistory) -> None:
        """Replace the history of a fingerprint.

        A history without crashes stays in the table, so that readers learn that the
        fingerprint was cleared.
        """
        self.revision += 1
        self._rows[history.fingerprint] = (self.revision, history)
        self._rows.move_to_end(history.fingerprint)
        if len(self._rows) > self._max_fingerprints:
            del self._rows[self._choose_dropped()]

    def _choose_dropped(self) -> str:
        for fingerprint, (_, history) in self._rows.items():
            if history.verdict is not Verdict.QUARANTINED:
                return fingerprint
        return next(iter(self._rows))

    def replace_all(self, histories: Iterable[CrashHistory]) -> None:
        """Replace the whole table by histories, the oldest change first."""
        self._rows.clear()
        for history in histories:
            self.replace(history)

    def changes_since(self, revision: int) -> tuple[CrashHistory, ...]:
        """Return the histories that changed after a revision, oldest change first."""
        changes = []
        for changed_at, history in reversed(self._rows.values()):
            if changed_at <= revision:
                break
            changes.append(history)
        return tuple(reversed(changes))
