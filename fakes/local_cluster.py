"""Starts instances and stand-in upstreams as processes on loopback.

Used by the demo, the process tests and the benchmarks. Every process is ended by
its id when the cluster is closed.
"""

import contextlib
import itertools
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpcore
import orjson

DATA_CENTRES = ("limerick", "galway", "cork")
BIN = Path(sys.executable).parent
WAIT_LIMIT_S = 30.0

_numbers = itertools.count(1)


def free_address() -> str:
    """Return a loopback address of its own, with a port that the kernel chose.

    Outgoing connections take their ports on 127.0.0.1. A listener there could find its
    port taken when it is started again, which made restarts fail at random.
    """
    number = next(_numbers)
    process = os.getpid()
    host = f"127.{1 + process // 250 % 250}.{1 + process % 250}.{1 + number % 250}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def wait_until(
    check: Callable[[], bool], what: str, limit_s: float = WAIT_LIMIT_S
) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: Naming ``what``, if it does not come true.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        if check():
            return
        time.sleep(0.05)
    raise TimeoutError(f"did not happen within {limit_s} s: {what}")


def http(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Send a request with a JSON body and return status and JSON document."""
    content = body if isinstance(body, bytes) else orjson.dumps(body or {})
    response = httpcore.request(
        method,
        f"http://{address}{path}",
        content=content,
        headers=headers,
        extensions={"timeout": {"connect": 1.0, "read": timeout_s}},
    )
    document = orjson.loads(response.content) if response.content else {}
    return response.status, document


@dataclass
class LocalInstance:
    """One daemon process and its addresses."""

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    folder: Path
    is_voter: bool
    process: subprocess.Popen[bytes] | None = None

    def get(self, path: str) -> Any:
        """Return the JSON document at ``path``, or None if there is no answer."""
        try:
            status, document = http("GET", self.caller_address, path, timeout_s=2)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ):
            return None
        return document if status == 200 else None

    def voters(self) -> list[str]:
        """Return the voters that this instance knows, as ``instance/disk_id``."""
        dump = self.get("/v1/dump") or {}
        return list(dump.get("control_log", {}).get("voters", []))


@dataclass
class LocalCluster:
    """Instances, stand-in upstreams and their files under one folder."""

    folder: Path
    voters: int = 3
    others: int = 0
    timing: dict[str, float] = field(default_factory=dict)
    upstreams: list[dict[str, Any]] = field(default_factory=list)
    instances: list[LocalInstance] = field(default_factory=list)
    standin_address: str = ""
    standin_process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for index in range(self.voters + self.others):
            name = f"entry-{index + 1}"
            self.instances.append(
                LocalInstance(
                    name=name,
                    data_centre=DATA_CENTRES[index % 3],
                    caller_address=free_address(),
                    peer_address=free_address(),
                    folder=self.folder / name,
                    is_voter=index < self.voters,
                )
            )
        self.standin_address = free_address()

    def __enter__(self) -> "LocalCluster":
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process that is still running."""
        processes = [instance.process for instance in self.instances]
        for process in [*processes, self.standin_process]:
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def addresses(self) -> list[str]:
        """Return the caller addresses of all instances."""
        return [instance.caller_address for instance in self.instances]

    def start(self, instance: LocalInstance) -> None:
        """Write the settings of an instance and start it."""
        instance.folder.mkdir(parents=True, exist_ok=True)
        settings = instance.folder / "settings.toml"
        settings.write_text(self._settings_text(instance))
        with (instance.folder / "log.txt").open("ab") as log:
            instance.process = subprocess.Popen(
                [str(BIN / "cuminbendd"), str(settings)], stdout=log, stderr=log
            )

    def kill(self, instance: LocalInstance) -> None:
        """Kill an instance as a crash would."""
        if instance.process is not None:
            instance.process.kill()
            instance.process.wait()

    def signal(self, instance: LocalInstance, number: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        if instance.process is None:
            raise ValueError(f"{instance.name} has not been started")
        instance.process.send_signal(number)

    def pause(self, instance: LocalInstance) -> None:
        """Suspend an instance; its connections stay open."""
        self.signal(instance, signal.SIGSTOP)

    def resume(self, instance: LocalInstance) -> None:
        """Resume a frozen instance."""
        self.signal(instance, signal.SIGCONT)

    def stop(self, instance: LocalInstance) -> None:
        """Ask an instance for a planned stop, without waiting for its end."""
        self.signal(instance, signal.SIGTERM)

    def lose_disk(self, instance: LocalInstance) -> None:
        """Kill a voter and delete its data folder."""
        self.kill(instance)
        shutil.rmtree(instance.folder / "data")

    def start_all(self) -> None:
        """Start all instances and the stand-in upstreams."""
        for instance in self.instances:
            self.start(instance)
        if self.upstreams:
            self.start_standin()

    def start_standin(self) -> None:
        """Start the stand-in upstreams."""
        layout = self.folder / "layout.json"
        layout.write_bytes(
            orjson.dumps(
                {
                    "upstreams": self.upstreams,
                    "announce_to": self.addresses(),
                    "control_address": self.standin_address,
                }
            )
        )
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent)}
        with (self.folder / "standin.log").open("ab") as log:
            self.standin_process = subprocess.Popen(
                [sys.executable, "-m", "standin", str(layout)],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def _settings_text(self, instance: LocalInstance) -> str:
        lines = [
            f'instance = "{instance.name}"',
            f'data_centre = "{instance.data_centre}"',
            f'caller_address = "{instance.caller_address}"',
            f'peer_address = "{instance.peer_address}"',
        ]
        if instance.is_voter:
            lines.append(f'data_folder = "{instance.folder / "data"}"')
        for voter in self.instances[: self.voters]:
            lines += [
                "[[voters]]",
                f'instance = "{voter.name}"',
                f'peer_address = "{voter.peer_address}"',
            ]
        if self.timing:
            lines.append("[timing]")
            lines += [f"{name} = {value}" for name, value in self.timing.items()]
        return "\n".join(lines) + "\n"

    def leader(self) -> LocalInstance | None:
        """Return the instance that a live instance believes to lead."""
        for instance in self.instances:
            if instance.process is None or instance.process.poll() is not None:
                continue
            status = instance.get("/v1/status")
            if status and status["current"] and status["leader"]:
                for candidate in self.instances:
                    if candidate.name == status["leader"]:
                        return candidate
        return None

    def faults(self, upstreams: list[str], **change: Any) -> None:
        """Change the behaviour of stand-in upstreams; see ``standin._upstream``."""
        http(
            "POST", self.standin_address, "/control", {"upstreams": upstreams, **change}
        )

    def stats(self) -> dict[str, Any]:
        """Return what the stand-in upstreams have seen."""
        return dict(http("GET", self.standin_address, "/stats")[1])

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``cuminbendctl`` against all instances."""
        options = [f"--address={address}" for address in self.addresses()]
        return subprocess.run(
            [str(BIN / "cuminbendctl"), *arguments, *options],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )


def holdings(shards: int = 1, version: str = "v1") -> list[dict[str, Any]]:
    """Return the holdings of an upstream that has all shards of one snapshot."""
    return [
        {"index_version": version, "partitioning": "p1", "shard": shard}
        for shard in range(shards)
    ]


def tresscommon_upstreams() -> Iterator[dict[str, Any]]:
    """Yield the stand-in upstreams of Tresscommon's sizes."""
    for group, count in (("fitroom", 20), ("stockline", 30)):
        for number in range(1, count + 1):
            for replica in range(2):
                yield _upstream(f"{group}-{number:02}", replica, number + replica)
    for service, count in (("chairbook", 5), ("careleaf", 3)):
        for replica in range(count):
            yield {
                **_upstream(service, replica, replica),
                "slots": 3,
                "connection_limit": 100,
            }


def _upstream(service: str, replica: int, place: int) -> dict[str, Any]:
    return {
        "upstream": f"{service}-{'abcdefgh'[replica]}",
        "service": service,
        "data_centre": DATA_CENTRES[place % 3],
        "address": free_address(),
        "holdings": holdings(),
        "slots": 2,
        "connection_limit": 25,
    }


def tresscommon_file() -> str:
    """Return an operator file for :func:`tresscommon_upstreams`."""
    parts = ['[cluster]\nname = "tresscommon"\n']
    parts += [f'[[data_centres]]\nname = "{name}"\n' for name in DATA_CENTRES]
    for name in ("wig-studio-one", "wig-studio-two"):
        parts.append(
            f'[[members]]\nname = "{name}"\nprefer = "latency"\n'
            "default_deadline_ms = 1000\n"
        )
    for group, count in (("fitroom", 20), ("stockline", 30)):
        parts += [
            f'[[services]]\nname = "{group}-{number:02}"\ngroup = "matches"\n'
            "shards = { p1 = 1 }\n"
            for number in range(1, count + 1)
        ]
    parts += [
        f'[[services]]\nname = "{name}"\nmode = "submit"\nshards = {{ p1 = 1 }}\n'
        for name in ("chairbook", "careleaf")
    ]
    return "\n".join(parts)
