"""Does the tier recover by itself when all upstreams turn cold at peak load?"""

from dataclasses import dataclass

import anyio

from benchmarks._base import Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "all upstreams cold"
DEPLOYMENT = Deployment(services=10, service_ms=20.0)
# 10 services x 2 replicas x 2 slots / 20 ms carry 200 queries/s.
CAPACITY_PER_S = 200.0
PEAK_SHARE = 0.7
# Cold upstreams bear one request each, half of the capacity, and are up to 3 times
# slower; they are warm after 8 requests, that is within 0.5 s.
BEFORE_S = 4.0
AFTER_S = 8.0
MIN_GOODPUT = 0.9


@dataclass(frozen=True)
class _Result:
    before: Samples
    recovered: Samples
    overall: Samples
    violations: int
    offered_recovered: float


async def _measure(announced: bool) -> _Result:
    cluster = DEPLOYMENT.cluster()
    rate = PEAK_SHARE * CAPACITY_PER_S
    async with cluster.running():
        cluster.configure(DEPLOYMENT.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster)
        await load.warm_up(rate_per_s=rate / 4, seconds=3)
        await load.warm_up(rate_per_s=rate, seconds=3)
        upstreams = cluster.upstreams.by_name.values()
        start_s = anyio.current_time()
        for item in upstreams:
            item.cold_violations = 0

        async def turn_cold() -> None:
            await anyio.sleep(BEFORE_S)
            for item in upstreams:
                item.turn_cold()
                if announced:
                    item.incarnation += 1
                    cluster.announce(item.current_announcement())

        async with anyio.create_task_group() as group:
            group.start_soon(turn_cold)
            await load.run(rate_per_s=rate, seconds=BEFORE_S + AFTER_S)
        violations = sum(item.cold_violations for item in upstreams)
    cold_s = start_s + BEFORE_S
    return _Result(
        load.samples.between(start_s, cold_s),
        load.samples.between(cold_s + AFTER_S / 2, cold_s + AFTER_S + 1),
        load.samples.between(cold_s, cold_s + AFTER_S + 1),
        violations,
        rate * AFTER_S / 2,
    )


def run() -> list[Row]:
    """Return the rows of this question."""
    announced, silent = run_scenarios(_measure, [(True,), (False,)])
    rows = []
    for name, result in (("announced", announced), ("unannounced", silent)):
        share = result.recovered.goodput / max(1, len(result.recovered.items))
        rows += [
            Row(
                QUESTION,
                f"goodput share from {AFTER_S / 2:.0f} s after the turn, {name}",
                share,
                f">= {MIN_GOODPUT}",
                share >= MIN_GOODPUT,
            ),
            Row(
                QUESTION,
                f"goodput share over the {AFTER_S:.0f} s after the turn, {name}",
                result.overall.goodput / max(1, len(result.overall.items)),
            ),
            Row(QUESTION, f"p99 before, ms, {name}", result.before.quantile(0.99)),
        ]
    rows.append(
        Row(
            QUESTION,
            "cold bound exceeded, announced",
            announced.violations,
            "== 0",
            announced.violations == 0,
        )
    )
    upstreams = DEPLOYMENT.services * DEPLOYMENT.replicas
    rows.append(
        Row(
            QUESTION,
            "upstreams broken by an unannounced turn, of all",
            silent.violations / upstreams,
        )
    )
    return rows
