"""The story of one request, from log lines alone."""

from collections.abc import Sequence
from datetime import datetime, timedelta

from cuminbendctl._logs import LogLine

# How far back a change of belief can lie that still bears on a request.
_CONTEXT = timedelta(seconds=6)
# A request that left no line of its own took at most this long.
_AFTER = timedelta(milliseconds=500)

_ABOUT_EVERYTHING = frozenset(
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
_OUTCOMES = {
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
    """Return the story of a request as text lines, the earliest event first.

    Args:
        lines: Events in time order, of all instances.
        request_id: Identity of the request.
    """
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    start, end = own[0].at, own[-1].at + _AFTER
    duration_ms = max((line.number("duration_ms") or 0.0 for line in own), default=0.0)
    start -= timedelta(milliseconds=duration_ms)
    subjects = _subjects(own)
    context = [
        line
        for line in lines
        if start - _CONTEXT <= line.at <= end and _is_context(line, own, subjects)
    ]
    story = sorted({id(line): line for line in (*own, *context)}.values(), key=_at)
    text = [f"request {request_id}: {_verdict(own)}"]
    text += [_render(line, start, line in own) for line in story]
    return text


def _at(line: LogLine) -> datetime:
    return line.at


def _verdict(own: Sequence[LogLine]) -> str:
    ended = [line for line in own if line.event == "request_ended"]
    if not ended:
        return "no line tells how it ended; the instance stopped or dropped lines"
    line = ended[-1]
    outcome = line.fields.get("outcome", "")
    told = _OUTCOMES.get(outcome, f"ended as {outcome}")
    missing = [name for name in line.fields.get("missing", "").split(",") if name]
    if missing:
        told += f"; {len(missing)} shards were missing: {', '.join(missing)}"
    return f"{told} (status {line.fields.get('status', 'none')})"


def _subjects(own: Sequence[LogLine]) -> set[str]:
    """Return the upstreams and services that the request's lines name."""
    names: set[str] = set()
    for line in own:
        for key in ("upstream", "service", "services", "tried", "missing"):
            for item in line.fields.get(key, "").replace("+", ",").split(","):
                names.update(part for part in item.split("@") if part)
    return names


def _is_context(line: LogLine, own: Sequence[LogLine], subjects: set[str]) -> bool:
    if "request" in line.fields or line.instance not in {item.instance for item in own}:
        return False
    if line.event in _ABOUT_EVERYTHING:
        return True
    named = {line.fields.get("upstream", ""), line.fields.get("service", "")}
    return bool(named & subjects)


def _render(line: LogLine, start: datetime, is_own: bool) -> str:
    offset_ms = (line.at - start) / timedelta(milliseconds=1)
    hidden = ("event", "instance", "level", "logger", "request")
    fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in hidden)
    mark = "*" if is_own else " "
    return f"{offset_ms:+10.1f} ms {mark} {line.instance} {line.event} {fields}"
