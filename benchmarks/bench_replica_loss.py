"""Does coverage stay full when one replica of every fifth shard is lost?"""

from benchmarks._base import Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "replica loss"
RATE_PER_S = 40.0


async def _measure(prefer: str) -> Samples:
    deployment = Deployment(prefer=prefer)
    cluster = deployment.cluster()
    async with cluster.running():
        cluster.configure(deployment.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster)
        await load.warm_up(rate_per_s=RATE_PER_S, seconds=3)
        for number in range(0, deployment.services, 5):
            cluster.upstreams.by_name[f"match-{number:02}-0"].lost = True
        await load.run(rate_per_s=RATE_PER_S, seconds=8)
    return load.samples


def run() -> list[Row]:
    """Return the rows of this question."""
    rows = []
    cases = [("latency",), ("coverage",)]
    for (prefer,), samples in zip(cases, run_scenarios(_measure, cases), strict=True):
        incomplete = samples.uncovered + samples.failed
        rows += [
            Row(
                QUESTION,
                f"queries below full coverage, prefer={prefer}",
                incomplete,
                "== 0",
                incomplete == 0,
            ),
            Row(QUESTION, f"p99, prefer={prefer}, ms", samples.quantile(0.99)),
            Row(QUESTION, f"queries measured, prefer={prefer}", len(samples.items)),
        ]
    return rows
