"""Tests of the bounded log and of the metrics."""

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


def record(text: str, *, at: float, level: int = logging.INFO) -> logging.LogRecord:
    made = logging.LogRecord("x", level, "", 0, text, (), None)
    made.created = at
    return made


def read_all(reader: int) -> str:
    found = b""
    while True:
        try:
            data = os.read(reader, 1 << 20)
        except BlockingIOError:
            return found.decode()
        if not data:
            return found.decode()
        found += data


def handler(writer: int) -> BoundedHandler:
    made = BoundedHandler(writer)
    made.setFormatter(KeyValueFormatter(instance="i"))
    return made


def test_failures_have_room_when_ordinary_lines_are_dropped(pipe):
    """Guards against a flood that hides failures, or drops lines without a count."""
    reader, writer = pipe
    bounded = handler(writer)
    text = ""
    for _ in range(MAX_LINES_PER_S):
        bounded.emit(record("event=ordinary", at=1.0))
        text += read_all(reader)
    bounded.emit(record("event=failure", at=1.5, level=logging.WARNING))
    bounded.emit(record("event=next", at=2.0))
    text += read_all(reader)
    assert text.count("event=ordinary") == MAX_LINES_PER_S // 2
    assert "event=failure" in text
    assert f"event=log_lines_dropped count={MAX_LINES_PER_S // 2}" in text


def test_slow_reader_never_blocks(pipe):
    """Guards against a request that waits for whoever reads the log."""
    reader, writer = pipe
    bounded = handler(writer)
    for second in range(200):
        bounded.emit(record("event=long text=" + "x" * 2000, at=float(second)))
    kept = read_all(reader)
    bounded.emit(record("event=after", at=500.0))
    later = read_all(reader)
    assert kept.count("event=long") < 200
    assert "event=log_lines_dropped" in later
    assert later.splitlines()[-1].endswith("event=after")


def test_metrics_are_rendered():
    """Guards against counters and gauges that nobody can read."""
    metrics = Metrics(gauges=lambda: {"upstreams{state=ready}": 3, "entries": 2})
    metrics.request_ended(route="r", outcome="answered", duration_ms=12, coverage=0.9)
    metrics.attempt_failed("broken")
    metrics.count("hedge", 2)
    text = metrics.render().decode()
    assert 'cuminbend_requests_total{outcome="answered",route="r"} 1' in text
    assert 'cuminbend_request_duration_ms_count{route="r"} 1' in text
    assert 'cuminbend_attempts_failed_total{cause="broken"} 1' in text
    assert 'cuminbend_events_total{kind="hedge"} 2' in text
    assert 'cuminbend_upstreams{state="ready"} 3' in text
    assert "cuminbend_entries 2" in text
    assert metrics.render() == metrics.render()
