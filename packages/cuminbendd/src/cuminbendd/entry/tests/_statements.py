"""Entry instances and upstreams that state something of themselves, on virtual time."""

import random
from collections import defaultdict, deque

from cuminbend.crashes import CrashSettings, CrashSuspects
from cuminbend.forwarding import (
    HedgeDelay,
    PlacementSettings,
    RecoveryEstimate,
    RecoverySettings,
    RoutingTable,
    ServicePolicy,
)
from cuminbend.ports.tests._clock import SettableClock
from cuminbend.registry import Registration, StatementTable, UpstreamState

from cuminbendd.entry import EntrySettings, HeaderNames
from cuminbendd.entry._attempts import Attempt
from cuminbendd.entry._crash_watch import CrashWatch
from cuminbendd.entry._forwarding import PreparedRequest
from cuminbendd.entry._upstreams import UpstreamDirectory
from cuminbendd.http1 import UpstreamResponse
from cuminbendd.metrics import Metrics

HEADER_NAMES = HeaderNames()
SERVICE = "s"
STEP_MS = 5.0
LEAVING_USE_MS = 1800.0
ANSWER_MS = 30.0
# News of the control group reach the instances at this interval.
NEWS_INTERVAL_MS = 500.0
WINDOW_MS = 4000.0


def make_registration(upstream: str, incarnation_ms: int) -> Registration:
    return Registration(
        upstream=upstream,
        service=SERVICE,
        address="127.0.0.1:9",
        # Not the data centre of the instances, so no connection is opened early.
        data_centre="b",
        slots=100,
        state=UpstreamState.READY,
        cold_left_ms=0.0,
        incarnation_ms=incarnation_ms,
        sequence=1,
        holder="c",
    )


class StatementFleet:
    """Entry instances and upstreams that state something of themselves.

    The time is virtual. The first upstream makes the statements.

    Attributes:
        arrivals_ms: Times at which requests reached the first upstream.
        arrivals_ms_by_instance: The same by the instance that sent them.
        told_ms_by_instance: Time of the first answer to each instance that says that
            the upstream leaves, or that asks for a pause.
        limit_per_s: Limit that the upstream states in its answers, or None.
        is_leaving: Whether its answers say that it leaves.
        pause_s: Pause that it asks for with each rejection; None if it rejects nothing.
    """

    def __init__(
        self,
        instance_count: int,
        limit_per_s: float | None = None,
        *,
        upstream_count: int = 1,
    ) -> None:
        self.clock = SettableClock()
        self.limit_per_s = limit_per_s
        self.is_leaving = False
        self.pause_s: float | None = None
        self.arrivals_ms: list[float] = []
        self.arrivals_ms_by_instance: dict[str, list[float]] = defaultdict(list)
        self.told_ms_by_instance: dict[str, float] = {}
        self._incarnation_ms = 1
        self._upstreams = [f"u{number}" for number in range(upstream_count)]
        self._record = StatementTable()
        self._sent_revision = 0
        self.names = [f"e{number}" for number in range(instance_count)]
        self.directories = {name: self._new_directory(name) for name in self.names}
        self.set_entries(self.names)
        self._open: deque[tuple[float, str, Attempt]] = deque()
        self._news_due_ms = 0.0
        self._rng = random.Random(1)

    def _new_directory(self, name: str) -> UpstreamDirectory:
        clock = self.clock
        directory = UpstreamDirectory(
            settings=EntrySettings(
                instance=name,
                data_centre="a",
                caller_address="127.0.0.1:9",
                control_addresses=(),
                placement=PlacementSettings(leaving_use_ms=LEAVING_USE_MS),
            ),
            recovery=RecoveryEstimate(settings=RecoverySettings(), clock=clock),
            clock=clock,
            header_names=HEADER_NAMES,
            metrics=Metrics(),
            crash_watch=CrashWatch(
                suspects=CrashSuspects(settings=CrashSettings(), clock=clock)
            ),
        )
        policy = ServicePolicy(name=SERVICE, max_connections=3 * len(self.names))
        directory.set_table(
            RoutingTable(version=1, routes=(), services={SERVICE: policy})
        )
        directory.merge_registrations(self._registrations(), is_full=True)
        return directory

    def restart_upstreams(self) -> None:
        """Start new processes of all upstreams."""
        self._incarnation_ms += 1
        for directory in self.directories.values():
            directory.merge_registrations(self._registrations(), is_full=False)

    def _registrations(self) -> list[Registration]:
        return [
            make_registration(upstream, self._incarnation_ms)
            for upstream in self._upstreams
        ]

    def set_entries(self, names: list[str]) -> None:
        """Tell the running instances which instances there are."""
        for name in names:
            self.directories[name].set_entries(dict.fromkeys(names, "a"))

    def replace_instance(self, name: str) -> None:
        """Start an instance anew; it serves once it has the first news."""
        self.directories[name] = self._new_directory(name)
        self.set_entries(list(self.directories))
        self.directories[name].merge_statements(
            self._record.changes_since(0), is_full=True
        )

    def exchange_news(self) -> None:
        """Let all instances learn what one of them has heard."""
        for directory in self.directories.values():
            for statement in directory.report_statements():
                self._record.record(statement, is_held_here=True)
        changes = self._record.changes_since(self._sent_revision)
        self._sent_revision = self._record.revision
        for directory in self.directories.values():
            directory.merge_statements(changes, is_full=False)

    def run(self, duration_ms: float, *, load_per_s: float) -> None:
        """Send requests at random instances to the upstream for a time."""
        end_ms = self.clock.now_ms + duration_ms
        while self.clock.now_ms < end_ms:
            self.clock.now_ms += STEP_MS
            while self._open and self._open[0][0] <= self.clock.now_ms:
                _, name, attempt = self._open.popleft()
                self._answer(name, attempt)
            if self.clock.now_ms >= self._news_due_ms:
                self._news_due_ms = self.clock.now_ms + NEWS_INTERVAL_MS
                self.exchange_news()
            if self._rng.random() < load_per_s * STEP_MS / 1000:
                self._send(self._rng.choice(list(self.directories)))

    def _send(self, name: str) -> None:
        directory = self.directories[name]
        pool = directory.choose_pool(SERVICE)
        if pool is None:
            return
        request = PreparedRequest(
            head=b"",
            body=b"",
            request_id=b"id",
            fingerprint="",
            header_names=HEADER_NAMES,
            deadline_ms=self.clock.now_ms + 1000,
        )
        attempt = Attempt(
            directory=directory,
            pool=pool,
            request=request,
            is_idempotent=True,
            hedging=HedgeDelay(objective_ms=100.0),
            encode=lambda _: b"",
            on_done=lambda *_: None,
        )
        pool.replica.in_flight += 1
        now_ms = self.clock.now_ms
        if pool.replica.upstream == self._upstreams[0]:
            self.arrivals_ms.append(now_ms)
            self.arrivals_ms_by_instance[name].append(now_ms)
        self._open.append((now_ms + ANSWER_MS, name, attempt))

    def _answer(self, name: str, attempt: Attempt) -> None:
        headers: list[tuple[bytes, bytes]] = []
        status = 200
        if attempt.replica.upstream == self._upstreams[0]:
            if self.limit_per_s is not None:
                headers.append((HEADER_NAMES.limit, b"%.3f" % self.limit_per_s))
            if self.is_leaving:
                headers.append((HEADER_NAMES.leaving, b"1"))
            if self.pause_s is not None:
                status = 503
                headers += [
                    (HEADER_NAMES.not_run, b"busy"),
                    (b"retry-after", b"%.3f" % self.pause_s),
                ]
            if self.is_leaving or self.pause_s is not None:
                self.told_ms_by_instance.setdefault(name, self.clock.now_ms)
        attempt.on_response(UpstreamResponse(status, headers, b""))

    def most_in_window(self, start_ms: float) -> int:
        """Return the largest number of arrivals in any window after a time."""
        times_ms = [time_ms for time_ms in self.arrivals_ms if time_ms >= start_ms]
        return max(
            (
                sum(start <= time_ms < start + WINDOW_MS for time_ms in times_ms)
                for start in times_ms
            ),
            default=0,
        )
