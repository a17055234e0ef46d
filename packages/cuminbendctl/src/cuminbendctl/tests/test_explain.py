"""Replays of log lines through ``explain`` and ``report``."""

import pytest

from cuminbendctl._main import run

HEAD = "time=2026-01-01T00:00:{at}+00:00 level=info instance={who} logger=x "
LINES = [
    ("01.000", "e1", "event=configuration_in_force version=7 former=6 routes=3"),
    ("01.500", "e1", "event=upstream_leaving upstream=u9 service=s9 sequence=4"),
    ("01.900", "e1", "event=upstream_unreachable upstream=u3 service=s3 error='X'"),
    ("01.950", "e2", "event=upstream_unreachable upstream=u3 service=s3 error='X'"),
    ("02.010", "e1", "event=hedged request=r1 services=s3 delay_ms=15.0"),
    ("02.020", "e1", "event=attempt_failed request=r1 upstream=u3 service=s3 "
     "cause=broken sent=True failure_rate=0.25"),
    ("02.030", "e2", "event=task_ended request=r1 route=q shards=4 missing=s4@u4"),
    ("02.040", "e1", "event=request_ended request=r1 route=q outcome=answered "
     "status=200 duration_ms=35.0 coverage=0.900 missing=s3@u3 version=7"),
    ("02.050", "e1", "event=request_ended request=r2 route=q outcome=answered "
     "status=200 duration_ms=9.0 coverage=1.000 missing= version=7"),
    ("02.060", "e2", "event=request_ended request=r3 route=b "
     "outcome=rejected_no_upstream status=503 duration_ms=0.1 service=s5 tried="),
]  # fmt: skip


@pytest.fixture
def logs(tmp_path):
    files = {}
    for at, who, text in LINES:
        line = HEAD.format(at=at, who=who) + text
        files.setdefault(who, []).append(f"  12.3 {who} {line}")
    paths = []
    for who, lines in files.items():
        path = tmp_path / f"{who}.log"
        path.write_text("\n".join(lines) + "\n")
        paths.append(str(path))
    return paths


def test_story_is_told_in_time_order_across_instances(logs, capsys):
    """Guards against a story that lacks what another process knew."""
    assert run(["explain", "r1", *logs]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == (
        "request r1: was answered; 1 shards were missing: s3@u3 (status 200)"
    )
    events = [line.split(" ms ")[1].lstrip("* ").split()[:2] for line in lines[1:]]
    assert events == [
        ["e1", "configuration_in_force"],
        ["e1", "upstream_unreachable"],
        ["e2", "upstream_unreachable"],
        ["e1", "hedged"],
        ["e1", "attempt_failed"],
        ["e2", "task_ended"],
        ["e1", "request_ended"],
    ]


@pytest.mark.parametrize(
    ("request_id", "told"),
    [
        ("r2", "was answered (status 200)"),
        ("r3", "was rejected: no upstream of the service takes work (status 503)"),
    ],
)
def test_verdict(logs, capsys, request_id, told):
    """Guards against an outcome that has no words."""
    assert run(["explain", request_id, *logs]) == 0
    assert told in capsys.readouterr().out.splitlines()[0]


def test_unknown_request(logs, capsys):
    """Guards against an empty story that looks like a calm request."""
    assert run(["explain", "nobody", *logs]) == 1
    assert "no line names the request" in capsys.readouterr().err


def test_cut_lines_are_named(logs, tmp_path, capsys):
    """Guards against cut lines that are skipped without a word."""
    path = tmp_path / "e1.log"
    path.write_text(path.read_text() + "time=2026-01 level=info event=cut\n")
    assert run(["explain", "r1", *logs]) == 0
    assert "line 8 is cut or unreadable" in capsys.readouterr().err


@pytest.mark.parametrize("content", [None, "nothing of ours\n"])
def test_files_that_are_no_logs(tmp_path, capsys, content):
    """Guards against a report of nothing."""
    path = tmp_path / "x.log"
    if content is not None:
        path.write_text(content)
    assert run(["explain", "r1", str(path)]) == 2
    assert str(path) in capsys.readouterr().err


def test_report_is_one_page_with_plots(logs, tmp_path, capsys):
    """Guards against a page that needs other files, or lacks what was rejected."""
    assert run(["report", *logs, "--out", str(tmp_path / "out")]) == 0
    page = (tmp_path / "out" / "report.html").read_text()
    assert page.count("<svg") == 4
    assert "rejected_no_upstream" in page
    assert "src=" not in page


def test_report_needs_logs_or_an_address(capsys):
    """Guards against a command that waits for nothing."""
    assert run(["report"]) == 2
    assert "name log files" in capsys.readouterr().err
