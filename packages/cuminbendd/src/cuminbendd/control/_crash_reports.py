"""Commits what entry instances report of requests that crash upstreams."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from cuminbend.crashes import AnsweredRequest, Crash, CrashReport
from cuminbend.exceptions import UnavailableError
from cuminbend.newest import Command, HighestVersionState, RecordCrashes

from cuminbendd.logs import log_task_failure

logger = logging.getLogger(__name__)


class CrashReports:
    """Commits reports one after the other; those that arrive meanwhile are combined.

    A report that cannot be committed is dropped, because the entry instance repeats it
    until the record contains it.

    Args:
        state: The replicated state.
        commit: Commits a command.
    """

    def __init__(
        self,
        *,
        state: HighestVersionState,
        commit: Callable[[Command], Awaitable[None]],
    ) -> None:
        self._state = state
        self._commit = commit
        self._crashes: dict[Crash, None] = {}
        self._answered: dict[AnsweredRequest, None] = {}
        self._task: asyncio.Task[None] | None = None

    def take(self, report: CrashReport) -> None:
        """Commit what the record does not contain yet."""
        table = self._state.crash_table
        for crash in report.crashes:
            history = table.history(crash.fingerprint)
            if history.with_crash(crash) is not history:
                self._crashes[crash] = None
        for answered in report.answered:
            if table.history(answered.fingerprint).crashes:
                self._answered[answered] = None
        if (self._crashes or self._answered) and (
            self._task is None or self._task.done()
        ):
            self._task = asyncio.ensure_future(self._commit_all())
            self._task.add_done_callback(log_task_failure)

    async def _commit_all(self) -> None:
        while self._crashes or self._answered:
            report = CrashReport(
                crashes=tuple(self._crashes), answered=tuple(self._answered)
            )
            self._crashes.clear()
            self._answered.clear()
            try:
                await self._commit(RecordCrashes(report))
            except UnavailableError as error:
                logger.warning("event=crashes_not_recorded error='%s'", error)
                return
            for crash in report.crashes:
                logger.warning(
                    "event=crash_recorded fingerprint=%s upstream=%s "
                    "incarnation_ms=%d service=%s crashes=%d",
                    crash.fingerprint,
                    crash.upstream,
                    crash.incarnation_ms,
                    crash.service,
                    len(self._state.crash_table.history(crash.fingerprint).crashes),
                )

    def close(self) -> None:
        """Cancel the commit in progress."""
        if self._task is not None:
            self._task.cancel()
