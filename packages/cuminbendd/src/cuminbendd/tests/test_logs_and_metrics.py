"""Tests of the rate-limited log and of the metrics."""

import logging
import os

import pytest

from cuminbendd._logs import KeyValueFormatter
from cuminbendd.logs import MAX_LINES_PER_S, BoundedHandler
from cuminbendd.metrics import Metrics


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_record(
    message: str, *, at: float, level: int = logging.INFO
) -> logging.LogRecord:
    record = logging.LogRecord("x", level, "", 0, message, (), None)
    record.created = at
    return record


def read_all(reader: int) -> str:
    content = b""
    while True:
        try:
            data = os.read(reader, 1 << 20)
        except BlockingIOError:
            return content.decode()
        if not data:
            return content.decode()
        content += data


def make_handler(writer: int) -> BoundedHandler:
    handler = BoundedHandler(writer)
    handler.setFormatter(KeyValueFormatter(instance="i"))
    return handler


def test_warnings_are_written_when_info_lines_are_dropped(pipe):
    """Guards against a flood of info lines that displaces warnings.

    The number of dropped lines must be logged as well.
    """
    reader, writer = pipe
    handler = make_handler(writer)
    output = ""
    for _ in range(MAX_LINES_PER_S):
        handler.emit(make_record("event=ordinary", at=1.0))
        output += read_all(reader)
    handler.emit(make_record("event=failure", at=1.5, level=logging.WARNING))
    handler.emit(make_record("event=next", at=2.0))
    output += read_all(reader)
    assert output.count("event=ordinary") == MAX_LINES_PER_S // 2
    assert "event=failure" in output
    assert f"event=log_lines_dropped count={MAX_LINES_PER_S // 2}" in output


def test_slow_log_reader_does_not_block_the_process(pipe):
    """Guards against a process that blocks because the reader of its log is slow."""
    reader, writer = pipe
    handler = make_handler(writer)
    for second in range(200):
        handler.emit(make_record("event=long text=" + "x" * 2000, at=float(second)))
    kept = read_all(reader)
    handler.emit(make_record("event=after", at=500.0))
    later = read_all(reader)
    assert kept.count("event=long") < 200
    assert "event=log_lines_dropped" in later
    assert later.splitlines()[-1].endswith("event=after")


def test_metrics_are_rendered():
    """Guards against counters and gauges that are missing from the rendered text."""
    metrics = Metrics(gauges=lambda: {"upstreams{state=ready}": 3, "entries": 2})
    metrics.count_request(route="r", outcome="answered", duration_ms=12, coverage=0.9)
    metrics.count_failed_attempt("broken")
    metrics.count_events("hedge", 2)
    output = metrics.render().decode()
    assert 'cuminbend_requests_total{outcome="answered",route="r"} 1' in output
    assert 'cuminbend_request_duration_ms_count{route="r"} 1' in output
    assert 'cuminbend_attempts_failed_total{cause="broken"} 1' in output
    assert 'cuminbend_events_total{kind="hedge"} 2' in output
    assert 'cuminbend_upstreams{state="ready"} 3' in output
    assert "cuminbend_entries 2" in output
    assert metrics.render() == metrics.render()
