"""Malformed requests get a typed error that names the remedy, and nothing runs."""

import pytest
import uuid6
from local_cluster import (
    LocalCluster,
    http,
    tresscommon_file,
    tresscommon_upstreams,
    wait_until,
)

SEARCH = "/v1/search/fitroom-01"
SUBMIT = "/v1/submit/chairbook"
MEMBER = {"x-member": "wig-studio-one"}
KEY = str(uuid6.uuid7())


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """Return a running cluster with one search and one submit service."""
    upstreams = [
        item
        for item in tresscommon_upstreams()
        if item["service"] in ("fitroom-01", "chairbook")
    ]
    folder = tmp_path_factory.mktemp("bad-input")
    with LocalCluster(folder=folder, upstreams=upstreams) as running:
        running.start_all()
        wait_until(lambda: running.leader() is not None, "a leader")
        path = folder / "operator.toml"
        path.write_text(tresscommon_file())
        assert running.ctl("apply", str(path)).returncode == 0
        address = running.addresses()[0]
        headers = {**MEMBER, "idempotency-key": KEY}
        for path, sent in ((SEARCH, MEMBER), (SUBMIT, headers)):
            wait_until(
                lambda path=path, sent=sent: (
                    http("POST", address, path, {"a": 1}, sent)[0] == 200
                ),
                f"an answer of {path}",
            )
        yield running


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "detail"),
    [
        ("/v1/search/nope", {}, MEMBER, 400, "no service or group"),
        (SEARCH, {}, {}, 400, "x-member is missing"),
        (SEARCH, {}, {"x-member": "stranger"}, 400, "stranger"),
        (SEARCH, {}, {**MEMBER, "x-deadline-ms": "-5"}, 400, "above 0"),
        (SEARCH, {}, {**MEMBER, "x-deadline-ms": "soon"}, 400, "milliseconds"),
        (SEARCH, {}, {**MEMBER, "x-deadline-ms": "99999"}, 400, "at most 2000"),
        (SEARCH, b"{", MEMBER, 400, "not valid JSON"),
        (SEARCH, b'"' + b"x" * 70000 + b'"', MEMBER, 400, "max_body_bytes"),
        ("/v1/search/chairbook", {}, MEMBER, 400, "takes submits"),
        (SUBMIT, {}, MEMBER, 422, "key is missing"),
        (SUBMIT, {}, {**MEMBER, "idempotency-key": "abc"}, 422, "not a UUIDv7"),
        (SUBMIT, {"a": 2}, {**MEMBER, "idempotency-key": KEY}, 422, "another body"),
        ("/v1/announce", {"upstream": "x"}, {}, 400, "Field required"),
    ],
)
def test_bad_requests_are_refused_as_not_run(
    cluster, path, body, headers, status, detail
):
    # Guards against half-accepted requests and errors without a remedy.
    before = _runs(cluster)
    found, document = http("POST", cluster.addresses()[0], path, body, headers)
    assert found == status
    assert detail in document["detail"]
    assert document["run_state"] == "not_run"
    assert _runs(cluster) == before


def test_contradicting_announcement_is_refused(cluster):
    # Guards against an old process of an upstream that takes over its identity.
    upstream = cluster.upstreams[0]
    names = ("upstream", "data_centre", "address", "service", "holdings", "slots")
    body = {name: upstream[name] for name in names}
    body |= {"incarnation": 0, "connection_limit": 25}
    status, document = http("POST", cluster.addresses()[0], "/v1/announce", body)
    assert status == 400
    assert "stop the older process" in document["detail"]


def _runs(cluster):
    return sum(
        stats["searches"] + stats["submits"] for stats in cluster.stats().values()
    )
