"""Acknowledged leaves of upstreams, as the control log keeps them.

An upstream may send nothing after the acknowledgement of its leave. Registrations are
kept in memory only, so the loss of all control processes at the same moment would bring
it back into use. The log keeps each acknowledged leave until every entry instance has
learned of it or has dropped the upstream.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from cuminbend.registry._registrations import Registration

# Far longer than an entry instance keeps an upstream that the control group does not
# list.
_RETENTION_MS = 120_000.0
_MAX_LEAVES = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """An acknowledged leave.

    Attributes:
        registration: Registration of the upstream, which is leaving or gone.
        recorded_at_ms: Wall-clock time of the log entry, in ms since the epoch.
    """

    registration: Registration
    recorded_at_ms: float


class LeaveTable:
    """The latest leave of each upstream, with a revision for each change.

    The table is a function of the calls and their order, so that equal logs give equal
    tables.

    Attributes:
        revision: Number of the last change.
    """

    def __init__(self) -> None:
        self._rows: OrderedDict[str, tuple[int, Leave]] = OrderedDict()
        self.revision = 0

    def record(self, leave: Leave) -> bool:
        """Record a leave and drop expired ones; return whether it changes anything."""
        upstream = leave.registration.upstream
        row = self._rows.get(upstream)
        if row is not None and leave.registration.order <= row[1].registration.order:
            return False
        self.revision += 1
        self._rows[upstream] = (self.revision, leave)
        self._rows.move_to_end(upstream)
        self._drop_expired(leave.recorded_at_ms)
        return True

    def _drop_expired(self, now_ms: float) -> None:
        while self._rows:
            _, (_, oldest) = next(iter(self._rows.items()))
            is_expired = now_ms - oldest.recorded_at_ms > _RETENTION_MS
            if not is_expired and len(self._rows) <= _MAX_LEAVES:
                return
            self._rows.popitem(last=False)

    def leaves(self) -> list[Leave]:
        """Return all leaves, the latest change last."""
        return [leave for _, leave in self._rows.values()]

    def changes_since(self, revision: int) -> list[Leave]:
        """Return the leaves that changed after a revision, the oldest change first."""
        changes = []
        for changed_at, leave in reversed(self._rows.values()):
            if changed_at <= revision:
                break
            changes.append(leave)
        changes.reverse()
        return changes

    def replace_all(self, leaves: Iterable[Leave]) -> None:
        """Replace the whole table by leaves, the oldest change first."""
        self._rows.clear()
        for leave in leaves:
            self.record(leave)
