"""What is left of the goodput at twice the capacity, and how fast are refusals?"""

from benchmarks._base import Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "overload"
DEPLOYMENT = Deployment(services=10, service_ms=20.0)
CAPACITY_PER_S = 200.0
SECONDS = 6.0
MIN_GOODPUT_RATIO = 0.9
MAX_REFUSAL_MS = 10.0


async def _measure(load_factor: float) -> Samples:
    cluster = DEPLOYMENT.cluster()
    async with cluster.running():
        cluster.configure(DEPLOYMENT.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster, deadline_ms=300)
        await load.warm_up(rate_per_s=CAPACITY_PER_S / 4, seconds=3)
        await load.warm_up(rate_per_s=CAPACITY_PER_S * load_factor, seconds=2)
        await load.run(rate_per_s=CAPACITY_PER_S * load_factor, seconds=SECONDS)
    return load.samples


def run() -> list[Row]:
    """Return the rows of this question."""
    capacity, overload = run_scenarios(_measure, [(1.0,), (2.0,)])
    goodput_ratio = overload.goodput / max(1, capacity.goodput)
    refusal_times_ms = sorted(
        item.elapsed_ms for item in overload.items if item.error.endswith("not_run")
    )
    refusal_p50_ms = (
        refusal_times_ms[len(refusal_times_ms) // 2]
        if refusal_times_ms
        else float("inf")
    )
    return [
        Row(QUESTION, "goodput per s at capacity", capacity.goodput / SECONDS),
        Row(
            QUESTION, "goodput per s at twice the capacity", overload.goodput / SECONDS
        ),
        Row(
            QUESTION,
            "goodput at twice the capacity over goodput at capacity",
            goodput_ratio,
            f">= {MIN_GOODPUT_RATIO}",
            goodput_ratio >= MIN_GOODPUT_RATIO,
        ),
        Row(
            QUESTION,
            "median time to a refusal that was not run, ms",
            refusal_p50_ms,
            f"<= {MAX_REFUSAL_MS}",
            refusal_p50_ms <= MAX_REFUSAL_MS,
        ),
        Row(QUESTION, "answers below full coverage at twice", overload.uncovered),
        Row(QUESTION, "failed queries at twice", overload.failed),
    ]
