"""Log formatter that writes one line of key=value pairs per event."""

import logging
import sys
from datetime import UTC, datetime


class KeyValueFormatter(logging.Formatter):
    """Formats a record as time, level, instance and logger, followed by its message.

    A message that starts with ``event=`` consists of key=value pairs and is kept. Any
    other message, for instance of a library, is quoted as ``text=``.
    """

    def __init__(self, *, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line, including the traceback if there is one."""
        timestamp = datetime.fromtimestamp(record.created, UTC).isoformat(
            timespec="milliseconds"
        )
        message = record.getMessage().replace("\n", " ")
        if not message.startswith("event="):
            quoted = message.replace('"', "'")
            message = f'event=log text="{quoted}"'
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            quoted = trace.replace('"', "'").replace("\n", " | ")
            message += f' trace="{quoted}"'
        return (
            f"time={timestamp} level={record.levelname.lower()} "
            f"instance={self._instance} logger={record.name} {message}"
        )


def configure_logging(instance: str, level: str) -> None:
    """Write all logs to standard error as key=value pairs.

    Libraries that log many lines are limited to warnings and errors.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(instance=instance))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for library in ("uvicorn", "httpcore", "grpc"):
        logging.getLogger(library).setLevel(logging.WARNING)
