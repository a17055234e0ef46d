"""Lists the events of one request, found in log lines."""

from collections.abc import Sequence
from datetime import datetime, timedelta

from cuminbendctl._logs import LogLine

# Events of an instance are shown from this long before a request on, as they may have
# changed what the instance based its decisions on.
_CONTEXT_BEFORE = timedelta(seconds=6)
# Events are shown until this long after the last line of a request. A part of the
# request that logs no line takes at most this long.
_CONTEXT_AFTER = timedelta(milliseconds=500)

_INSTANCE_WIDE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "evacuated",
        "control_lost",
        "control_joined",
        "started",
        "stopping",
        "stopped",
        "log_lines_dropped",
    }
)
_OUTCOME_TEXTS = {
    "answered": "was answered",
    "too_few_upstreams": "was rejected before anything was sent: too few shards had "
    "an upstream that takes work",
    "too_few_parts": "failed: too many shards could not be answered any more",
    "timeout": "got its final answer at the deadline",
    "lost": "failed: an upstream may have run it and its answer was lost",
    "error": "got the error of an upstream",
    "no_route": "matched no route of the configuration",
    "no_configuration": "came before this instance had a configuration",
    "unsigned": "was answered by an upstream without a signature",
    "overload": "was rejected before anything was sent: the queues of its shards were "
    "too long for it to be in time",
    "rejected_no_upstream": "was rejected: no upstream of the service takes work",
    "rejected_not_run": "was rejected: every upstream that was asked refused it",
    "rejected_deadline": "was rejected at its deadline; nothing had been sent",
    "abandoned_by_caller": "was given up by its caller",
}


def explain(lines: Sequence[LogLine], request_id: str) -> list[str]:
    """Return the outcome and the events of a request as text lines, earliest first.

    Lines of the request itself are marked with ``*``. The others are events of the
    same instances that may have influenced it. The list is empty if no line names the
    request.

    Args:
        lines: Events in time order, of all instances.
        request_id: Identity of the request.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    start, end = (
        request_lines[0].logged_at,
        request_lines[-1].logged_at + _CONTEXT_AFTER,
    )
    duration_ms = max(
        (line.number("duration_ms") or 0.0 for line in request_lines),
        default=0.0,
    )
    start -= timedelta(milliseconds=duration_ms)
    subjects = _find_subjects(request_lines)
    context = [
        line
        for line in lines
        if start - _CONTEXT_BEFORE <= line.logged_at <= end
        and _is_context(line, request_lines, subjects)
    ]
    shown_lines = sorted(
        {id(line): line for line in (*request_lines, *context)}.values(), key=_logged_at
    )
    text = [f"request {request_id}: {_describe_outcome(request_lines)}"]
    text += [_format_line(line, start, line in request_lines) for line in shown_lines]
    return text


def _logged_at(line: LogLine) -> datetime:
    return line.logged_at


def _describe_outcome(request_lines: Sequence[LogLine]) -> str:
    end_lines = [line for line in request_lines if line.event == "request_ended"]
    if not end_lines:
        return "no line tells how it ended; the instance stopped or dropped lines"
    line = end_lines[-1]
    outcome = line.fields.get("outcome", "")
    description = _OUTCOME_TEXTS.get(outcome, f"ended as {outcome}")
    missing_shards = [
        name for name in line.fields.get("missing", "").split(",") if name
    ]
    if missing_shards:
        description += (
            f"; {len(missing_shards)} shards were missing: {', '.join(missing_shards)}"
        )
    return f"{description} (status {line.fields.get('status', 'none')})"


def _find_subjects(request_lines: Sequence[LogLine]) -> set[str]:
    """Return the upstreams and services that the request's lines name."""
    names: set[str] = set()
    for line in request_lines:
        for key in ("upstream", "service", "services", "tried", "missing"):
            for item in line.fields.get(key, "").replace("+", ",").split(","):
                names.update(part for part in item.split("@") if part)
    return names


def _is_context(
    line: LogLine, request_lines: Sequence[LogLine], subjects: set[str]
) -> bool:
    if "request" in line.fields or line.instance not in {
        item.instance for item in request_lines
    }:
        return False
    if line.event in _INSTANCE_WIDE_EVENTS:
        return True
    line_subjects = {line.fields.get("upstream", ""), line.fields.get("service", "")}
    return bool(line_subjects & subjects)


def _format_line(line: LogLine, start: datetime, is_own: bool) -> str:
    offset_ms = (line.logged_at - start) / timedelta(milliseconds=1)
    hidden_keys = ("event", "instance", "level", "logger", "request")
    fields = " ".join(
        f"{key}={value}" for key, value in line.fields.items() if key not in hidden_keys
    )
    mark = "*" if is_own else " "
    return f"{offset_ms:+10.1f} ms {mark} {line.instance} {line.event} {fields}"
