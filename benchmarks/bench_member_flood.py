"""Does one member at ten times its share move the tail of the others?"""

import anyio

from benchmarks._base import MEMBERS, Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "member flood"
DEPLOYMENT = Deployment(services=10, service_ms=20.0)
CAPACITY_PER_S = 200.0
# Each member has half of the capacity as its share. The quiet member uses a fifth of
# its share; the other member offers ten times its own.
QUIET_PER_S = CAPACITY_PER_S / 10
FLOOD_PER_S = CAPACITY_PER_S / 2 * 10
SECONDS = 4.0
MAX_P99_RATIO = 1.1


async def _measure(flood_per_s: float) -> Samples:
    cluster = DEPLOYMENT.cluster()
    async with cluster.running():
        cluster.configure(DEPLOYMENT.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster, deadline_ms=300)
        await load.warm_up(rate_per_s=CAPACITY_PER_S / 4, seconds=3)
        await load.warm_up(rate_per_s=CAPACITY_PER_S * 0.6, seconds=2)
        async with anyio.create_task_group() as group:
            group.start_soon(_send_flood, load, flood_per_s)
            await anyio.sleep(1)
            await load.run(rate_per_s=QUIET_PER_S, seconds=SECONDS, member=MEMBERS[0])
    return load.samples


async def _send_flood(load: Load, rate_per_s: float) -> None:
    await load.run(rate_per_s=rate_per_s, seconds=SECONDS + 1, member=MEMBERS[1])


def run() -> list[Row]:
    """Return the rows of this question."""
    fair_samples, flooded_samples = run_scenarios(
        _measure, [(CAPACITY_PER_S / 2,), (FLOOD_PER_S,)]
    )
    p99_ratio = flooded_samples.quantile(0.99, MEMBERS[0]) / fair_samples.quantile(
        0.99, MEMBERS[0]
    )
    quiet_samples = [
        item for item in flooded_samples.items if item.member == MEMBERS[0]
    ]
    full_coverage_share = sum(item.has_full_coverage for item in quiet_samples) / max(
        1, len(quiet_samples)
    )
    return [
        Row(
            QUESTION,
            "p99 of the other, at fair shares, ms",
            fair_samples.quantile(0.99, MEMBERS[0]),
        ),
        Row(
            QUESTION,
            "p99 of the other, flooded, ms",
            flooded_samples.quantile(0.99, MEMBERS[0]),
        ),
        Row(
            QUESTION,
            "p99 flooded over p99 at fair shares",
            p99_ratio,
            f"<= {MAX_P99_RATIO}",
            p99_ratio <= MAX_P99_RATIO,
        ),
        Row(
            QUESTION,
            "share of the other's queries with full coverage",
            full_coverage_share,
        ),
        Row(QUESTION, "other's queries measured", len(quiet_samples)),
    ]
