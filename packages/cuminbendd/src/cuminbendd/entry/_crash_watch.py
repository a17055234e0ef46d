"""Finds out which requests were running at an upstream when it ended."""

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from cuminbend.crashes import Crash, CrashSuspects, Verdict

from cuminbendd.entry._pool import ConnectionPool
from cuminbendd.logs import log_task_failure

if TYPE_CHECKING:
    from cuminbendd.entry._forwarding import PreparedRequest

logger = logging.getLogger(__name__)


class CrashWatch:
    """Attributes the end of an upstream to the requests whose connection it broke.

    Args:
        suspects: Gets the crashes.
        report: Sends a report to the control group now.
    """

    def __init__(
        self, *, suspects: CrashSuspects, report: Callable[[], None] = lambda: None
    ) -> None:
        self.suspects = suspects
        self.report = report
        self._checks: set[asyncio.Task[None]] = set()

    def record_answer(self, request: "PreparedRequest", service: str) -> None:
        """Record that an upstream of a service answered a request."""
        request.was_answered = True
        self.suspects.record_answer(request.fingerprint, service)

    def record_broken_connection(
        self, request: "PreparedRequest", pool: ConnectionPool
    ) -> None:
        """Check whether an upstream ended while it may have run a request."""
        request.broken_count += 1
        if not request.fingerprint:
            # An instance of an earlier version sent the group; its requests cannot be
            # told apart.
            return
        check = asyncio.ensure_future(self._check(request, pool))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
        check.add_done_callback(log_task_failure)

    async def _check(self, request: "PreparedRequest", pool: ConnectionPool) -> None:
        if not await pool.has_ended():
            return
        replica = pool.replica
        history = self.suspects.record_crash(
            Crash(
                fingerprint=request.fingerprint,
                upstream=replica.upstream,
                incarnation_ms=replica.incarnation_ms,
                service=replica.service,
                is_partial=request.was_answered,
            )
        )
        logger.warning(
            "event=upstream_crashed upstream=%s service=%s incarnation_ms=%d "
            "request=%s fingerprint=%s partial=%s crashes=%d verdict=%s",
            replica.upstream,
            replica.service,
            replica.incarnation_ms,
            request.request_id.decode("latin-1"),
            request.fingerprint,
            request.was_answered,
            len(history.crashes),
            history.verdict.name.lower(),
        )
        if history.verdict is not Verdict.CLEAR:
            self.report()

    def close(self) -> None:
        """Cancel all checks."""
        for check in self._checks:
            check.cancel()
