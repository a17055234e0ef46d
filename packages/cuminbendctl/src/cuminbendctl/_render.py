"""Renders JSON documents as readable text."""

from collections.abc import Iterator
from typing import Any


def render_document(document: Any) -> str:
    """Return a document as indented ``key: value`` lines, lists of rows as tables."""
    return "\n".join(_render_lines(document, 0))


REPORT_COLUMNS = (
    "service",
    "answers_in_time",
    "answers_late",
    "first_attempts",
    "hedges",
    "retries",
    "extra_load",
)


def report_rows(document: dict[str, Any]) -> list[dict[str, Any]]:
    """Return one table row per member and service of a report."""
    return [
        {
            "member": member["member"],
            **{column: row[column] for column in REPORT_COLUMNS},
            "refused": sum(item["count"] for item in row["refusals"]),
        }
        for member in document["members"]
        for row in member["services"]
    ]


def _render_lines(value: Any, depth: int) -> Iterator[str]:
    indent = "  " * depth
    if isinstance(value, dict):
        for key, item in value.items():
            if _is_table(item):
                yield f"{indent}{key}:"
                yield from _render_table(item, depth + 1)
            elif isinstance(item, dict) and item:
                yield f"{indent}{key}:"
                yield from _render_lines(item, depth + 1)
            else:
                yield f"{indent}{key}: {_format_scalar(item)}"
    else:
        yield f"{indent}{_format_scalar(value)}"


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(row, dict) for row in value)
    )


def _render_table(rows: list[dict[str, Any]], depth: int) -> Iterator[str]:
    columns = list(rows[0])
    cells = [[_format_scalar(row.get(column)) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(row[index]) for row in cells))
        for index, column in enumerate(columns)
    ]
    for line in [columns, *cells]:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield ("  " * depth + "  ".join(padded)).rstrip()


def _format_scalar(value: Any) -> str:
    if isinstance(value, list):
        return ", ".join(_format_scalar(item) for item in value) or "-"
    if value is None:
        return "-"
    return str(value)
