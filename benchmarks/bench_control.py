"""How fast are applies, claims and restarts over three voters?"""

import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import uuid6
from local_cluster import (
    LocalCluster,
    LocalInstance,
    http,
    tresscommon_file,
    tresscommon_upstreams,
    wait_until,
)

from benchmarks._base import Row

QUESTION = "control log"
APPLIES = 30
CHANGES = 1000
CLAIMS = 200
CALLERS = 8


def _apply(instance: LocalInstance, version: int, text: str) -> int:
    body = {"apply_id": str(uuid6.uuid7()), "base_version": version, "text": text}
    status, answer = http("POST", instance.caller_address, "/v1/configuration", body)
    if status != 200:
        raise RuntimeError(answer)
    return int(answer["version"])


def _wait_until_applied_everywhere(cluster: LocalCluster, version: int) -> None:
    def is_applied_everywhere() -> bool:
        documents = [item.get("/v1/configuration") for item in cluster.instances]
        return all(item and item["version"] >= version for item in documents)

    while not is_applied_everywhere():
        time.sleep(0.002)


def _submit(number: int, cluster: LocalCluster) -> bool:
    instance = cluster.instances[number % len(cluster.instances)]
    headers = {
        "x-member": "wig-studio-one",
        "x-deadline-ms": "2000",
        "idempotency-key": str(uuid6.uuid7()),
    }
    status, _ = http(
        "POST", instance.caller_address, "/v1/submit/chairbook", {"n": number}, headers
    )
    return status == 200


def run() -> list[Row]:
    """Return the rows of this question."""
    text = tresscommon_file()
    upstreams = [
        item for item in tresscommon_upstreams() if item["service"] == "chairbook"
    ]
    with (
        tempfile.TemporaryDirectory(prefix="cuminbend-bench-") as folder,
        LocalCluster(
            folder=Path(folder), voters=3, others=5, upstreams=upstreams
        ) as cluster,
    ):
        cluster.start_all()
        wait_until(lambda: cluster.leader() is not None, "a leader")
        entry_instance = cluster.instances[-1]
        version, apply_times_ms = 0, []
        for _ in range(APPLIES):
            started_s = time.monotonic()
            version = _apply(entry_instance, version, text)
            _wait_until_applied_everywhere(cluster, version)
            apply_times_ms.append((time.monotonic() - started_s) * 1000)
        wait_until(lambda: _submit(0, cluster), "a submit")
        started_s = time.monotonic()
        with ThreadPoolExecutor(CALLERS) as pool:
            answered_count = sum(pool.map(lambda n: _submit(n, cluster), range(CLAIMS)))
        submits_per_s = answered_count / (time.monotonic() - started_s)
        while version < CHANGES:
            version = _apply(entry_instance, version, text)
        voter = cluster.instances[0]
        size_mib = sum(
            path.stat().st_size for path in (voter.folder / "data").iterdir()
        ) / (1024 * 1024)
        cluster.kill(voter)
        started_s = time.monotonic()
        cluster.start(voter)
        wait_until(
            lambda: (voter.get("/v1/configuration") or {}).get("version") == version,
            "the restarted voter",
        )
        restart_ms = (time.monotonic() - started_s) * 1000
    apply_times_ms.sort()
    return [
        Row(
            QUESTION, "apply held by all 8, p50, ms", statistics.median(apply_times_ms)
        ),
        Row(
            QUESTION,
            "apply held by all 8, greatest of 30, ms",
            apply_times_ms[-1],
            "<= 11000",
            apply_times_ms[-1] <= 11000,
        ),
        Row(QUESTION, "submits per s, 8 callers, claimed and recorded", submits_per_s),
        Row(QUESTION, f"of {CLAIMS} submits answered", answered_count),
        Row(QUESTION, "data folder after 1,000 changes, MiB", size_mib),
        Row(QUESTION, "restart until the last version is held, ms", restart_ms),
    ]
