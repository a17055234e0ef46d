"""Starts instances and stand-in upstreams as processes on loopback.

The demo, the process tests and the benchmarks use it. Closing the cluster ends exactly
the processes that it started.
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
BIN_FOLDER = Path(sys.executable).parent
WAIT_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_CONNECT_TIMEOUT_S = 1.0
_CTL_TIMEOUT_S = 60
_VALUES_PER_OCTET = 250

_address_numbers = itertools.count(1)


def free_address() -> str:
    """Return an unused loopback ``host:port``; the host differs from call to call.

    The kernel chooses the port. 127.0.0.1 is not used, because outgoing connections
    take their ports there: a listener could find its port taken when it is restarted,
    which made restarts fail at random.
    """
    number = next(_address_numbers)
    process_id = os.getpid()
    host = (
        f"127.{1 + process_id // _VALUES_PER_OCTET % _VALUES_PER_OCTET}"
        f".{1 + process_id % _VALUES_PER_OCTET}.{1 + number % _VALUES_PER_OCTET}"
    )
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def wait_until(
    is_met: Callable[[], bool], description: str, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Poll until ``is_met`` returns true.

    Raises:
        TimeoutError: The condition was not met in time; the text contains
            ``description``.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if is_met():
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"condition not met within {timeout_s} s: {description}")


def http(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Send a request and return the status and the JSON document of the response.

    Args:
        method: HTTP method.
        address: ``host:port`` of the server.
        path: Path of the request.
        body: Sent as it is if it is bytes, else encoded as JSON.
        headers: Headers of the request.
        timeout_s: Timeout of each read.

    Returns:
        Status and document; an empty document if the response has no body.
    """
    content = body if isinstance(body, bytes) else orjson.dumps(body or {})
    response = httpcore.request(
        method,
        f"http://{address}{path}",
        content=content,
        headers=headers,
        extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S, "read": timeout_s}},
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
        """Return the JSON document at ``path``, or None without a 200 response."""
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
        """Return the voters that this instance knows, as ``instance/disk_id``.

        Returns:
            An empty list if the instance does not answer.
        """
        dump = self.get("/v1/dump") or {}
        return list(dump.get("control_log", {}).get("voters", []))


@dataclass
class LocalCluster:
    """Instances, stand-in upstreams and their files under one folder.

    Attributes:
        voters: Number of instances that vote in the control log.
        others: Number of instances without a vote.
        timing: Values of the ``[timing]`` table of each settings file.
        upstreams: Arguments of each stand-in upstream.
        standin_address: Control address of the process with the stand-in upstreams.
    """

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
                [str(BIN_FOLDER / "cuminbendd"), str(settings)], stdout=log, stderr=log
            )

    def kill(self, instance: LocalInstance) -> None:
        """Kill an instance as a crash would."""
        if instance.process is not None:
            instance.process.kill()
            instance.process.wait()

    def signal(self, instance: LocalInstance, number: signal.Signals) -> None:
        """Send a signal to the process of an instance.

        Raises:
            ValueError: The instance has not been started.
        """
        if instance.process is None:
            raise ValueError(
                f"{instance.name} has no process; call start() before signal()"
            )
        instance.process.send_signal(number)

    def pause(self, instance: LocalInstance) -> None:
        """Suspend an instance; its connections stay open."""
        self.signal(instance, signal.SIGSTOP)

    def resume(self, instance: LocalInstance) -> None:
        """Resume a paused instance."""
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
        """Return the leader as the first up-to-date instance reports it, or None."""
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
        """Return the statistics of each stand-in upstream by its name."""
        return dict(http("GET", self.standin_address, "/stats")[1])

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``cuminbendctl`` against all instances."""
        options = [f"--address={address}" for address in self.addresses()]
        return subprocess.run(
            [str(BIN_FOLDER / "cuminbendctl"), *arguments, *options],
            capture_output=True,
            text=True,
            timeout=_CTL_TIMEOUT_S,
            check=False,
        )


def holdings(shards: int = 1, version: str = "v1") -> list[dict[str, Any]]:
    """Return the holdings of an upstream that has all shards of one snapshot."""
    return [
        {"index_version": version, "partitioning": "p1", "shard": shard}
        for shard in range(shards)
    ]


def tresscommon_upstreams() -> Iterator[dict[str, Any]]:
    """Yield the arguments of stand-in upstreams in the numbers of Tresscommon."""
    for group, count in (("fitroom", 20), ("stockline", 30)):
        for number in range(1, count + 1):
            for replica in range(2):
                yield _upstream_arguments(
                    f"{group}-{number:02}", replica, number + replica
                )
    for service, count in (("chairbook", 5), ("careleaf", 3)):
        for replica in range(count):
            yield {
                **_upstream_arguments(service, replica, replica),
                "slots": 3,
                "connection_limit": 100,
            }


def _upstream_arguments(
    service: str, replica: int, data_centre_index: int
) -> dict[str, Any]:
    return {
        "upstream": f"{service}-{'abcdefgh'[replica]}",
        "service": service,
        "data_centre": DATA_CENTRES[data_centre_index % 3],
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
