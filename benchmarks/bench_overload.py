"""What is left of the goodput at twice the capacity, and how fast are refusals?"""

from benchmarks._base import Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "overload"
DEPLOYMENT = Deployment(services=10, service_ms=20.0)
CAPACITY_PER_S = 200.0
SECONDS = 6.0
MIN_GOODPUT = 0.9
MAX_REFUSAL_MS = 10.0


async def _measure(factor: float) -> Samples:
    cluster = DEPLOYMENT.cluster()
    async with cluster.running():
        cluster.configure(DEPLOYMENT.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster, deadline_ms=300)
        await load.warm_up(rate_per_s=CAPACITY_PER_S / 4, seconds=3)
        await load.warm_up(rate_per_s=CAPACITY_PER_S * factor, seconds=2)
        await load.run(rate_per_s=CAPACITY_PER_S * factor, seconds=SECONDS)
    return load.samples


def run() -> list[Row]:
    """Return the rows of this question."""
    capacity, double = run_scenarios(_measure, [(1.0,), (2.0,)])
    ratio = double.goodput / max(1, capacity.goodput)
    refusals = sorted(
        item.elapsed_ms for item in double.items if item.error.endswith("not_run")
    )
    refusal_p50 = refusals[len(refusals) // 2] if refusals else float("inf")
    return [
        Row(QUESTION, "goodput per s at capacity", capacity.goodput / SECONDS),
        Row(QUESTION, "goodput per s at twice the capacity", double.goodput / SECONDS),
        Row(
            QUESTION,
            "goodput at twice the capacity over goodput at capacity",
            ratio,
            f">= {MIN_GOODPUT}",
            ratio >= MIN_GOODPUT,
        ),
        Row(
            QUESTION,
            "median time to a refusal that was not run, ms",
            refusal_p50,
            f"<= {MAX_REFUSAL_MS}",
            refusal_p50 <= MAX_REFUSAL_MS,
        ),
        Row(QUESTION, "answers below full coverage at twice", double.uncovered),
        Row(QUESTION, "failed queries at twice", double.failed),
    ]
