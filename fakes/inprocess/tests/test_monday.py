"""One session with the faults of a bad day, second by second."""

from collections import Counter

import anyio
from syrupy.assertion import SnapshotAssertion

from inprocess import FakeCluster, run_virtual
from inprocess.tests._session import (
    DATA_CENTRES,
    Callers,
    directory,
    make_cluster,
    operator_file,
)

SEED = 20261207
SECONDS = 28
RATE_PER_S = 20
OUT = "galway"
OUT_S, BACK_S = 4, 10
CUT, CUT_S, RETURN_S = "entry-3", 14, 19
COLD, COLD_S = "match-1-0", 22
LOST, LOST_S = "match-2-1", 25
COLD_TURNS = 1


class Session:
    def __init__(self) -> None:
        self.cluster = make_cluster(seed=SEED)
        self.callers = Callers(self.cluster)
        self.lines: list[str] = []
        self.last_work_after_apply_ms = float("-inf")

    async def run(self) -> None:
        async with self.cluster.running():
            self.cluster.configure(operator_file())
            await self.cluster.wait_until_owned()
            # Lines are per second from a whole second on.
            await anyio.sleep_until(int(anyio.current_time()) + 1)
            async with anyio.create_task_group() as group:
                group.start_soon(self._call)
                await self._operate()

    async def _call(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(SECONDS * RATE_PER_S):
                usable = directory(self.cluster)
                group.start_soon(
                    self.callers.search,
                    usable[number % len(usable)],
                    f"q-{number}",
                    b"query %d" % (number % 200),
                )
                await anyio.sleep(1 / RATE_PER_S)

    async def _operate(self) -> None:
        start_s = int(anyio.current_time())
        before = self._totals()
        for second in range(SECONDS):
            event = self._event(second)
            await anyio.sleep_until(start_s + second + 1)
            now = self._totals()
            counts = self.callers.counts.get(start_s + second, Counter())
            self.lines.append(line(second, counts, now - before, event))
            before = now

    def _totals(self) -> Counter[str]:
        totals = Counter[str]()
        for upstream in self.cluster.upstreams.by_name.values():
            totals[upstream.announcement.data_centre] += upstream.runs
            totals["violations"] += upstream.cold_violations
        return totals

    def _event(self, second: int) -> str:
        cluster = self.cluster
        match second:
            case _ if second == OUT_S:
                self._out_ms = anyio.current_time() * 1000
                cluster.configure(operator_file(out=OUT))
                return f"{OUT} out"
            case _ if second == BACK_S:
                self.last_work_after_apply_ms = last_work_ms(cluster) - self._out_ms
                for upstream in there(cluster):
                    upstream.turn_cold()
                cluster.configure(operator_file())
                return f"{OUT} back"
            case _ if second == CUT_S:
                cluster.instances[CUT].cut_off()
                return f"{CUT} cut off"
            case _ if second == RETURN_S:
                cluster.instances[CUT].reconnect()
                return f"{CUT} returns"
            case _ if second == COLD_S:
                cluster.upstreams.by_name[COLD].turn_cold()
                return f"{COLD} turns cold"
            case _ if second == LOST_S:
                cluster.upstreams.by_name[LOST].lost = True
                return f"{LOST} lost"
        return ""


def there(cluster: FakeCluster) -> list:
    return [
        item
        for item in cluster.upstreams.by_name.values()
        if item.announcement.data_centre == OUT
    ]


def last_work_ms(cluster: FakeCluster) -> float:
    return max(item.last_run_ms for item in there(cluster))


def line(second: int, counts: Counter, done: Counter, event: str) -> str:
    requests = " ".join(f"{name}={done[name]:3}" for name in DATA_CENTRES)
    return (
        f"{second:02} full={counts['full']:2} partial={counts['partial']:2} "
        f"not_run={counts['not_run']:2} ran={counts['ran']:2} "
        f"unknown={counts['unknown']:2} | {requests} | "
        f"cold_violations={done['violations']} | {event}"
    ).rstrip(" |")


def test_session_is_as_recorded_and_within_bounds(snapshot: SnapshotAssertion) -> None:
    """Guards against a fault that shows only when all parts work together."""
    session = Session()
    run_virtual(session.run, seed=SEED)

    assert session.callers.problems == []
    assert session.last_work_after_apply_ms <= session.cluster.lease_ms
    violations = sum(
        item.cold_violations for item in session.cluster.upstreams.by_name.values()
    )
    assert violations <= COLD_TURNS
    assert "\n".join(session.lines) == snapshot
