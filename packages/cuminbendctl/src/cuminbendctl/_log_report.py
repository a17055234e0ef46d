"""Writes an HTML page with plots of logged events over time."""

import html
import io
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from cuminbend.exceptions import ConfigurationError

from cuminbendctl._logs import LogLine

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>cuminbend report</title>
<style>body{{font-family:sans-serif;max-width:60em;margin:auto}}
td,th{{padding:.2em 1em;text-align:left}}</style></head>
<body><h1>cuminbend report</h1>
<p>{count} events of {instances} instances from {first} to {last}</p>
{plots}
<h2>Configuration by instance</h2>
<table><tr><th>instance</th><th>version</th><th>since</th><th>not applied</th>
<th>cause</th></tr>{configurations}</table>
<h2>Outcomes</h2>
<table><tr><th>outcome</th><th>status</th><th>requests</th></tr>{rows}</table>
</body></html>
"""


def write_report(lines: Sequence[LogLine], folder: Path) -> Path:
    """Write ``report.html`` to a folder and return the path of the file.

    Args:
        lines: Events in time order, at least one.
        folder: Folder of the page; created if it does not exist.

    Raises:
        ConfigurationError: If the plotting library is not installed.
    """
    try:
        import matplotlib as mpl
        from matplotlib.figure import Figure
    except ImportError as error:
        raise ConfigurationError(
            ["plots need matplotlib; install 'cuminbendctl[report]'"]
        ) from error
    mpl.rcParams["svg.hashsalt"] = "cuminbend"
    end_lines = [line for line in lines if line.event == "request_ended"]
    start = lines[0].logged_at
    plots = []
    for title, unit, series in (
        (
            "Latency by route",
            "ms",
            _field_series(end_lines, start, "route", "duration_ms"),
        ),
        (
            "Coverage by route",
            "share",
            _field_series(end_lines, start, "route", "coverage"),
        ),
        (
            "Not answered, per second",
            "requests",
            _unanswered_per_second(end_lines, start),
        ),
        ("Configuration in force", "version", _version_series(lines, start)),
    ):
        figure = Figure(figsize=(9, 3))
        _draw_plot(figure.subplots(), title, unit, series)
        image = io.StringIO()
        figure.savefig(image, format="svg", bbox_inches="tight", metadata={"Date": ""})
        plots.append(
            image.getvalue().partition("<svg")[1]
            + image.getvalue().partition("<svg")[2]
        )
    page = _PAGE.format(
        count=len(lines),
        instances=len({line.instance for line in lines}),
        first=lines[0].logged_at.isoformat(),
        last=lines[-1].logged_at.isoformat(),
        plots="\n".join(plots),
        configurations=_configuration_rows(lines),
        rows=_outcome_rows(end_lines),
    )
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "report.html"
    path.write_text(page)
    return path


Series = dict[str, list[tuple[float, float]]]


def _draw_plot(axes: Any, title: str, unit: str, series: Series) -> None:
    axes.set_title(title)
    axes.set_xlabel("s")
    axes.set_ylabel(unit)
    for name in sorted(series):
        points = series[name]
        axes.plot(*zip(*points, strict=True), ".", markersize=3, label=name)
    if series:
        axes.legend(fontsize="x-small", loc="upper right")


def _field_series(
    end_lines: Sequence[LogLine], start: Any, label_field: str, value_field: str
) -> Series:
    series: Series = defaultdict(list)
    for line in end_lines:
        value = line.number(value_field)
        if value is not None:
            name = line.fields.get(label_field, "none")
            series[name].append(((line.logged_at - start).total_seconds(), value))
    return series


def _unanswered_per_second(end_lines: Sequence[LogLine], start: Any) -> Series:
    counts: dict[str, Counter[int]] = defaultdict(Counter)
    for line in end_lines:
        outcome = line.fields.get("outcome", "")
        if outcome != "answered":
            counts[outcome][int((line.logged_at - start).total_seconds())] += 1
    return {
        outcome: [(float(second), float(n)) for second, n in sorted(counter.items())]
        for outcome, counter in counts.items()
    }


def _version_series(lines: Sequence[LogLine], start: Any) -> Series:
    series: Series = defaultdict(list)
    for line in lines:
        version = line.number("version")
        if line.event == "configuration_in_force" and version is not None:
            offset_s = (line.logged_at - start).total_seconds()
            series[line.instance].append((offset_s, version))
    return series


def _configuration_rows(lines: Sequence[LogLine]) -> str:
    """Return the last version in force at each entry instance, and what it lacks."""
    in_force: dict[str, LogLine] = {}
    problems: dict[str, tuple[str, str]] = {}
    for line in lines:
        if line.event == "configuration_in_force":
            in_force[line.instance] = line
            problems.pop(line.instance, None)
        elif line.event in ("configuration_unreadable", "configuration_in_part"):
            version = line.fields.get("refused") or line.fields.get("version", "")
            problems[line.instance] = (version, line.fields.get("error", ""))
        elif line.event == "configuration_overdue":
            subject = line.fields.get("entry", "")
            problems.setdefault(
                subject,
                (line.fields.get("due_version", ""), line.fields.get("cause", "")),
            )
    rows = []
    for instance in sorted(in_force.keys() | problems.keys()):
        applied = in_force.get(instance)
        version = applied.fields.get("version", "") if applied else "none"
        since = applied.logged_at.isoformat() if applied else ""
        cells = (instance, version, since, *problems.get(instance, ("", "")))
        rows.append(
            "<tr>"
            + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
            + "</tr>"
        )
    return "".join(rows)


def _outcome_rows(end_lines: Sequence[LogLine]) -> str:
    counts = Counter(
        (line.fields.get("outcome", ""), line.fields.get("status", ""))
        for line in end_lines
    )
    return "".join(
        f"<tr><td>{html.escape(outcome)}</td><td>{html.escape(status)}</td>"
        f"<td>{count}</td></tr>"
        for (outcome, status), count in counts.most_common()
    )
