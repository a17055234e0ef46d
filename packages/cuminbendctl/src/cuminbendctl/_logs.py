"""Reading of log lines: pairs of key and value, one event a line."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from cuminbend.exceptions import ConfigurationError

# Whatever a collector puts before the first pair is skipped.
_START = re.compile(r"(?:^|\s)(time=\S+ level=)")
_PAIR = re.compile(r"""([A-Za-z_]+)=('[^']*'|"[^"]*"|\S*)""")
# An unreadable line is reported, but a file without any other is no log.
_MAX_REPORTED = 5


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event.

    Attributes:
        at: When, on the clock of its instance.
        fields: All pairs but the time.
    """

    at: datetime
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
        """Return a numeric field, or None if it is absent or no number."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, or None if it holds none in full."""
    start = _START.search(text)
    if start is None:
        return None
    pairs = _PAIR.findall(text[start.start(1) :])
    fields = {key: value.strip("'\"") for key, value in pairs}
    try:
        at = datetime.fromisoformat(fields.pop("time"))
    except (KeyError, ValueError):
        return None
    return LogLine(at, fields) if "event" in fields else None


def read_logs(paths: Iterable[Path]) -> tuple[list[LogLine], list[str]]:
    """Return the events of log files in time order, and problems with the files.

    Raises:
        ConfigurationError: If a file cannot be read or holds no event at all.
    """
    lines: list[LogLine] = []
    problems: list[str] = []
    for path in paths:
        found = list(_read(path, problems))
        if not found:
            raise ConfigurationError(
                [f"{path}: holds no log line of cuminbend; name its log files"]
            )
        lines += found
    lines.sort(key=lambda line: line.at)
    return lines, problems


def _read(path: Path, problems: list[str]) -> Iterator[LogLine]:
    try:
        content = path.read_bytes()
    except OSError as error:
        raise ConfigurationError([f"{path}: cannot be read ({error})"]) from error
    unreadable = 0
    for number, raw in enumerate(content.splitlines(), 1):
        line = parse_line(raw.decode("utf-8", "replace"))
        if line is not None:
            yield line
        elif b"event=" in raw:
            unreadable += 1
            if unreadable <= _MAX_REPORTED:
                problems.append(f"{path}: line {number} is cut or unreadable")
    if unreadable > _MAX_REPORTED:
        problems.append(f"{path}: {unreadable} lines are cut or unreadable in all")
