"""Logging as one line of key=value pairs per event."""

import logging
import sys
from datetime import UTC, datetime


class KeyValueFormatter(logging.Formatter):
    """Puts time, level, instance and logger before the pairs of the message.

    Messages are written as pairs already, starting with ``event=``; a message of a
    library that is not is quoted as ``text=``.
    """

    def __init__(self, *, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        at = datetime.fromtimestamp(record.created, UTC).isoformat(
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
            f"time={at} level={record.levelname.lower()} instance={self._instance} "
            f"logger={record.name} {message}"
        )


def configure_logging(instance: str, level: str) -> None:
    """Send all logs to standard error in key=value form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(instance=instance))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for noisy in ("uvicorn", "httpcore", "grpc"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
