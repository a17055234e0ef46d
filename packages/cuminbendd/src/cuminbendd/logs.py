"""Logs to standard output, bounded and without ever blocking."""

import asyncio
import logging
import os
import sys
import time

from cuminbendd._logs import KeyValueFormatter

logger = logging.getLogger(__name__)

# About ten times the lines of an instance at its highest load.
MAX_LINES_PER_S = 2000
MAX_BYTES_PER_S = 512 << 10
# Lines below this level are dropped first; failures are kept up to the full bound.
_SHARE_OF_INFO = 0.5


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor that does not block.

    Lines beyond the bound of the current second are dropped and counted. Ordinary
    lines get half of the bound, so that warnings and errors still have room. A line
    that the reader is too slow to take is dropped as well.

    Args:
        descriptor: Where to write; set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        self._bytes = 0
        self._dropped = 0
        self._torn = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop it."""
        second = int(record.created)
        if second != self._second:
            self._start_second(second)
        share = 1.0 if record.levelno >= logging.WARNING else _SHARE_OF_INFO
        if (
            self._lines >= MAX_LINES_PER_S * share
            or self._bytes >= MAX_BYTES_PER_S * share
        ):
            self._dropped += 1
            return
        self._write(self.format(record))

    def _start_second(self, second: int) -> None:
        dropped, self._dropped = self._dropped, 0
        self._second, self._lines, self._bytes = second, 0, 0
        if dropped:
            self._write(
                f"time={time.time():.3f} event=log_lines_dropped count={dropped}"
            )

    def _write(self, line: str) -> None:
        data = line.encode() + b"\n"
        if self._torn:
            data = b"\n" + data
        self._lines += 1
        self._bytes += len(data)
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            self._dropped += 1
            return
        self._torn = written < len(data)
        if self._torn:
            self._dropped += 1


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the error that ended a task, which nobody waits for."""
    if not task.cancelled() and task.exception() is not None:
        logger.error("event=task_failed error='%r'", task.exception())


def configure_bounded_logging(instance: str, level: str = "INFO") -> None:
    """Send all logs to standard output, one line of key=value pairs each."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(KeyValueFormatter(instance=instance))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger(asyncio.__name__).setLevel(logging.WARNING)
    # Nothing reads these fields, and looking them up costs more than the line.
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
