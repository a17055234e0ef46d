"""Rate-limited, non-blocking logging to standard output."""

import asyncio
import logging
import os
import sys
import time

from cuminbendd._logs import KeyValueFormatter

logger = logging.getLogger(__name__)

# About ten times the number of lines that an instance writes at its highest load.
MAX_LINES_PER_S = 2000
MAX_BYTES_PER_S = 512 << 10
# Share of both bounds that lines below the level WARNING may use, so that they are
# dropped first. Warnings and errors may use the full bounds.
_BELOW_WARNING_SHARE = 0.5


class BoundedHandler(logging.Handler):
    """Writes log lines to a non-blocking file descriptor.

    Lines beyond the bounds of the current second are dropped and counted. Lines below
    the level WARNING get half of the bounds, so that warnings and errors can still be
    written. A line is dropped as well if the pipe is full because its reader is slow.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._current_second = 0
        self._line_count = 0
        self._byte_count = 0
        self._dropped_count = 0
        self._is_last_line_incomplete = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or drop it."""
        current_second = int(record.created)
        if current_second != self._current_second:
            self._start_second(current_second)
        allowed_share = (
            1.0 if record.levelno >= logging.WARNING else _BELOW_WARNING_SHARE
        )
        if (
            self._line_count >= MAX_LINES_PER_S * allowed_share
            or self._byte_count >= MAX_BYTES_PER_S * allowed_share
        ):
            self._dropped_count += 1
            return
        self._write_line(self.format(record))

    def _start_second(self, current_second: int) -> None:
        dropped_count, self._dropped_count = self._dropped_count, 0
        self._current_second, self._line_count, self._byte_count = current_second, 0, 0
        if dropped_count:
            self._write_line(
                f"time={time.time():.3f} event=log_lines_dropped count={dropped_count}"
            )

    def _write_line(self, line: str) -> None:
        data = line.encode() + b"\n"
        if self._is_last_line_incomplete:
            data = b"\n" + data
        self._line_count += 1
        self._byte_count += len(data)
        try:
            written_count = os.write(self._descriptor, data)
        except OSError:
            self._dropped_count += 1
            return
        self._is_last_line_incomplete = written_count < len(data)
        if self._is_last_line_incomplete:
            self._dropped_count += 1


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the error that ended a task.

    Used as done callback of tasks that are not awaited.
    """
    if not task.cancelled() and task.exception() is not None:
        logger.error("event=task_failed error='%r'", task.exception())


def configure_bounded_logging(instance: str, level: str = "INFO") -> None:
    """Write all logs to standard output, each as one line of key=value pairs."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(KeyValueFormatter(instance=instance))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger(asyncio.__name__).setLevel(logging.WARNING)
    # The formatter does not use these fields, and looking them up takes longer than
    # writing the line.
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
