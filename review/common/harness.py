"""Stand-ins and process control shared by the scripts of the review.

Only the standard library is used. The system's own programs run as separate processes
with the command of the deploy file, on loopback addresses of their own. Searchers,
clients and the operator are small stand-ins that do what PROTOCOL.md says of them.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1")
HOST = "review.example"
REGION = "r-1"
ZONES = ("z-a", "z-b", "z-c")
# Bounds of the two deployments' sheets.
CONTACT_S = 4.0
ACK_S = 5.0
CATCH_UP_S = 4.0
DRAIN_S = 3.0
GRACE_S = 6.0
EVACUATE_S = 5.0
RECOVERY_S = 12.0
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 12000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 52,
    "coldExcess": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "ttl_max_s": 5,
}


class Broken(Exception):
    """The rule was broken."""


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of the case."""

    def __init__(self, folder):
        self.start_s = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def __call__(self, text):
        line = f"{time.monotonic() - self.start_s:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if not text.startswith(("client ", "searcher ")):
            print(line, flush=True)


async def read_message(reader):
    """Return start line, headers and body of an HTTP message, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], headers, body


async def call(address, method, path, body=b"", timeout_s=1.0, headers=()):
    """Send a call on a new connection; return (status, headers, body) or None."""
    answer, _ = await try_call(address, method, path, body, timeout_s, headers)
    return answer


async def try_call(address, method, path, body=b"", timeout_s=1.0, headers=()):
    """Like :func:`call`, and return why there is no answer as well."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method in ("PUT", "POST"):
                lines.append("Content-Type: application/json")
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return None, "closed without an answer"
            return (int(message[0].split()[1]), message[1], message[2]), ""
    except TimeoutError:
        return None, f"no answer in {timeout_s:.1f} s"
    except OSError as error:
        return None, f"no connection ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()


class Instance:
    """One process of the system."""

    def __init__(self, name, kind, host, zone, folder, bootstrap):
        self.name, self.kind, self.host, self.zone = name, kind, host, zone
        self.folder, self.bootstrap = folder, bootstrap
        self.process = None

    @property
    def runs(self):
        return self.process is not None and self.process.poll() is None


class System:
    """The processes of a small deployment."""

    def __init__(self, record, controls=3, entries=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        number = os.getpid()
        self.prefix = f"127.{60 + number // 200 % 150}.{1 + number % 200}"
        sockets = [socket.socket() for _ in range(5)]
        for item in sockets:
            item.bind((f"{self.prefix}.250", 0))
        self.ports = dict(
            zip(
                ("front", "ready", "control", "directory", "internal"),
                (item.getsockname()[1] for item in sockets),
                strict=True,
            )
        )
        for item in sockets:
            item.close()
        self.controls, self.entries = [], []
        self._hosts = itertools.count(10)
        for index in range(controls):
            self.add_control(ZONES[index % 3], bootstrap=True)
        for index in range(entries):
            name = f"front-{index + 1}"
            host = f"{self.prefix}.{next(self._hosts)}"
            folder = self.folder / name
            self.entries.append(
                Instance(name, "entry", host, ZONES[index % 3], folder, False)
            )
        self.seeds = [self.control_address(item) for item in self.controls]

    def add_control(self, zone, bootstrap=False):
        number = len(self.controls) + 1
        name = f"core-{number}"
        host = f"{self.prefix}.{next(self._hosts)}"
        item = Instance(name, "control", host, zone, self.folder / name, bootstrap)
        self.controls.append(item)
        return item

    def control_address(self, item):
        return f"{item.host}:{self.ports['control']}"

    def live_controls(self):
        return [self.control_address(item) for item in self.controls if item.runs]

    def directories(self):
        return [
            f"{item.host}:{self.ports['directory']}"
            for item in (*self.entries, *self.controls)
            if item.runs
        ]

    def start(self, item):
        """Start a process with the command of the deploy file."""
        item.folder.mkdir(parents=True, exist_ok=True)
        is_control = item.kind == "control"
        ports = self.ports
        fields = {
            "node": item.name,
            "role": item.kind,
            "machineClass": "core" if is_control else "front",
            "serves": "control,directory" if is_control else "front,directory",
            "ip": item.host,
            "zone": item.zone,
            "region": REGION,
            **{f"zones.{zone}": REGION for zone in ZONES},
            "listen.directory": f"{item.host}:{ports['directory']}",
            "internalPortRange": f"{ports['internal']},{ports['internal']}",
            "seeds": ",".join(self.seeds),
            "bootstrap": str(item.bootstrap).lower(),
            "inTolerance": str(is_control).lower(),
            "limits.cpuShare": 0.86 if is_control else 0.537,
            "limits.cores": 3 if is_control else 2,
            "limits.memoryMb": 296 if is_control else 300,
            "limits.maxFds": 4096,
            "limits.linkMbps": 1000.0,
            "limits.diskMb": 128 if is_control else 0,
            "discovery": "registry",
            "entry": "directory",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,retry,recover,scatter,places",
            "faultTolerance.machines": 1,
            "faultTolerance.zones": 1,
            "faultTolerance.regions": 0,
            "config_mode": "highest",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        if is_control:
            fields["listen.control"] = self.control_address(item)
            fields["dataDir"] = item.folder / "data"
        else:
            fields["listen.front"] = f"{item.host}:{ports['front']}"
            fields["listen.readyAddr"] = f"{item.host}:{ports['ready']}"
        path = item.folder / "settings.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "CUMINBEND_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (item.folder / "log.txt").open("ab") as log:
            item.process = subprocess.Popen(
                ["python3", "platform/run.py"],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        # Only the first start of a machine is that of the whole system.
        item.bootstrap = False
        self.record(f"platform starts {item.name} in {item.zone}")

    def kill(self, item):
        if item.runs:
            item.process.kill()
            self.record(f"platform kills {item.name} (SIGKILL)")

    async def wait_ended(self, item, timeout_s=GRACE_S):
        end_s = time.monotonic() + timeout_s
        while item.runs and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        if item.runs:
            self.kill(item)
        item.process.wait()
        self.record(f"platform sees {item.name} ended, code {item.process.returncode}")

    def signal(self, item, number):
        item.process.send_signal(number)
        self.record(f"platform sends {number.name} to {item.name}")

    def wipe(self, item):
        shutil.rmtree(item.folder / "data", ignore_errors=True)
        self.record(f"platform: the disk of {item.name} is lost")

    async def leader(self):
        """Return the control instance that leads; only used to pick a machine."""
        for item in self.controls:
            if not item.runs:
                continue
            answer = await call(self.control_address(item), "GET", "/cuminbend/dump")
            if answer and answer[0] == 200:
                if json.loads(answer[2])["replica"]["role"] == "leader":
                    return item
        return None

    def close(self):
        for item in (*self.controls, *self.entries):
            if item.runs:
                item.process.send_signal(signal.SIGCONT)
                item.process.kill()
                item.process.wait()
        if os.environ.get("KEEP"):
            print("logs kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Searcher:
    """A searcher: serves requests, checks the expected id, sends heartbeats."""

    _numbers = itertools.count(1)

    def __init__(self, system, service, zone, *, work_s=0.005, slots=8):
        self.system, self.service, self.zone = system, service, zone
        self.work_s, self.slots = work_s, slots
        self.number = next(self._numbers)
        self.host = f"{system.prefix}.{100 + self.number}"
        self.id = f"i-{self.number:04x}{random.randrange(16**4):04x}"
        self.port = 0
        self.state = "ready"
        self.seq = 0
        self.born = 0
        self.cold_until_s = 0.0
        self.beat_address = ""
        self.beats = True
        self.arrivals = []
        self._running = 0
        self._stamps = itertools.count(1)
        self._server = None
        self._task = None
        self._writers = set()

    async def start(self, *, beats=True):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state, self.beat_address = "ready", ""
        self.system.record(
            f"searcher {self.id} of {self.service} in {self.zone} starts, "
            f"born {self.born}"
        )
        if beats:
            self._task = asyncio.ensure_future(self._beat_loop())

    def stop_beats(self):
        if self._task is not None:
            self._task.cancel()

    def stop(self):
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.system.record(f"searcher {self.id} ends")

    def _document(self):
        cold_left_ms = max(0.0, (self.cold_until_s - time.monotonic()) * 1000)
        return {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": round(cold_left_ms),
            "seq": self.seq,
            "born": self.born,
        }

    async def _beat_loop(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        """Send one heartbeat: to the named address, else to one node after another."""
        self.seq += 1
        body = json.dumps(self._document()).encode()
        controls = self.system.live_controls()
        random.shuffle(controls)
        for address in [self.beat_address, *controls]:
            if not address:
                continue
            path = f"/cuminbend/instances/{self.id}"
            answer = await call(address, "PUT", path, body)
            if answer is not None and 200 <= answer[0] < 300:
                self.beat_address = json.loads(answer[2]).get("beatAddr", "")
                return True
        self.beat_address = ""
        return False

    async def depart(self):
        """Send the DELETE until it is acknowledged; return the time of that."""
        delay_s = 0.1
        while True:
            for address in self.system.live_controls():
                path = f"/cuminbend/instances/{self.id}"
                answer = await call(address, "DELETE", path)
                if answer is not None and 200 <= answer[0] < 300:
                    return time.monotonic()
                await asyncio.sleep(delay_s)
                delay_s *= 1.5

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer(*message))
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body):
        method, target, _ = line.split(" ", 2)
        request_id = headers.get("x-request-id", "")
        load = f"{self._running},0,{self.slots}"
        if target == "/healthz":
            fields = {"X-Instance-Id": self.id, "X-Server-Load": load}
            return self._encode(200 if self.state == "ready" else 503, fields, b"")
        arrival = {
            "at_s": time.monotonic(),
            "id": request_id,
            "target": target,
            "is_cold": time.monotonic() < self.cold_until_s,
            "ran": False,
        }
        self.arrivals.append(arrival)
        fields = {"X-Request-Id": request_id, "X-Server-Load": load}
        if headers.get("x-expect-instance", self.id) != self.id:
            self.system.record(f"searcher {self.id} rejects {request_id} with 421")
            return self._encode(421, {**fields, "X-Not-Executed": "other"}, b"")
        arrival["ran"] = True
        self.system.record(f"searcher {self.id} runs {method} {target} {request_id}")
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        fields["X-Server-Stamp"] = f"{self.id}.{request_id}.{next(self._stamps)}"
        return self._encode(200, fields, f"{self.service} {target}".encode())

    @staticmethod
    def _encode(status, headers, body):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Clients:
    """Clients that ask the directory and send requests at a steady rate."""

    _ids = itertools.count(1)

    def __init__(self, system, path, per_s, *, deadline_ms=1000):
        self.system, self.path, self.per_s = system, path, per_s
        self.deadline_ms = deadline_ms
        self.sent = {}
        self.answers = {}
        self._addresses, self._expires_s = [], 0.0
        self._tasks = set()
        self._loop_task = None

    def start(self):
        self._loop_task = asyncio.ensure_future(self._run())

    async def stop(self):
        self._loop_task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self):
        while True:
            await self._resolve()
            if self._addresses:
                task = asyncio.ensure_future(self.send())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / self.per_s)

    async def _resolve(self):
        if time.monotonic() < self._expires_s:
            return
        zone = random.choice(ZONES)
        directories = self.system.directories()
        random.shuffle(directories)
        for address in directories[:3]:
            path = f"/cuminbend/resolve?name={HOST}&region={REGION}&zone={zone}"
            answer = await call(address, "GET", path)
            if answer is not None and answer[0] == 200:
                document = json.loads(answer[2])
                if document.get("addrs"):
                    self._addresses = document["addrs"]
                    self._expires_s = time.monotonic() + min(5.0, document["ttl_s"])
                    return

    async def send(self, path=None):
        request_id = f"q{next(self._ids):08x}"
        address = random.choice(self._addresses)
        target = path or f"{self.path}{request_id}"
        headers = (
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", self.deadline_ms),
        )
        self.sent[request_id] = time.monotonic()
        self.system.record(f"client sends GET {target} {request_id} to {address}")
        timeout_s = self.deadline_ms / 1000 + 0.2
        answer, cause = await try_call(
            address, "GET", target, timeout_s=timeout_s, headers=headers
        )
        self.answers[request_id] = answer
        text = f"{answer[0]} {answer[2][:60]!r}" if answer else cause
        self.system.record(f"client gets {request_id} {text}")
        return answer

    def served_share(self, from_s, to_s=float("inf")):
        ids = [key for key, at_s in self.sent.items() if from_s <= at_s < to_s]
        good = sum(
            bool(self.answers.get(key)) and self.answers[key][0] == 200 for key in ids
        )
        return good / len(ids) if ids else 0.0


class Operator:
    """The operator: each order goes to one node after another until it is answered."""

    def __init__(self, system):
        self.system = system

    async def order(self, method, path, body=b"", *, first=(), timeout_s=20.0):
        """Return the time of the acknowledgement, or None without one."""
        end_s = time.monotonic() + timeout_s
        delay_s = 0.1
        candidates = list(first)
        while time.monotonic() < end_s:
            if not candidates:
                candidates = self.system.live_controls()
                random.shuffle(candidates)
            address = candidates.pop(0)
            answer, cause = await try_call(address, method, path, body)
            status = answer[0] if answer else cause
            self.system.record(f"operator {method} {path} to {address}: {status}")
            if answer is not None and 200 <= answer[0] < 300:
                return time.monotonic()
            if answer is not None and 400 <= answer[0] < 500:
                return None
            await asyncio.sleep(delay_s)
            delay_s = min(1.0, delay_s * 1.5)
        return None

    async def put(self, document, **options):
        body = json.dumps(document).encode()
        return await self.order("PUT", "/cuminbend/config", body, **options)

    async def read(self, address):
        """Return the version that a node names, or None."""
        answer, cause = await try_call(address, "GET", "/cuminbend/config")
        status = answer[0] if answer else cause
        version = json.loads(answer[2])["version"] if status == 200 else None
        self.system.record(
            f"operator GET /cuminbend/config at {address}: {status}, version {version}"
        )
        return version


def configuration(version, routes, services, cold_per_s=0.0):
    """Return a configuration; routes are (name, prefix, service)."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": prefix,
                "kind": "safe",
                "timeoutMs": 1000,
                "sloMs": 250,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
            for name, prefix, service in routes
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 36,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def wait_served(clients, timeout_s=15.0):
    """Wait until a client gets a success."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if any(answer and answer[0] == 200 for answer in clients.answers.values()):
            return
        await asyncio.sleep(0.1)
    raise CannotRun("no request was served after the start")


def _end_on_signal(number, frame):
    raise SystemExit(2)


def run_case(folder, case, **sizes):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it could not run."""
    code = 2
    system = None
    searchers = []
    signal.signal(signal.SIGTERM, _end_on_signal)

    async def run():
        try:
            async with asyncio.timeout(110):
                await case(system, searchers)
        finally:
            for searcher in searchers:
                searcher.stop()

    try:
        record = Record(folder)
        record(f"TROUBLE={TROUBLE}")
        system = System(record, **sizes)
        asyncio.run(run())
        record("the rule held")
        code = 0
    except Broken as error:
        record(f"THE RULE WAS BROKEN: {error}")
        code = 1
    except CannotRun as error:
        record(f"the case could not run: {error}")
    except Exception as error:
        print(f"the case could not run: {error!r}", flush=True)
    finally:
        if system is not None:
            system.close()
    sys.exit(code)
