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
GROUP = "matches"
LOG_TAIL_LINES = 40

# Shorter than the default, so that a planned stop takes less of the test's time.
DIRECTORY_MAX_AGE_MS = 1500


def operator_file(*, out: str = "", note: str = "") -> str:
    """Return an operator file in which data centre ``out`` is not in service."""
    parts = [f'# {note}\n[cluster]\nname = "processes"\n']
    for name in DATA_CENTRES:
        in_service = "false" if name == out else "true"
        parts.append(f'[[data_centres]]\nname = "{name}"\nin_service = {in_service}\n')
    parts.append(f'[[members]]\nname = "{MEMBER}"\ndefault_deadline_ms = 1000\n')
    parts += [
        f'[[services]]\nname = "{name}"\ngroup = "{GROUP}"\nshards = {{ p1 = 1 }}\n'
        for name in SEARCH_SERVICES
    ]
    parts.append(
        f'[[services]]\nname = "{SUBMIT_SERVICE}"\nmode = "submit"\n'
        "shards = { p1 = 1 }\n"
    )
    return "\n".join(parts)


def upstream_layout() -> list[dict[str, Any]]:
    """Return two upstreams of each service, in different data centres."""
    places = itertools.cycle(DATA_CENTRES)
    return [
        {
            "upstream": f"{service}-{replica}",
            "service": service,
            "data_centre": next(places),
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
    """Run a cluster whose upstreams all have owners and answer in full."""
    cluster = LocalCluster(
        folder=folder,
        upstreams=upstream_layout(),
        timing={"directory_max_age_ms": DIRECTORY_MAX_AGE_MS},
    )
    try:
        with cluster:
            cluster.start_all()
            wait_until(lambda: cluster.leader() is not None, "a leader")
            apply(cluster, operator_file())
            for instance in cluster.instances:
                wait_until(
                    lambda instance=instance: (
                        None not in owners(instance).values()
                        and len(owners(instance)) == len(cluster.upstreams)
                    ),
                    f"{instance.name} sees an owner of every upstream",
                )
                wait_until(lambda instance=instance: covers(instance), "a full search")
            yield cluster
    except BaseException:
        for log in sorted([*folder.glob("*/log.txt"), folder / "standin.log"]):
            lines = log.read_text().splitlines() if log.exists() else []
            print(f"--- {log.relative_to(folder)}", *lines[-LOG_TAIL_LINES:], sep="\n")
        raise


def apply(cluster: LocalCluster, text: str) -> int:
    """Apply an operator file with ``cuminbendctl``; return the version."""
    file = cluster.folder / "operator.toml"
    file.write_text(text)
    result = cluster.ctl("apply", str(file), "--json")
    assert result.returncode == 0, result.stderr + result.stdout
    return int(json.loads(result.stdout)["version"])


def owners(instance: LocalInstance) -> dict[str, str | None]:
    """Return the owner of each upstream as this instance sees it."""
    status = instance.get("/v1/status") or {"upstreams": []}
    return {item["upstream"]: item["owner"] or None for item in status["upstreams"]}


def search(address: str, timeout_s: float = 5.0) -> tuple[int, dict[str, Any]]:
    """Send a search that has not been sent before."""
    return http(
        "POST",
        address,
        f"/v1/search/{GROUP}",
        {"swatch": str(uuid6.uuid7())},
        {"x-member": MEMBER, "x-deadline-ms": "1500"},
        timeout_s,
    )


def submit(address: str, key: str) -> tuple[int, dict[str, Any]]:
    """Send a booking; equal keys carry equal bodies."""
    headers = {"x-member": MEMBER, "x-deadline-ms": "1500", "idempotency-key": key}
    body = {"client": "17", "chair": 3}
    return http("POST", address, f"/v1/submit/{SUBMIT_SERVICE}", body, headers)


def is_full(answer: dict[str, Any]) -> bool:
    return bool(answer["coverage"]["answered"] == answer["coverage"]["shards"])


def covers(instance: LocalInstance) -> bool:
    try:
        status, answer = search(instance.caller_address)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return False
    return status == 200 and is_full(answer)


def runs(cluster: LocalCluster, key: str) -> int:
    """Return how often upstreams ran the booking with this key."""
    return sum(stats["runs_by_key"].get(key, 0) for stats in cluster.stats().values())


class DirectoryCaller:
    """Sends requests in a thread to addresses from a cached directory.

    As real callers do, it starts from any instance, uses each directory no longer than
    its ``max_age_ms``, and asks for the next one at an address of the last one.
    """

    def __init__(self, *, address: str, kind: str) -> None:
        self._known = [address]
        self._kind = kind
        self._expires_s = 0.0
        self._turn = itertools.count()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.done = 0
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
        asked_s = time.monotonic()
        if asked_s >= self._expires_s:
            address = self._known[next(self._turn) % len(self._known)]
            status, document = http("GET", address, "/v1/directory")
            assert status == 200, f"directory of {address}: {document}"
            self._known = [item["address"] for item in document["instances"]]
            self._expires_s = asked_s + document["max_age_ms"] / 1000
        return self._known[next(self._turn) % len(self._known)]

    def _send(self, address: str) -> None:
        if self._kind == "search":
            status, answer = search(address)
            assert status == 200, answer
            assert is_full(answer), answer["coverage"]
        else:
            status, answer = submit(address, str(uuid6.uuid7()))
            assert status == 200, answer
        self.done += 1


def test_planned_stop_under_load_fails_no_request(tmp_path: Path) -> None:
    """Guards against requests that are cut or refused while an instance leaves."""
    with running_cluster(tmp_path) as cluster:
        leaving = cluster.leader()
        assert leaving is not None
        process = leaving.process
        assert process is not None
        remaining = next(item for item in cluster.instances if item is not leaving)
        callers = [
            DirectoryCaller(address=item.caller_address, kind=kind)
            for item in cluster.instances
            for kind in ("search", "submit")
        ]
        for caller in callers:
            caller.start()
        try:
            wait_until(lambda: min(c.done for c in callers) >= 20, "a running load")
            cluster.stop(leaving)
            wait_until(lambda: process.poll() is not None, "the end of the process")
            finished = [caller.done for caller in callers]
            wait_until(
                lambda: all(
                    caller.done >= before + 20
                    for caller, before in zip(callers, finished, strict=True)
                ),
                "load after the stop",
            )
        finally:
            for caller in callers:
                caller.stop()
        assert [text for caller in callers for text in caller.failures] == []
        assert process.returncode == 0
        owned_by = owners(remaining)
        assert len(owned_by) == len(cluster.upstreams)
        assert not {None, leaving.name} & set(owned_by.values()), owned_by


def upstream_work(cluster: LocalCluster, data_centre: str) -> dict[str, int]:
    """Return how many requests each upstream of a data centre has received."""
    stats = cluster.stats()
    return {
        item["upstream"]: sum(
            stats[item["upstream"]][kind] for kind in ("searches", "submits", "sheds")
        )
        for item in cluster.upstreams
        if item["data_centre"] == data_centre
    }


def test_frozen_instance_sends_nothing_to_a_data_centre_out(tmp_path: Path) -> None:
    """Guards against an instance that resumes with an expired lease and old data."""
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        places = {item["upstream"]: item["data_centre"] for item in cluster.upstreams}
        frozen, out = next(
            (instance, places[upstream])
            for instance in cluster.instances
            if instance is not leader
            for upstream, owner in owners(instance).items()
            if owner == instance.name
        )
        cluster.pause(frozen)
        # These requests wait in the listen queue and are read on resumption, before
        # the instance can have polled.
        outcomes: list[tuple[int, dict[str, Any]]] = []
        waiting = [
            threading.Thread(
                target=lambda: outcomes.append(search(frozen.caller_address, 25.0)),
                daemon=True,
            )
            for _ in range(10)
        ]
        for thread in waiting:
            thread.start()
        version = apply(cluster, operator_file(out=out))
        before = upstream_work(cluster, out)
        assert before
        cluster.resume(frozen)
        for thread in waiting:
            thread.join(25.0)
        assert len(outcomes) == len(waiting)
        for _ in range(20):
            outcomes.append(search(frozen.caller_address))
        refused = [answer for status, answer in outcomes if status != 200]
        assert [a for a in refused if a.get("run_state") != "not_run"] == []
        wait_until(
            lambda: (frozen.get("/v1/configuration") or {}).get("version") == version,
            "the resumed instance has the configuration in force",
        )
        wait_until(lambda: covers(frozen), "a full search through it", 10.0)
        assert upstream_work(cluster, out) == before


def test_second_loss_right_after_a_repair_loses_nothing(tmp_path: Path) -> None:
    """Guards against a repaired voter that counts before it has the whole log."""
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        assert leader is not None
        repaired, other = (item for item in cluster.instances if item is not leader)
        key = str(uuid6.uuid7())
        status, booked = submit(other.caller_address, key)
        assert status == 200, booked
        text = operator_file(note="accepted before the losses")
        version = apply(cluster, text)
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
            assert (document["version"], document["text"]) == (version, text)
            status, again = submit(survivor.caller_address, key)
            assert status == 200, again
            assert again["replayed"] is True
            assert again["result"] == booked["result"]
        assert runs(cluster, key) == 1


def retry_until_settled(
    cluster: LocalCluster, instance: LocalInstance, key: str
) -> dict[str, Any]:
    """Resend a booking until the answer is not a refusal before running."""
    answers: list[dict[str, Any]] = []

    def settled() -> bool:
        status, answer = submit(instance.caller_address, key)
        answers.append({"status": status, **answer})
        assert runs(cluster, key) <= 1, answers
        return answer.get("run_state") != "not_run"

    wait_until(settled, f"a settled answer through {instance.name}", 15.0)
    return answers[-1]


@pytest.mark.parametrize(
    ("moment", "delay_ms"),
    [("sent", 0), ("sent", 3), ("sent", 10), ("running", 0), ("answered", 0)],
)
def test_killed_entry_instance_never_runs_a_booking_twice(
    tmp_path: Path, moment: str, delay_ms: float
) -> None:
    """Guards against a resent booking that runs again after a crash.

    The kill comes after the request was sent, while an upstream runs it, or when the
    upstream has just answered.
    """
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        killed, other = (item for item in cluster.instances if item is not leader)
        assert leader is not None
        booking = [
            item["upstream"]
            for item in cluster.upstreams
            if item["service"] == SUBMIT_SERVICE
        ]
        if moment != "sent":
            cluster.faults(booking, faults={"delay_ms": 300.0})
        key = str(uuid6.uuid7())

        def send() -> None:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                submit(killed.caller_address, key)

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        if moment != "sent":
            wait_until(lambda: runs(cluster, key) == 1, "an upstream runs the booking")
        if moment == "answered":
            wait_until(
                lambda: not any(cluster.stats()[name]["in_flight"] for name in booking),
                "the upstream answers",
            )
        time.sleep(delay_ms / 1000)  # The moment of the kill, not a wait.
        cluster.kill(killed)
        thread.join(10.0)
        cluster.faults(booking, faults={})

        first = retry_until_settled(cluster, other, key)
        cluster.start(killed)
        wait_until(lambda: covers(killed), "the killed instance serves again")
        for instance in (leader, killed):
            again = retry_until_settled(cluster, instance, key)
            assert again["run_state"] == first["run_state"]
            assert again.get("result") == first.get("result")
        if moment != "sent" or first["run_state"] == "ran":
            assert runs(cluster, key) == 1
        assert runs(cluster, key) <= 1


APPLIES = 300
# Each file is about 20 kB, so the texts of all applies are about 6 MB. The bound allows
# two log segments of 1 MiB, a snapshot, and one replacement of each in progress.
NOTE_BYTES = 20_000
DATA_FOLDER_LIMIT_BYTES = 4 * 1024 * 1024
RESTART_LIMIT_S = 5.0


def apply_many(leader: LocalInstance) -> tuple[int, str]:
    """Apply many files in a row; return the last version and its text."""
    version = int(leader.get("/v1/configuration")["version"])
    text = ""
    for number in range(APPLIES):
        text = operator_file(note=f"{number} {'x' * NOTE_BYTES}")
        body = {
            "apply_id": str(uuid6.uuid7()),
            "base_version": version,
            "operator": "test",
            "text": text,
        }
        status, answer = http("POST", leader.caller_address, "/v1/configuration", body)
        assert status == 200, answer
        version = answer["version"]
    return version, text


def test_data_folder_is_bounded_after_many_applies(tmp_path: Path) -> None:
    """Guards against a log that keeps the text of every configuration."""
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        assert leader is not None
        apply_many(leader)
        sizes = {
            item.name: sum(
                file.stat().st_size
                for file in (item.folder / "data").rglob("*")
                if file.is_file()
            )
            for item in cluster.instances
        }
        assert max(sizes.values()) <= DATA_FOLDER_LIMIT_BYTES, sizes


def test_restart_after_many_applies_is_quick(tmp_path: Path) -> None:
    """Guards against a restart that slows down with every apply in the log."""
    with running_cluster(tmp_path) as cluster:
        leader = cluster.leader()
        assert leader is not None
        restarted = next(item for item in cluster.instances if item is not leader)
        version, text = apply_many(leader)
        cluster.kill(restarted)
        cluster.start(restarted)
        wait_until(
            lambda: (
                (document := restarted.get("/v1/configuration") or {}).get("current")
                is True
                and document["version"] == version
                and document["text"] == text
            ),
            "the restarted instance has the configuration in force",
            RESTART_LIMIT_S,
        )
        wait_until(lambda: covers(restarted), "a search through it", RESTART_LIMIT_S)
