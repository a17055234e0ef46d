"""Limit on the attempts of one request at the upstreams of one service."""

from dataclasses import dataclass

# Number of attempts rejected by full upstreams that may be repeated at other upstreams.
# Rejected attempts did not run, so they do not count towards the maximum number of
# attempts, but each repetition uses the retry budget.
_MAX_REJECTED_ATTEMPTS = 2


@dataclass(slots=True)
class AttemptCounts:
    """Counts of the attempts of one request at one service that have ended.

    Attributes:
        possibly_run_count: Attempts that ran or may have run.
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
            max_attempts: Maximum number of upstreams that may run the request.
            is_idempotent: Whether more than one upstream may run the request.
        """
        if self.rejected_count > _MAX_REJECTED_ATTEMPTS:
            return False
        if self.possibly_run_count and not is_idempotent:
            return False
        return self.possibly_run_count + running_count < max_attempts

    def is_extra_attempt(self, *, running_count: int) -> bool:
        """Return whether one more attempt is extra, so not the first at the service."""
        return bool(running_count or self.possibly_run_count or self.rejected_count)
