"""How often one request may be sent to the upstreams of one service."""

from dataclasses import dataclass

# Rejections by full upstreams that are tried elsewhere beyond the attempts allowed;
# they did not run, but they count against the retry budget.
_MAX_REJECTED = 2


@dataclass(slots=True)
class AttemptCounts:
    """Attempts of one request at one service that have ended.

    Attributes:
        may_have_run: Attempts that ran, or of which nobody knows.
        rejected: Attempts that certainly did not run.
    """

    may_have_run: int = 0
    rejected: int = 0

    def allows_another(
        self, *, running: int, max_attempts: int, is_idempotent: bool = True
    ) -> bool:
        """Return whether one more attempt is allowed.

        Args:
            running: Attempts that have not ended.
            max_attempts: Upstreams that may run it.
            is_idempotent: Whether more than one may run it at all.
        """
        if self.rejected > _MAX_REJECTED:
            return False
        if self.may_have_run and not is_idempotent:
            return False
        return self.may_have_run + running < max_attempts

    def is_extra(self, *, running: int) -> bool:
        """Return whether one more attempt is not the first arrival at the service."""
        return bool(running or self.may_have_run or self.rejected)
