"""One scenario with several faults in turn, compared second by second."""

from collections import Counter

import anyio
from syrupy.assertion import SnapshotAssertion

from inprocess import FakeCluster, run_virtual
from inprocess.tests._scenario import (
    DATA_CENTRES,
    Callers,
    instances_in_directory,
    make_cluster,
    operator_file,
)

SEED = 20261207
SECONDS = 28
RATE_PER_S = 20
EVACUATED_DATA_CENTRE = "galway"
EVACUATION_S, RETURN_TO_SERVICE_S = 4, 10
CUT_OFF_INSTANCE, CUT_OFF_S, RECONNECT_S = "entry-3", 14, 19
COLD_UPSTREAM, COLD_S = "match-1-0", 22
LOST_UPSTREAM, LOST_S = "match-2-1", 25
MAX_COLD_VIOLATIONS = 1


class FaultScenario:
    def __init__(self) -> None:
        self.cluster = make_cluster(seed=SEED)
        self.callers = Callers(self.cluster)
        self.lines: list[str] = []
        self.last_work_after_apply_ms = float("-inf")

    async def run(self) -> None:
        async with self.cluster.running():
            self.cluster.configure(operator_file())
            await self.cluster.wait_until_owned()
            # Each line covers one whole second.
            await anyio.sleep_until(int(anyio.current_time()) + 1)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_searches)
                await self._run_timeline()

    async def _send_searches(self) -> None:
        async with anyio.create_task_group() as group:
            for number in range(SECONDS * RATE_PER_S):
                instances = instances_in_directory(self.cluster)
                group.start_soon(
                    self.callers.search,
                    instances[number % len(instances)],
                    f"q-{number}",
                    b"query %d" % (number % 200),
                )
                await anyio.sleep(1 / RATE_PER_S)

    async def _run_timeline(self) -> None:
        start_s = int(anyio.current_time())
        totals_before = self._count_totals()
        for second in range(SECONDS):
            fault = self._cause_fault(second)
            await anyio.sleep_until(start_s + second + 1)
            totals = self._count_totals()
            result_counts = self.callers.result_counts.get(start_s + second, Counter())
            self.lines.append(
                format_line(second, result_counts, totals - totals_before, fault)
            )
            totals_before = totals

    def _count_totals(self) -> Counter[str]:
        totals = Counter[str]()
        for upstream in self.cluster.upstreams.by_name.values():
            totals[upstream.announcement.data_centre] += upstream.runs
            totals["violations"] += upstream.cold_violations
        return totals

    def _cause_fault(self, second: int) -> str:
        cluster = self.cluster
        match second:
            case _ if second == EVACUATION_S:
                self._out_ms = anyio.current_time() * 1000
                cluster.configure(operator_file(evacuated=EVACUATED_DATA_CENTRE))
                return f"{EVACUATED_DATA_CENTRE} out"
            case _ if second == RETURN_TO_SERVICE_S:
                self.last_work_after_apply_ms = last_run_ms(cluster) - self._out_ms
                for upstream in evacuated_upstreams(cluster):
                    upstream.turn_cold()
                cluster.configure(operator_file())
                return f"{EVACUATED_DATA_CENTRE} back"
            case _ if second == CUT_OFF_S:
                cluster.instances[CUT_OFF_INSTANCE].cut_off()
                return f"{CUT_OFF_INSTANCE} cut off"
            case _ if second == RECONNECT_S:
                cluster.instances[CUT_OFF_INSTANCE].reconnect()
                return f"{CUT_OFF_INSTANCE} returns"
            case _ if second == COLD_S:
                cluster.upstreams.by_name[COLD_UPSTREAM].turn_cold()
                return f"{COLD_UPSTREAM} turns cold"
            case _ if second == LOST_S:
                cluster.upstreams.by_name[LOST_UPSTREAM].lost = True
                return f"{LOST_UPSTREAM} lost"
        return ""


def evacuated_upstreams(cluster: FakeCluster) -> list:
    return [
        item
        for item in cluster.upstreams.by_name.values()
        if item.announcement.data_centre == EVACUATED_DATA_CENTRE
    ]


def last_run_ms(cluster: FakeCluster) -> float:
    return max(item.last_run_ms for item in evacuated_upstreams(cluster))


def format_line(
    second: int, result_counts: Counter, increases: Counter, fault: str
) -> str:
    requests = " ".join(f"{name}={increases[name]:3}" for name in DATA_CENTRES)
    return (
        f"{second:02} full={result_counts['full']:2} "
        f"partial={result_counts['partial']:2} "
        f"not_run={result_counts['not_run']:2} ran={result_counts['ran']:2} "
        f"unknown={result_counts['unknown']:2} | {requests} | "
        f"cold_violations={increases['violations']} | {fault}"
    ).rstrip(" |")


def test_scenario_matches_recording_and_bounds(snapshot: SnapshotAssertion) -> None:
    """Guards against failures that only show when all components run together."""
    scenario = FaultScenario()
    run_virtual(scenario.run, seed=SEED)

    assert scenario.callers.problems == []
    assert scenario.last_work_after_apply_ms <= scenario.cluster.lease_ms
    cold_violations = sum(
        item.cold_violations for item in scenario.cluster.upstreams.by_name.values()
    )
    assert cold_violations <= MAX_COLD_VIOLATIONS
    assert "\n".join(scenario.lines) == snapshot
