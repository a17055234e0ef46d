"""Tests that invalid requests get an error that names the remedy and run nowhere."""

import pytest
import uuid6
from local_cluster import (
    LocalCluster,
    http,
    tresscommon_file,
    tresscommon_upstreams,
    wait_until,
)

SEARCH_PATH = "/v1/search/fitroom-01"
SUBMIT_PATH = "/v1/submit/chairbook"
MEMBER_HEADERS = {"x-member": "wig-studio-one"}
IDEMPOTENCY_KEY = str(uuid6.uuid7())


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """Return a running cluster with one search and one submit service."""
    upstreams = [
        item
        for item in tresscommon_upstreams()
        if item["service"] in ("fitroom-01", "chairbook")
    ]
    folder = tmp_path_factory.mktemp("bad-input")
    with LocalCluster(folder=folder, upstreams=upstreams) as started_cluster:
        started_cluster.start_all()
        wait_until(lambda: started_cluster.leader() is not None, "a leader")
        operator_path = folder / "operator.toml"
        operator_path.write_text(tresscommon_file())
        assert started_cluster.ctl("apply", str(operator_path)).returncode == 0
        address = started_cluster.addresses()[0]
        submit_headers = {**MEMBER_HEADERS, "idempotency-key": IDEMPOTENCY_KEY}
        for path, headers in (
            (SEARCH_PATH, MEMBER_HEADERS),
            (SUBMIT_PATH, submit_headers),
        ):
            wait_until(
                lambda path=path, headers=headers: (
                    http("POST", address, path, {"a": 1}, headers)[0] == 200
                ),
                f"an answer of {path}",
            )
        yield started_cluster


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "detail"),
    [
        ("/v1/search/nope", {}, MEMBER_HEADERS, 400, "no service or group"),
        (SEARCH_PATH, {}, {}, 400, "x-member is missing"),
        (SEARCH_PATH, {}, {"x-member": "stranger"}, 400, "stranger"),
        (SEARCH_PATH, {}, {**MEMBER_HEADERS, "x-deadline-ms": "-5"}, 400, "above 0"),
        (
            SEARCH_PATH,
            {},
            {**MEMBER_HEADERS, "x-deadline-ms": "soon"},
            400,
            "milliseconds",
        ),
        (
            SEARCH_PATH,
            {},
            {**MEMBER_HEADERS, "x-deadline-ms": "99999"},
            400,
            "at most 2000",
        ),
        (SEARCH_PATH, b"{", MEMBER_HEADERS, 400, "not valid JSON"),
        (
            SEARCH_PATH,
            b'"' + b"x" * 70000 + b'"',
            MEMBER_HEADERS,
            400,
            "max_body_bytes",
        ),
        ("/v1/search/chairbook", {}, MEMBER_HEADERS, 400, "takes submits"),
        (SUBMIT_PATH, {}, MEMBER_HEADERS, 422, "key is missing"),
        (
            SUBMIT_PATH,
            {},
            {**MEMBER_HEADERS, "idempotency-key": "abc"},
            422,
            "not a UUIDv7",
        ),
        (
            SUBMIT_PATH,
            {"a": 2},
            {**MEMBER_HEADERS, "idempotency-key": IDEMPOTENCY_KEY},
            422,
            "another body",
        ),
        ("/v1/announce", {"upstream": "x"}, {}, 400, "Field required"),
    ],
)
def test_invalid_requests_are_refused_without_running(
    cluster, path, body, headers, status, detail
):
    # Guards against invalid requests that reach an upstream, and against errors without
    # a remedy.
    run_count_before = _total_run_count(cluster)
    received_status, document = http(
        "POST", cluster.addresses()[0], path, body, headers
    )
    assert received_status == status
    assert detail in document["detail"]
    assert document["run_state"] == "not_run"
    assert _total_run_count(cluster) == run_count_before


def test_announcement_of_an_older_incarnation_is_refused(cluster):
    # Guards against an old process of an upstream that replaces the registration of the
    # newer one.
    upstream = cluster.upstreams[0]
    field_names = ("upstream", "data_centre", "address", "service", "holdings", "slots")
    body = {name: upstream[name] for name in field_names}
    body |= {"incarnation": 0, "connection_limit": 25}
    status, document = http("POST", cluster.addresses()[0], "/v1/announce", body)
    assert status == 400
    assert "stop the older process" in document["detail"]


def _total_run_count(cluster):
    return sum(
        stats["searches"] + stats["submits"] for stats in cluster.stats().values()
    )
