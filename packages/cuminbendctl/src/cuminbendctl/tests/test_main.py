"""Tests of the exit codes that scripts rely on, and of the readable output."""

import pytest
from local_cluster import free_address, tresscommon_file

from cuminbendctl._main import run
from cuminbendctl._render import render_document, report_rows


@pytest.mark.parametrize(
    ("text", "code", "printed"),
    [
        (tresscommon_file(), 0, "services: 52"),
        ("x = [", 2, "line 1: not valid TOML"),
        (
            tresscommon_file().replace("shards = { p1 = 1 }", "", 1),
            2,
            "services.0.shards: this key is missing",
        ),
    ],
)
def test_validate_prints_the_location_and_sets_the_exit_code(
    tmp_path, capsys, text, code, printed
):
    # Guards against scripts that go on after an invalid file.
    path = tmp_path / "operator.toml"
    path.write_text(text)
    assert run(["validate", str(path)]) == code
    output = capsys.readouterr()
    assert printed in output.out + output.err


def test_validate_of_a_missing_file_exits_with_2(tmp_path):
    assert run(["validate", str(tmp_path / "none.toml")]) == 2


def test_unreachable_instances_exit_with_4(capsys):
    # Guards against a refusal and a lost connection looking the same to a script.
    assert run(["status", "--address", free_address()]) == 4
    assert "check --address" in capsys.readouterr().err


def test_tables_and_nested_documents_are_rendered():
    document = {"a": {"b": 1, "c": None}, "rows": [{"x": 1, "y": [1, 2]}, {"x": 22}]}
    assert render_document(document).splitlines() == [
        "a:",
        "  b: 1",
        "  c: -",
        "rows:",
        "  x   y",
        "  1   1, 2",
        "  22  -",
    ]


def test_report_has_a_row_per_member_and_service():
    row = {
        "service": "s",
        "answers_in_time": 3,
        "answers_late": 0,
        "first_attempts": 3,
        "hedges": 1,
        "retries": 0,
        "extra_load": 0.33,
        "refusals": [{"count": 2}, {"count": 1}],
    }
    rows = report_rows({"members": [{"member": "m", "services": [row]}]})
    assert rows[0]["member"] == "m"
    assert rows[0]["refused"] == 3
