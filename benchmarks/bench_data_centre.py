"""What does it cost to take a data centre out and to bring it back under load?"""

from collections import Counter
from dataclasses import dataclass

import anyio

from benchmarks._base import DATA_CENTRES, Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "data centre out and back"
RATE_PER_S = 40.0
PHASE_S = 8.0
EVACUATED_DATA_CENTRE = DATA_CENTRES[1]
MAX_P99_RATIO = 1.5
MAX_LAST_WORK_S = 3.0


@dataclass(frozen=True)
class _Result:
    before: Samples
    during_change: Samples
    last_work_s: float
    cold_violations: int


async def _measure(seed: int) -> _Result:
    deployment = Deployment(seed=seed)
    cluster = deployment.cluster()
    async with cluster.running():
        cluster.configure(deployment.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster, seed=seed)
        await load.warm_up(rate_per_s=RATE_PER_S, seconds=4)
        start_s = anyio.current_time()
        last_work_s = 0.0

        async def change_service_state() -> None:
            nonlocal last_work_s
            await anyio.sleep(PHASE_S)
            evacuated_s = anyio.current_time()
            cluster.configure(
                deployment.operator_file(evacuated=[EVACUATED_DATA_CENTRE])
            )
            await anyio.sleep(PHASE_S)
            upstreams = [
                item
                for item in cluster.upstreams.by_name.values()
                if item.announcement.data_centre == EVACUATED_DATA_CENTRE
            ]
            last_work_s = (
                max(item.last_run_ms for item in upstreams) / 1000 - evacuated_s
            )
            for item in upstreams:
                item.turn_cold()
            cluster.configure(deployment.operator_file())

        async with anyio.create_task_group() as group:
            group.start_soon(change_service_state)
            await load.run(
                rate_per_s=RATE_PER_S,
                seconds=3 * PHASE_S,
                is_usable=lambda name: _is_in_directory(cluster, name),
            )
        violations = sum(
            item.cold_violations for item in cluster.upstreams.by_name.values()
        )
    samples = load.samples
    return _Result(
        samples.started_between(start_s, start_s + PHASE_S),
        samples.started_between(start_s + PHASE_S, start_s + 3 * PHASE_S + 1),
        last_work_s,
        violations,
    )


def _is_in_directory(cluster: object, name: str) -> bool:
    instances = cluster.instances  # type: ignore[attr-defined]
    directory_instance = next(
        item for item in instances.values() if item.data_centre != EVACUATED_DATA_CENTRE
    )
    return name in {info.instance for info in directory_instance.view.instances}


def run() -> list[Row]:
    """Return the rows of this question."""
    results = run_scenarios(_measure, [(1,), (2,), (3,)])
    failed = sum(item.during_change.failed for item in results)
    uncovered = sum(item.during_change.uncovered for item in results)
    violations = sum(item.cold_violations for item in results)
    latest_work_s = max(item.last_work_s for item in results)
    p99_ratios = [
        i.during_change.quantile(0.99) / i.before.quantile(0.99) for i in results
    ]
    median_p99_ratio = sorted(p99_ratios)[1]
    return [
        Row(QUESTION, "failed queries", failed, "== 0", failed == 0),
        *(
            Row(QUESTION, f"of them {kind}", count)
            for kind, count in Counter(
                sample.error
                for item in results
                for sample in item.during_change.items
                if sample.error
            ).items()
        ),
        Row(QUESTION, "queries below full coverage", uncovered, "== 0", uncovered == 0),
        Row(
            QUESTION,
            "p99 during the change over p99 before (median of 3 seeds)",
            median_p99_ratio,
            f"<= {MAX_P99_RATIO}",
            median_p99_ratio <= MAX_P99_RATIO,
        ),
        Row(
            QUESTION,
            "last new work there after the apply, s",
            latest_work_s,
            f"<= {MAX_LAST_WORK_S}",
            latest_work_s <= MAX_LAST_WORK_S,
        ),
        Row(QUESTION, "cold bound exceeded", violations, "== 0", violations == 0),
    ]
