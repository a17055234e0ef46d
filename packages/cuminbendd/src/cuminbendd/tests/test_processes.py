"""Failure tests over real processes on loopback.

Each test runs three voters and a few stand-in upstreams, injects one failure, and
waits for conditions. The logs of all processes are printed when a test fails.
"""

import contextlib
import itertools
import json
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpcore
import pytest
import uuid6
from local_cluster import (
    DATA_CENTRES,
    LocalCluster,
    LocalInstance,
    free_address,
    holdings,
    http,
    wait_until,
)

MEMBER = "wig-studio-one"
SEARCH_SERVICES = ("fitroom-01", "fitroom-02")
SUBMIT_SERVICE = "chairbook"
SERVICE_GROUP = "matches"
LOG_TAIL_LINE_COUNT = 40

# Shorter than the default, so that a planned stop takes less of the test's time.
DIRECTORY_MAX_AGE_MS = 1500


def operator_file(*, data_centre_out: str = "", comment: str = "") -> str:
    """Return an operator file, with one data centre out of service if it is named."""
    parts = [f'# {comment}\n[cluster]\nname = "processes"\n']
    for name in DATA_CENTRES:
        in_service = "false" if name == data_centre_out else "true"
        parts.append(f'[[data_centres]]\nname = "{name}"\nin_service = {in_service}\n')
    parts.append(f'[[members]]\nname = "{MEMBER}"\ndefault_deadline_ms = 1000\n')
    parts += [
        f'[[services]]\nname = "{name}"\ngroup = "{SERVICE_GROUP}"\n'
        "shards = { p1 = 1 }\n"
        for name in SEARCH_SERVICES
    ]
    parts.append(
        f'[[services]]\nname = "{SUBMIT_SERVICE}"\nmode = "submit"\n'
        "shards = { p1 = 1 }\n"
    )
    return "\n".join(parts)


def upstream_layout() -> list[dict[str, Any]]:
    """Return two upstreams of each service, in different data centres."""
    data_centres = itertools.cycle(DATA_CENTRES)
    return [
        {
            "upstream": f"{service}-{replica}",
            "service": service,
            "data_centre": next(data_centres),
            "address": free_address(),
            "holdings": holdings(),
            "slots": 2,
            "connection_limit": 25,
        }
        for service in (*SEARCH_SERVICES, SUBMIT_SERVICE)
        for replica in ("a", "b")
    ]


@contextlib.contextmanager
def running_cluster(folder: Path) -> Iterator[LocalCluster]:
    """Run a cluster in which all upstreams have owners and searches are complete."""
    cluster = LocalCluster(
        folder=folder,
        upstreams=upstream_layout(),
        timing={"directory_max_age_ms": DIRECTORY_MAX_AGE_MS},
    )
    try:
        with cluster:
            cluster.start_all()
            wait_until(lambda: cluster.leader() is not None, "a leader")
            apply_configuration(cluster, operator_file())
            for instance in cluster.instances:
                wait_until(
                    lambda instance=instance: (
                        None not in read_owners(instance).values()
                        and len(read_owners(instance)) == len(cluster.upstreams)
                    ),
                    f"{instance.name} sees an owner of every upstream",
                )
                wait_until(
                    lambda instance=instance: serves_full_search(instance),
                    "a full search",
                )
            yield cluster
    except BaseException:
        for log in sorted([*folder.glob("*/log.txt"), folder / "standin.log"]):
            lines = log.read_text().splitlines() if log.exists() else []
            print(
                f"--- {log.relative_to(folder)}",
                *lines[-LOG_TAIL_LINE_COUNT:],
                sep="\n",
            )
        raise


def apply_configuration(cluster: LocalCluster, content: str) -> int:
    """Apply an operator file with ``cuminbendctl``; return the version."""
    file = cluster.folder / "operator.toml"
    file.write_text(content)
    result = cluster.ctl("apply", str(file), "--json")
    assert result.returncode == 0, result.stderr + result.stdout
    return int(json.loads(result.stdout)["version"])


def read_owners(instance: LocalInstance) -> dict[str, str | None]:
    """Return the owner of each upstream as this instance sees it."""
    status = instance.get("/v1/status") or {"upstreams": []}
    return {item["upstream"]: item["owner"] or None for item in status["upstreams"]}


def send_search(address: str, timeout_s: float = 5.0) -> tuple[int, dict[str, Any]]:
    """Send a search with a new body, so that no answer can be reused."""
    return http(
        "POST",
        address,
        f"/v1/search/{SERVICE_GROUP}",
        {"swatch": str(uuid6.uuid7())},
        {"x-member": MEMBER, "x-deadline-ms": "1500"},
        timeout_s,
    )


def send_submit(address: str, key: str) -> tuple[int, dict[str, Any]]:
    """Send a booking; the body is the same for every key."""
    headers = {"x-member": MEMBER, "x-deadline-ms": "1500", "idempotency-key": key}
    body = {"client": "17", "chair": 3}
    return http("POST", address, f"/v1/submit/{SUBMIT_SERVICE}", body, headers)


def has_full_coverage(answer: dict[str, Any]) -> bool:
    return bool(answer["coverage"]["answered"] == answer["coverage"]["shards"])


def serves_full_search(instance: LocalInstance) -> bool:
    try:
        status, answer = send_search(instance.caller_address)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return False
    return status == 200 and has_full_coverage(answer)


def run_count(cluster: LocalCluster, key: str) -> int:
    """Return how often upstreams ran the booking with this key."""
    return sum(stats["runs_by_key"].get(key, 0) for stats in cluster.stats().values())


class DirectoryCaller:
    """Sends requests in a thread to addresses from a cached directory.

    Like a real caller, it starts with the address of any instance, uses each directory
    for its ``max_age_ms`` at most, and requests the next one from an address in the
    previous one.
    """

    def __init__(self, *, address: str, kind: str) -> None:
        self._known_addresses = [address]
        self._kind = kind
        self._expires_s = 0.0
        self._rotation = itertools.count()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.answered_count = 0
        self.failures: list[str] = []

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(0.02):
            address = "no address"
            try:
                address = self._next_address()
                self._send(address)
            except Exception as error:
                self.failures.append(f"{self._kind} at {address}: {error!r}")

    def _next_address(self) -> str:
        request_start_s = time.monotonic()
        if request_start_s >= self._expires_s:
            address = self._known_addresses[
                next(self._rotation) % len(self._known_addresses)
            ]
            status, document = http("GET", address, "/v1/directory")
            assert status == 200, f"directory of {address}: {document}"
            self._known_addresses = [item["address"] for item in document["instances"]]
            self._expires_s = request_start_s + document["max_age_ms"] / 1000
        return self._known_addresses[next(self._rotation) % len(self._known_addresses)]

    def _send(self, address: str) -> None:
        if self._kind == "search":
            status, answer = send_search(address)
            assert status == 200, answer
            assert has_full_coverage(answer), answer["coverage"]
        else:
            status, answer = send_submit(address, str(uuid6.uuid7()))
            assert status == 200, answer
        self.answered_count += 1


def test_planned_stop_under_load_fails_no_request(tmp_path: Path) -> None:
    """Guards against requests that are cut off or refused during a planned stop."""
    with running_cluster(tmp_path) as cluster:
        stopped_instance = cluster.leader()
        assert stopped_instance is not None
        process = stopped_instance.process
        assert process is not None
        remaining = next(
            item for item in cluster.instances if item is not stopped_instance
        )
        callers = [
            DirectoryCaller(address=item.caller_address, kind=kind)
            for item in cluster.instances
            for kind in ("search", "submit")
        ]
        for caller in callers:
            caller.start()
        try:
            wait_until(
                lambda: min(caller.answered_count for caller in callers) >= 20,
                "a running load",
            )
            cluster.stop(stopped_instance)
            wait_until(lambda: process.poll() is not None, "the end of the process")
            counts_at_stop = [caller.answered_count for caller in callers]
            wait_until(
                lambda: all(
                    caller.answered_count >= counts_before + 20
                    for caller, counts_before in zip(
                        callers, counts_at_stop, strict=True
                    )
                ),
                "load after the stop",
            )
        finally:
            for caller in callers:
                caller.stop()
        assert [failure for caller in callers for failure in caller.failures] == []
        assert process.returncode == 0
        owned_by = read_owners(remaining)
        assert len(owned_by) == len(cluster.upstreams)
        assert not {None, stopped_instance.name} & set(owned_by.values()), owned_by


def received_request_counts(cluster: LocalCluster, data_centre: str) -> dict[str, int]:
    """Return how many requests each upstream of a data centre has received."""
    stats = cluster.stats()
    return {
        item["upstream"]: sum(
            stats[item["upstream"]][kind] for kind in ("searches", "submits", "sheds")
        )
        for item in cluster.upstreams
        if item["data_centre"] == data_centre
    }


def test_resumed_instance_sends_nothing_to_a_data_centre_out_of_service(
    tmp_path: Path,
) -> None:
    """Guards against an instance that uses old data after it was paused.

    Its lease has expired, and a data centre was taken out of service meanwhile.
    """
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        data_centre_by_upstream = {
            item["upstream"]: item["data_centre"] for item in cluster.upstreams
        }
        paused, data_centre_out = next(
            (instance, data_centre_by_upstream[upstream])
            for instance in cluster.instances
            if instance is not leader
            for upstream, owner in read_owners(instance).items()
            if owner == instance.name
        )
        cluster.pause(paused)
        # These requests wait in the listen queue. The instance reads them after it has
        # resumed, before it can have polled.
        responses: list[tuple[int, dict[str, Any]]] = []
        threads = [
            threading.Thread(
                target=lambda: responses.append(
                    send_search(paused.caller_address, 25.0)
                ),
                daemon=True,
            )
            for _ in range(10)
        ]
        for thread in threads:
            thread.start()
        version = apply_configuration(
            cluster, operator_file(data_centre_out=data_centre_out)
        )
        counts_before = received_request_counts(cluster, data_centre_out)
        assert counts_before
        cluster.resume(paused)
        for thread in threads:
            thread.join(25.0)
        assert len(responses) == len(threads)
        for _ in range(20):
            responses.append(send_search(paused.caller_address))
        refused = [answer for status, answer in responses if status != 200]
        assert [
            answer for answer in refused if answer.get("run_state") != "not_run"
        ] == []
        wait_until(
            lambda: (paused.get("/v1/configuration") or {}).get("version") == version,
            "the resumed instance has the configuration in force",
        )
        wait_until(lambda: serves_full_search(paused), "a full search through it", 10.0)
        assert received_request_counts(cluster, data_centre_out) == counts_before


def test_loss_of_the_leader_after_a_voter_repair_loses_no_data(tmp_path: Path) -> None:
    """Guards against a voter with a new disk that votes before it has the whole log.

    The leader is killed right after the voter has been replaced.
    """
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        assert leader is not None
        repaired, other = (item for item in cluster.instances if item is not leader)
        key = str(uuid6.uuid7())
        status, first_answer = send_submit(other.caller_address, key)
        assert status == 200, first_answer
        content = operator_file(comment="accepted before the losses")
        version = apply_configuration(cluster, content)
        voters_before = set(leader.voters())
        assert len(voters_before) == 3

        cluster.lose_disk(repaired)
        cluster.start(repaired)
        wait_until(
            lambda: (
                len(voters := leader.voters()) == 3
                and len(set(voters) & voters_before) == 2
                and any(voter.startswith(f"{repaired.name}/") for voter in voters)
            ),
            "the repaired voter replaces its former disk",
        )
        cluster.kill(leader)
        for survivor in (repaired, other):
            wait_until(
                lambda survivor=survivor: (
                    (survivor.get("/v1/configuration") or {}).get("current") is True
                ),
                f"{survivor.name} has a lease from the new leader",
            )
            document = survivor.get("/v1/configuration")
            assert (document["version"], document["text"]) == (version, content)
            status, repeated_answer = send_submit(survivor.caller_address, key)
            assert status == 200, repeated_answer
            assert repeated_answer["replayed"] is True
            assert repeated_answer["result"] == first_answer["result"]
        assert run_count(cluster, key) == 1


def resend_until_not_refused(
    cluster: LocalCluster, instance: LocalInstance, key: str
) -> dict[str, Any]:
    """Resend a booking until it is not refused; return the last answer."""
    answers: list[dict[str, Any]] = []

    def is_not_refused() -> bool:
        status, answer = send_submit(instance.caller_address, key)
        answers.append({"status": status, **answer})
        assert run_count(cluster, key) <= 1, answers
        return answer.get("run_state") != "not_run"

    wait_until(
        is_not_refused, f"a booking that is not refused through {instance.name}", 15.0
    )
    return answers[-1]


@pytest.mark.parametrize(
    ("kill_moment", "delay_ms"),
    [("sent", 0), ("sent", 3), ("sent", 10), ("running", 0), ("answered", 0)],
)
def test_resent_booking_runs_once_after_its_instance_is_killed(
    tmp_path: Path, kill_moment: str, delay_ms: float
) -> None:
    """Guards against a resent booking that runs again after a crash.

    The entry instance is killed after the request was sent, while an upstream runs it,
    or just after the upstream has answered.
    """
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        killed, other = (item for item in cluster.instances if item is not leader)
        assert leader is not None
        booking_upstreams = [
            item["upstream"]
            for item in cluster.upstreams
            if item["service"] == SUBMIT_SERVICE
        ]
        if kill_moment != "sent":
            cluster.faults(booking_upstreams, faults={"delay_ms": 300.0})
        key = str(uuid6.uuid7())

        def send() -> None:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                send_submit(killed.caller_address, key)

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        if kill_moment != "sent":
            wait_until(
                lambda: run_count(cluster, key) == 1, "an upstream runs the booking"
            )
        if kill_moment == "answered":
            wait_until(
                lambda: (
                    not any(
                        cluster.stats()[name]["in_flight"] for name in booking_upstreams
                    )
                ),
                "the upstream answers",
            )
        time.sleep(delay_ms / 1000)  # Delays the kill; the test waits for nothing here.
        cluster.kill(killed)
        thread.join(10.0)
        cluster.faults(booking_upstreams, faults={})

        settled_answer = resend_until_not_refused(cluster, other, key)
        cluster.start(killed)
        wait_until(
            lambda: serves_full_search(killed), "the killed instance serves again"
        )
        for instance in (leader, killed):
            repeated_answer = resend_until_not_refused(cluster, instance, key)
            assert repeated_answer["run_state"] == settled_answer["run_state"]
            assert repeated_answer.get("result") == settled_answer.get("result")
        if kill_moment != "sent" or settled_answer["run_state"] == "ran":
            assert run_count(cluster, key) == 1
        assert run_count(cluster, key) <= 1


APPLY_COUNT = 300
# Each file is about 20 kB, so all files together are about 6 MB. The limit allows
# two log segments of 1 MiB, a snapshot, and one replacement of each in progress.
COMMENT_BYTES = 20_000
MAX_DATA_FOLDER_BYTES = 4 * 1024 * 1024
RESTART_TIMEOUT_S = 5.0


def apply_many_configurations(leader: LocalInstance) -> tuple[int, str]:
    """Apply many operator files; return the last version and its content."""
    version = int(leader.get("/v1/configuration")["version"])
    content = ""
    for number in range(APPLY_COUNT):
        content = operator_file(comment=f"{number} {'x' * COMMENT_BYTES}")
        body = {
            "apply_id": str(uuid6.uuid7()),
            "base_version": version,
            "operator": "test",
            "text": content,
        }
        status, answer = http("POST", leader.caller_address, "/v1/configuration", body)
        assert status == 200, answer
        version = answer["version"]
    return version, content


def test_data_folder_is_bounded_after_many_applies(tmp_path: Path) -> None:
    """Guards against a control log that keeps every configuration ever applied."""
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        assert leader is not None
        apply_many_configurations(leader)
        sizes = {
            item.name: sum(
                file.stat().st_size
                for file in (item.folder / "data").rglob("*")
                if file.is_file()
            )
            for item in cluster.instances
        }
        assert max(sizes.values()) <= MAX_DATA_FOLDER_BYTES, sizes


def test_restart_after_many_applies_is_quick(tmp_path: Path) -> None:
    """Guards against a restart time that grows with the number of applies."""
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        assert leader is not None
        restarted = next(item for item in cluster.instances if item is not leader)
        version, content = apply_many_configurations(leader)
        cluster.kill(restarted)
        cluster.start(restarted)
        wait_until(
            lambda: (
                (document := restarted.get("/v1/configuration") or {}).get("current")
                is True
                and document["version"] == version
                and document["text"] == content
            ),
            "the restarted instance has the configuration in force",
            RESTART_TIMEOUT_S,
        )
        wait_until(
            lambda: serves_full_search(restarted),
            "a search through it",
            RESTART_TIMEOUT_S,
        )
