"""What upstreams state of themselves in answers, merged over all instances."""

from collections.abc import Container
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatement:
    """What an upstream last said of itself.

    Attributes:
        upstream: Identity of the upstream.
        incarnation_ms: Start time of the process, which distinguishes it from others
            with the same identity.
        limit_per_s: Requests a second from all instances together, None without limit.
        is_leaving: Whether it is about to end.
        has_ended: Whether an instance has seen the process end.
    """

    upstream: str
    incarnation_ms: int
    limit_per_s: float | None
    is_leaving: bool = False
    has_ended: bool = False

    def with_final_states_of(self, known: "UpstreamStatement") -> "UpstreamStatement":
        """Return the statement with what holds until the process is another one."""
        if self.incarnation_ms != known.incarnation_ms:
            return self
        return replace(
            self,
            is_leaving=self.is_leaving or known.is_leaving,
            has_ended=self.has_ended or known.has_ended,
        )


class StatementTable:
    """The latest statement of each upstream, with a revision for each change.

    Statements have no order of their own, so the one that arrives last holds. An
    instance that hears something else from the upstream reports that again. That a
    process leaves or has ended holds until there is another one.

    Attributes:
        revision: Number of the last change.
    """

    def __init__(self) -> None:
        self._rows: dict[str, tuple[int, UpstreamStatement, bool]] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._rows)

    def record(self, statement: UpstreamStatement, *, is_held_here: bool) -> bool:
        """Record a statement; return whether it changes anything.

        Args:
            statement: What an upstream said.
            is_held_here: Whether an entry instance reported it to this instance, not to
                another control instance.
        """
        row = self._rows.get(statement.upstream)
        if row is not None:
            known = row[1]
            statement = statement.with_final_states_of(known)
            if statement.incarnation_ms < known.incarnation_ms or statement == known:
                return False
        self.revision += 1
        self._rows.pop(statement.upstream, None)
        self._rows[statement.upstream] = (self.revision, statement, is_held_here)
        return True

    def changes_since(
        self, revision: int, *, only_held_here: bool = False
    ) -> tuple[UpstreamStatement, ...]:
        """Return the statements that changed after a revision, oldest change first."""
        changes = []
        for changed_at, statement, is_held_here in reversed(self._rows.values()):
            if changed_at <= revision:
                break
            if is_held_here or not only_held_here:
                changes.append(statement)
        return tuple(reversed(changes))

    def retain(self, registered: Container[str]) -> None:
        """Forget the statements of upstreams that are no longer registered."""
        for upstream in tuple(self._rows):
            if upstream not in registered:
                del self._rows[upstream]
