"""Do hedges keep the tail short when 2% of shard requests take 20 times longer?"""

from cuminbend.query import QuerySettings

from benchmarks._base import Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "stragglers"
RATE_PER_S = 60.0
SECONDS = 12.0
STRAGGLER_SHARE = 0.02
MAX_P99_RATIO = 1.3
MAX_ATTEMPTS_PER_SHARD = 1.05


async def _measure(straggler_share: float, settings: QuerySettings) -> Samples:
    deployment = Deployment()
    cluster = deployment.cluster(query_settings=settings)
    async with cluster.running():
        cluster.configure(deployment.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster)
        await load.warm_up(rate_per_s=RATE_PER_S, seconds=4)
        for upstream in cluster.upstreams.by_name.values():
            upstream.straggler_share = straggler_share
        await load.run(rate_per_s=RATE_PER_S, seconds=SECONDS)
    return load.samples


def run() -> list[Row]:
    """Return the rows of this question."""
    without_stragglers, hedged, without_hedges, fixed_delay = run_scenarios(
        _measure,
        [
            (0.0, QuerySettings()),
            (STRAGGLER_SHARE, QuerySettings()),
            (STRAGGLER_SHARE, QuerySettings(hedge_ratio=0.0)),
            (STRAGGLER_SHARE, QuerySettings(hedge_initial_ms=50.0, min_samples=10**9)),
        ],
    )
    p99_ratio = hedged.quantile(0.99) / without_stragglers.quantile(0.99)
    attempts_per_shard = hedged.attempts / hedged.shards_answered
    return [
        Row(QUESTION, "p99 without stragglers, ms", without_stragglers.quantile(0.99)),
        Row(QUESTION, "p99 with hedges, ms", hedged.quantile(0.99)),
        Row(QUESTION, "p99 without hedges, ms", without_hedges.quantile(0.99)),
        Row(
            QUESTION,
            "p99 with hedges after fixed 50 ms, ms",
            fixed_delay.quantile(0.99),
        ),
        Row(
            QUESTION,
            "p99 with stragglers over p99 without",
            p99_ratio,
            f"<= {MAX_P99_RATIO}",
            p99_ratio <= MAX_P99_RATIO,
        ),
        Row(
            QUESTION,
            "upstream attempts per shard answered",
            attempts_per_shard,
            f"<= {MAX_ATTEMPTS_PER_SHARD}",
            attempts_per_shard <= MAX_ATTEMPTS_PER_SHARD,
        ),
        Row(QUESTION, "mean coverage with hedges", hedged.mean_coverage),
        Row(QUESTION, "queries measured", len(hedged.items)),
    ]
