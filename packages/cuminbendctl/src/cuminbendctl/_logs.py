"""Reads log files, in which each line is one event as ``key=value`` pairs."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from cuminbend.exceptions import ConfigurationError

# Text that a log collector puts before the first pair is skipped.
_EVENT_START = re.compile(r"(?:^|\s)(time=\S+ level=)")
_PAIR = re.compile(r"""([A-Za-z_]+)=('[^']*'|"[^"]*"|\S*)""")
# Unreadable lines of a file that are reported one by one; of more lines, only the
# number is reported. A file that has no readable line at all is refused.
_MAX_REPORTED_LINES = 5


@dataclass(frozen=True, slots=True)
class LogLine:
    """One logged event.

    Attributes:
        logged_at: Time of the event on the clock of its instance.
        fields: All pairs except the time.
    """

    logged_at: datetime
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")

    @property
    def instance(self) -> str:
        """Instance that wrote the line."""
        return self.fields.get("instance", "")

    def number(self, name: str) -> float | None:
        """Return a numeric field, or None if it is absent or not a number."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, or None if the line holds no complete event."""
    start = _EVENT_START.search(text)
    if start is None:
        return None
    pairs = _PAIR.findall(text[start.start(1) :])
    fields = {key: value.strip("'\"") for key, value in pairs}
    try:
        logged_at = datetime.fromisoformat(fields.pop("time"))
    except (KeyError, ValueError):
        return None
    return LogLine(logged_at, fields) if "event" in fields else None


def read_logs(paths: Iterable[Path]) -> tuple[list[LogLine], list[str]]:
    """Return the events of log files in time order, and problems for the operator.

    Raises:
        ConfigurationError: If a file cannot be read or holds no event at all.
    """
    lines: list[LogLine] = []
    problems: list[str] = []
    for path in paths:
        file_lines = list(_read_events(path, problems))
        if not file_lines:
            raise ConfigurationError(
                [f"{path}: holds no log line of cuminbend; name its log files"]
            )
        lines += file_lines
    lines.sort(key=lambda line: line.logged_at)
    return lines, problems


def _read_events(path: Path, problems: list[str]) -> Iterator[LogLine]:
    try:
        content = path.read_bytes()
    except OSError as error:
        raise ConfigurationError([f"{path}: cannot be read ({error})"]) from error
    unreadable_count = 0
    for line_number, raw in enumerate(content.splitlines(), 1):
        line = parse_line(raw.decode("utf-8", "replace"))
        if line is not None:
            yield line
        elif b"event=" in raw:
            unreadable_count += 1
            if unreadable_count <= _MAX_REPORTED_LINES:
                problems.append(f"{path}: line {line_number} is cut or unreadable")
    if unreadable_count > _MAX_REPORTED_LINES:
        problems.append(
            f"{path}: {unreadable_count} lines are cut or unreadable in all"
        )
