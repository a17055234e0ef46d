"""How often one request may be sent to the upstreams of one service."""

from dataclasses import dataclass

# Rejections by full upstreams that are tried elsewhere beyond the attempts allowed;
# they did not run, but they count against the retry budget.
_MAX_REJECTED = 2


@dataclass(slots=True)
class AttemptCounts:
    """Attempts of one request at one service that have ended.

    Attributes:
        possibly_run_count: Attempts that ran, or of which nobody knows.
        rejected_count: Attempts that certainly did not run.
    """

    possibly_run_count: int = 0
    rejected_count: int = 0

    def allows_another_attempt(
        self, *, running_count: int, max_attempts: int, is_idempotent: bool = True
    ) -> bool:
        """Return whether one more attempt is allowed.

        Args:
            running_count: Attempts that have not ended.
            max_attempts: Upstreams that may run it.
            is_idempotent: Whether more than one may run it at all.
        """
        if self.rejected_count > _MAX_REJECTED:
            return False
        if self.possibly_run_count and not is_idempotent:
            return False
        return self.possibly_run_count + running_count < max_attempts

    def is_extra_attempt(self, *, running_count: int) -> bool:
        """Return whether one more attempt is not the first arrival at the service."""
        return bool(running_count or self.possibly_run_count or self.rejected_count)
