"""Tests of limits that an upstream states, summed over all instances."""

import random
from collections import deque

import pytest
from cuminbend.crashes import CrashSettings, CrashSuspects
from cuminbend.forwarding import (
    HedgeDelay,
    RecoveryEstimate,
    RecoverySettings,
    RoutingTable,
    ServicePolicy,
    parse_limit,
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
ANSWER_MS = 30.0
# News of the control group reach the instances at this interval.
NEWS_INTERVAL_MS = 500.0
# The bound holds from this time after the limit was first stated.
GRACE_MS = 4000.0
WINDOW_MS = 4000.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def make_registration() -> Registration:
    return Registration(
        upstream="u",
        service=SERVICE,
        address="127.0.0.1:9",
        # Not the data centre of the instances, so no connection is opened early.
        data_centre="b",
        slots=100,
        state=UpstreamState.READY,
        cold_left_ms=0.0,
        incarnation_ms=1,
        sequence=1,
        holder="c",
    )


class LimitedFleet:
    """Entry instances and one upstream with a limit, on virtual time.

    Attributes:
        arrivals_ms: Times at which requests reached the upstream.
        limit_per_s: Limit that the upstream states in its answers, or None.
    """

    def __init__(self, instance_count: int, limit_per_s: float | None) -> None:
        self.clock = SettableClock()
        self.limit_per_s = limit_per_s
        self.arrivals_ms: list[float] = []
        self._record = StatementTable()
        self._sent_revision = 0
        self.names = [f"e{number}" for number in range(instance_count)]
        self.directories = {name: self._new_directory(name) for name in self.names}
        self.set_entries(self.names)
        self._open: deque[tuple[float, Attempt]] = deque()
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
        directory.merge_registrations([make_registration()], is_full=True)
        return directory

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
                self._answer(self._open.popleft()[1])
            if self.clock.now_ms >= self._news_due_ms:
                self._news_due_ms = self.clock.now_ms + NEWS_INTERVAL_MS
                self.exchange_news()
            if self._rng.random() < load_per_s * STEP_MS / 1000:
                self._send(self._rng.choice(list(self.directories.values())))

    def _send(self, directory: UpstreamDirectory) -> None:
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
        self.arrivals_ms.append(self.clock.now_ms)
        self._open.append((self.clock.now_ms + ANSWER_MS, attempt))

    def _answer(self, attempt: Attempt) -> None:
        headers = []
        if self.limit_per_s is not None:
            headers = [(HEADER_NAMES.limit, b"%.3f" % self.limit_per_s)]
        attempt.on_response(UpstreamResponse(200, headers, b""))

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


def allowed_in_window(limit_per_s: float) -> float:
    return ALLOWED_FACTOR * limit_per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA


@pytest.mark.parametrize(
    ("instance_count", "limit_per_s", "load_per_s"),
    [(8, 9.1, 30.0), (8, 1.1, 12.0), (8, 0.0, 12.0), (40, 5.0, 60.0), (80, 1.0, 60.0)],
)
def test_stated_limit_holds_for_the_sum_over_instances(
    instance_count: int, limit_per_s: float, load_per_s: float
) -> None:
    """Guards against instances that each keep the limit but pass it together."""
    fleet = LimitedFleet(instance_count, limit_per_s)
    fleet.run(20_000.0, load_per_s=load_per_s)
    assert fleet.most_in_window(GRACE_MS) <= allowed_in_window(limit_per_s)


def test_stated_limit_holds_while_instances_restart() -> None:
    """Guards against a limit that new instances, or those left, do not keep."""
    fleet = LimitedFleet(8, 5.0)
    fleet.run(6000.0, load_per_s=40.0)
    for name in fleet.names[:4]:
        fleet.replace_instance(name)
        fleet.run(1500.0, load_per_s=40.0)
    assert fleet.most_in_window(GRACE_MS) <= allowed_in_window(5.0)


@pytest.mark.parametrize(("instance_count", "limit_per_s"), [(8, 9.1), (8, 1.1)])
def test_stated_limit_is_used(instance_count: int, limit_per_s: float) -> None:
    """Guards against parts of the limit that are lost among the instances."""
    fleet = LimitedFleet(instance_count, limit_per_s)
    fleet.run(5000.0, load_per_s=10 * limit_per_s)
    start_ms = fleet.clock.now_ms
    fleet.run(20_000.0, load_per_s=10 * limit_per_s)
    sent = sum(time_ms > start_ms for time_ms in fleet.arrivals_ms)
    assert sent >= 0.8 * limit_per_s * 20.0


def test_end_of_a_limit_reaches_all_instances() -> None:
    """Guards against an upstream that stays out of use after its need has ended."""
    fleet = LimitedFleet(40, 0.0)
    fleet.run(8000.0, load_per_s=60.0)
    fleet.limit_per_s = None
    fleet.run(12_000.0, load_per_s=60.0)
    start_ms = fleet.clock.now_ms
    fleet.run(2000.0, load_per_s=60.0)
    sent = sum(time_ms > start_ms for time_ms in fleet.arrivals_ms)
    assert sent == pytest.approx(120, rel=0.3)
    for directory in fleet.directories.values():
        assert directory.report_statements() == ()


@pytest.mark.parametrize(
    "value", [b"-1", b"nan", b"inf", b"1e400", b"many", b"", b"1,5", b"9" * 400]
)
def test_unusable_statement_limits_nothing(value: bytes) -> None:
    """Guards against a statement that stops an instance or takes an upstream out."""
    assert parse_limit(value) is None


def test_limit_that_changes_with_each_answer_is_kept() -> None:
    """Guards against reports and shares that grow with the changes of a limit."""
    fleet = LimitedFleet(8, 5.0)
    for step in range(100):
        fleet.limit_per_s = 5.0 if step % 2 else 50.0
        fleet.run(100.0, load_per_s=40.0)
        for directory in fleet.directories.values():
            assert len(directory.report_statements()) <= 1
