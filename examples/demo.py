"""Demo: three instances, the upstreams of Tresscommon, a search and a booking.

Each step prints its result and checks it. If every check passes, the last line starts
with ``demo ok`` and the exit code is 0; otherwise the exit code is 1.
"""

import json
import sys
import tempfile
import time
import uuid
from pathlib import Path
from typing import Any

import uuid6
from local_cluster import (
    LocalCluster,
    LocalInstance,
    http,
    tresscommon_file,
    tresscommon_upstreams,
    wait_until,
)

MEMBER = "wig-studio-one"
SHARDS = 50


class DemoError(Exception):
    """A step did not have the expected result."""


def print_step(text: str) -> None:
    """Print the result of one step."""
    print(f"- {text}", flush=True)


def require(condition: bool, text: str) -> None:
    """Check a condition.

    Raises:
        DemoError: The condition is false; the error has ``text`` as its message.
    """
    if not condition:
        raise DemoError(text)


def search(instance: LocalInstance, text: str) -> dict[str, Any]:
    """Search all shards through one instance and return the answer."""
    headers = {"x-member": MEMBER, "x-deadline-ms": "1500"}
    body = {"swatch": text}
    status, answer = http(
        "POST", instance.caller_address, "/v1/search/matches", body, headers
    )
    require(status == 200, f"search failed: {answer}")
    return dict(answer)


def search_until_full(instance: LocalInstance, text: str) -> dict[str, Any]:
    """Search until an answer has full coverage, and return it.

    The first searches may miss shards, because their upstreams are still warming up.
    """
    answers: list[dict[str, Any]] = []

    def is_fully_covered() -> bool:
        try:
            answers.append(search(instance, f"{text} {uuid.uuid4()}"))
        except DemoError:
            return False
        return bool(answers[-1]["coverage"]["answered"] == SHARDS)

    wait_until(is_fully_covered, "a search over all shards")
    return answers[-1]


def describe_answer(answer: dict[str, Any]) -> str:
    """Return a one-line summary of an answer."""
    coverage = answer["coverage"]
    return (
        f"{coverage['answered']} of {coverage['shards']} shards from snapshot "
        f"{answer['snapshot']['index_version']} in {answer['elapsed_ms']:.0f} ms "
        f"with {answer['attempts']} attempts"
    )


def book(instance: LocalInstance, key: str) -> dict[str, Any]:
    """Book an appointment through one instance and return the answer."""
    headers = {"x-member": MEMBER, "x-deadline-ms": "1500", "idempotency-key": key}
    status, answer = http(
        "POST",
        instance.caller_address,
        "/v1/submit/chairbook",
        {"client": "17", "chair": 3},
        headers,
    )
    require(status == 200, f"booking failed: {answer}")
    return dict(answer)


def run(folder: Path) -> None:
    """Run all steps in ``folder``."""
    upstreams = list(tresscommon_upstreams())
    with LocalCluster(folder=folder, upstreams=upstreams) as cluster:
        cluster.start_all()
        first, second, third = cluster.instances
        print_step(
            f"started 3 instances with disks in 3 data centres and {len(upstreams)} "
            "stand-in upstreams"
        )
        wait_until(lambda: cluster.leader() is not None, "a leader")
        leader = cluster.leader()
        print_step(f"the control log elected {leader.name if leader else 'nobody'}")

        operator_file = folder / "tresscommon.toml"
        operator_file.write_text(tresscommon_file())
        result = cluster.ctl("apply", str(operator_file), "--json")
        require(result.returncode == 0, f"apply failed: {result.stderr}")
        applied = json.loads(result.stdout)
        print_step(f"applied version {applied['version']}, in force everywhere")

        wait_until(lambda: _are_all_owned(first, len(upstreams)), "all upstreams owned")
        print_step("every upstream announced itself and has one owner")
        print_step(f"search: {describe_answer(search_until_full(first, 'ash blond'))}")

        key = str(uuid6.uuid7())
        booked = book(first, key)
        print_step(f"booked through {first.name}: {booked['result']}")
        resent = book(second, key)
        require(resent["result"] == booked["result"], "the resend got another result")
        require(bool(resent["replayed"]), "the resend was not recognised")
        require(_count_runs(cluster, key) == 1, "the booking ran more than once")
        print_step(f"sent again through {second.name}: same result, it ran once")

        leader = cluster.leader()
        if leader is None:
            raise DemoError("no leader")
        cluster.kill(leader)
        survivors = [item for item in (first, second, third) if item is not leader]
        print_step(f"killed {leader.name}, which led")
        answer = search_until_full(survivors[0], "after the kill")
        print_step(f"search: {describe_answer(answer)}")
        booked = book(survivors[1], str(uuid6.uuid7()))
        print_step(f"booked through {survivors[1].name}: {booked['result']}")


def _are_all_owned(instance: LocalInstance, count: int) -> bool:
    status = instance.get("/v1/status")
    owned = [item for item in (status or {}).get("upstreams", []) if item["owner"]]
    return len(owned) == count


def _count_runs(cluster: LocalCluster, key: str) -> int:
    return sum(stats["runs_by_key"].get(key, 0) for stats in cluster.stats().values())


def main() -> int:
    """Run the demo and return the exit code."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="cuminbend-demo-") as folder:
        try:
            run(Path(folder))
        except (DemoError, TimeoutError) as error:
            print(f"demo failed: {error}")
            for log in sorted(Path(folder).glob("*/log.txt")):
                print(f"--- {log.parent.name}")
                print("\n".join(log.read_text().splitlines()[-15:]))
            return 1
    print(f"demo ok ({time.monotonic() - started_s:.0f} s)")
    return 0


if __name__ == "__main__":
    sys.exit(main())
