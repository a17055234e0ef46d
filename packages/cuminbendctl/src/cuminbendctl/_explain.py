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
        "configuration_in_part",
        "configuration_unreadable",
        "evacuated",
        "control_lost",
        "control_joined",
        "started",
        "stopping",
        "stopped",
        "log_lines_dropped",
    }
)
# What an upstream said or did in one request decides about later ones.
_UPSTREAM_EVENTS = frozenset(
    {"leaving_stated", "limit_stated", "pause_stated", "upstream_crashed"}
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
    "route_disabled": "was rejected before anything was sent: this instance cannot "
    "read or use the route; configuration_in_part names the problem",
    "no_configuration": "came before this instance had a configuration",
    "unsigned": "was answered by an upstream without a signature",
    "overload": "was rejected before anything was sent: the queues of its shards were "
    "too long for it to be in time",
    "rejected_no_upstream": "was rejected: no upstream of the service takes work",
    "rejected_not_run": "was rejected: every upstream that was asked refused it",
    "rejected_deadline": "was rejected at its deadline; nothing had been sent",
    "abandoned_by_caller": "was given up by its caller",
    "quarantined": "was rejected before anything was sent: equal requests have crashed "
    "the upstreams that ran them",
    "stopping": "was rejected before anything was sent: the instance stops, and it "
    "could not have ended before that",
}
# Why a shard without a part got no other attempt.
_NO_ATTEMPT_TEXTS = {
    "attempts": "all allowed attempts were used",
    "early": "its group had just been accepted",
    "budget": "no retry token was left",
    "upstream": "no upstream took work",
    "suspect": "it may have crashed upstreams, and no other shard had answered it",
}


class RequestHistory:
    """The lines of one request, and which other lines are context of them.

    Args:
        request_id: Identity of the request.
        lines: Lines that contain the identity, in time order.
    """

    def __init__(self, request_id: str, lines: Sequence[LogLine]) -> None:
        self._request_id = request_id
        self.lines = [
            line for line in lines if line.fields.get("request") == request_id
        ]
        if not self.lines:
            return
        duration_ms = max(line.number("duration_ms") or 0.0 for line in self.lines)
        self._start = self.lines[0].logged_at - timedelta(milliseconds=duration_ms)
        self._end = self.lines[-1].logged_at + _CONTEXT_AFTER
        self._instances = {line.instance for line in self.lines}
        self._subjects = _find_subjects(self.lines)

    def is_context(self, line: LogLine) -> bool:
        """Return whether a line is an event that may have influenced the request.

        It is one of the same instances, shortly before or during the request, and
        concerns the whole instance or an upstream that the request names.
        """
        if not self.lines:
            return False
        if not self._start - _CONTEXT_BEFORE <= line.logged_at <= self._end:
            return False
        if line.instance not in self._instances or line in self.lines:
            return False
        if "request" in line.fields and line.event not in _UPSTREAM_EVENTS:
            return False
        if line.event in _INSTANCE_WIDE_EVENTS:
            return True
        names = {line.fields.get("upstream", ""), line.fields.get("service", "")}
        return bool(names & self._subjects)

    def describe(self, context: Sequence[LogLine]) -> list[str]:
        """Return the outcome and all events as text lines, earliest first.

        Lines of the request itself are marked with ``*``.

        Args:
            context: The lines for which :meth:`is_context` is true, in time order.
        """
        text = [f"request {self._request_id}: {_describe_outcome(self.lines)}"]
        marked = [(line, "*") for line in self.lines] + [
            (line, " ") for line in context
        ]
        marked.sort(key=lambda item: item[0].logged_at)
        return text + [_format_line(line, self._start, mark) for line, mark in marked]


def _describe_outcome(request_lines: Sequence[LogLine]) -> str:
    end_lines = [line for line in request_lines if line.event == "request_ended"]
    if not end_lines:
        return "no line tells how it ended; the instance stopped or dropped lines"
    line = end_lines[-1]
    outcome = line.fields.get("outcome", "")
    description = _OUTCOME_TEXTS.get(outcome, f"ended as {outcome}")
    missing_shards = [
        _describe_missing_shard(item)
        for item in line.fields.get("missing", "").split(",")
        if item
    ]
    if missing_shards:
        description += (
            f"; {len(missing_shards)} shards were missing: {', '.join(missing_shards)}"
        )
    return f"{description} (status {line.fields.get('status', 'none')})"


def _split_cause(item: str) -> tuple[str, str]:
    """Split a missing shard into the part without and with the cause, if it has one."""
    shard, _, cause = item.rpartition(":")
    return (shard, cause) if cause in _NO_ATTEMPT_TEXTS else (item, "")


def _describe_missing_shard(item: str) -> str:
    shard, cause = _split_cause(item)
    return f"{shard} ({_NO_ATTEMPT_TEXTS[cause]})" if cause else shard


def _find_subjects(request_lines: Sequence[LogLine]) -> set[str]:
    """Return the upstreams and services that the request's lines name."""
    names: set[str] = set()
    for line in request_lines:
        for key in ("upstream", "service", "services", "tried", "missing"):
            for item in line.fields.get(key, "").replace("+", ",").split(","):
                names.update(part for part in _split_cause(item)[0].split("@") if part)
    return names


def _format_line(line: LogLine, start: datetime, mark: str) -> str:
    offset_ms = (line.logged_at - start) / timedelta(milliseconds=1)
    hidden_keys = ("event", "instance", "level", "logger", "request")
    fields = " ".join(
        f"{key}={value}" for key, value in line.fields.items() if key not in hidden_keys
    )
    return f"{offset_ms:+10.1f} ms {mark} {line.instance} {line.event} {fields}"
