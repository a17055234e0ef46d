"""Reads log files, in which each line is one event as ``key=value`` pairs."""

import atexit
import gzip
import re
import shutil
import tempfile
import zlib
from collections.abc import Callable, Iterable, Iterator
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


def spool_pipes(paths: Iterable[Path]) -> list[Path]:
    """Return the paths, with pipes such as ``/dev/stdin`` replaced by copies.

    Logs are read more than once, which a pipe does not allow. The copies are deleted
    when the process ends.
    """
    return [_spool(path) if path.is_fifo() else path for path in paths]


def _spool(pipe: Path) -> Path:
    with (
        pipe.open("rb") as source,
        tempfile.NamedTemporaryFile(
            prefix="cuminbendctl-", suffix=".log", delete=False
        ) as copy,
    ):
        shutil.copyfileobj(source, copy)
    path = Path(copy.name)
    atexit.register(path.unlink, missing_ok=True)
    return path


def find_lines(paths: Iterable[Path], text: str) -> list[LogLine]:
    """Return the events of the lines that contain a text, in time order.

    Other lines are not parsed.

    Raises:
        ConfigurationError: If a file cannot be read.
    """
    needle = text.encode()
    lines = [
        line
        for path in paths
        for raw in _read_raw_lines(path)
        if needle in raw and (line := _parse_raw_line(raw)) is not None
    ]
    return sorted(lines, key=lambda line: line.logged_at)


def read_logs(
    paths: Iterable[Path], keep: Callable[[LogLine], bool] = lambda line: True
) -> tuple[list[LogLine], list[str]]:
    """Return events of log files in time order, and problems for the operator.

    Files whose name ends in ``.gz`` are decompressed. Only the events that are kept
    take memory.

    Args:
        paths: The log files.
        keep: Returns whether an event is returned.

    Raises:
        ConfigurationError: If a file cannot be read or holds no event at all.
    """
    lines: list[LogLine] = []
    problems: list[str] = []
    for path in paths:
        event_count = 0
        for line in _read_events(path, problems):
            event_count += 1
            if keep(line):
                lines.append(line)
        if not event_count:
            raise ConfigurationError(
                [f"{path}: holds no log line of cuminbend; name its log files"]
            )
    lines.sort(key=lambda line: line.logged_at)
    return lines, problems


def _read_raw_lines(path: Path) -> Iterator[bytes]:
    try:
        with gzip.open(path) if path.suffix == ".gz" else path.open("rb") as file:
            yield from file
    except (OSError, EOFError, zlib.error) as error:
        raise ConfigurationError([f"{path}: cannot be read ({error})"]) from error


def _parse_raw_line(raw: bytes) -> LogLine | None:
    return parse_line(raw.decode("utf-8", "replace").rstrip("\r\n"))


def _read_events(path: Path, problems: list[str]) -> Iterator[LogLine]:
    unreadable_count = 0
    for line_number, raw in enumerate(_read_raw_lines(path), 1):
        line = _parse_raw_line(raw)
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
