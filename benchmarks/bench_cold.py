"""Does the tier recover by itself when all upstreams turn cold at peak load?"""

from dataclasses import dataclass

import anyio

from benchmarks._base import Deployment, Load, Row, Samples
from benchmarks._parallel import run_scenarios

QUESTION = "all upstreams cold"
DEPLOYMENT = Deployment(services=10, service_ms=20.0)
# 10 services x 2 replicas x 2 slots / 20 ms can answer 200 queries/s.
CAPACITY_PER_S = 200.0
PEAK_SHARE = 0.7
# A cold upstream runs one request at a time, which is half of its slots, and is up to 3
# times slower. It is warm after 8 requests, that is within 0.5 s.
BEFORE_TURN_S = 4.0
AFTER_TURN_S = 8.0
MIN_GOODPUT_SHARE = 0.9


@dataclass(frozen=True)
class _Result:
    before_turn: Samples
    after_recovery: Samples
    after_turn: Samples
    cold_violations: int
    offered_after_recovery: float


async def _measure(announced: bool) -> _Result:
    cluster = DEPLOYMENT.cluster()
    rate_per_s = PEAK_SHARE * CAPACITY_PER_S
    async with cluster.running():
        cluster.configure(DEPLOYMENT.operator_file())
        await cluster.wait_until_owned()
        load = Load(cluster=cluster)
        await load.warm_up(rate_per_s=rate_per_s / 4, seconds=3)
        await load.warm_up(rate_per_s=rate_per_s, seconds=3)
        upstreams = cluster.upstreams.by_name.values()
        start_s = anyio.current_time()
        for item in upstreams:
            item.cold_violations = 0

        async def turn_cold() -> None:
            await anyio.sleep(BEFORE_TURN_S)
            for item in upstreams:
                item.turn_cold()
                if announced:
                    item.incarnation += 1
                    cluster.announce(item.current_announcement())

        async with anyio.create_task_group() as group:
            group.start_soon(turn_cold)
            await load.run(rate_per_s=rate_per_s, seconds=BEFORE_TURN_S + AFTER_TURN_S)
        cold_violations = sum(item.cold_violations for item in upstreams)
    turned_cold_s = start_s + BEFORE_TURN_S
    return _Result(
        load.samples.started_between(start_s, turned_cold_s),
        load.samples.started_between(
            turned_cold_s + AFTER_TURN_S / 2, turned_cold_s + AFTER_TURN_S + 1
        ),
        load.samples.started_between(turned_cold_s, turned_cold_s + AFTER_TURN_S + 1),
        cold_violations,
        rate_per_s * AFTER_TURN_S / 2,
    )


def run() -> list[Row]:
    """Return the rows of this question."""
    announced, unannounced = run_scenarios(_measure, [(True,), (False,)])
    rows = []
    for name, result in (("announced", announced), ("unannounced", unannounced)):
        goodput_share = result.after_recovery.goodput / max(
            1, len(result.after_recovery.items)
        )
        rows += [
            Row(
                QUESTION,
                f"goodput share from {AFTER_TURN_S / 2:.0f} s after the turn, {name}",
                goodput_share,
                f">= {MIN_GOODPUT_SHARE}",
                goodput_share >= MIN_GOODPUT_SHARE,
            ),
            Row(
                QUESTION,
                f"goodput share over the {AFTER_TURN_S:.0f} s after the turn, {name}",
                result.after_turn.goodput / max(1, len(result.after_turn.items)),
            ),
            Row(QUESTION, f"p99 before, ms, {name}", result.before_turn.quantile(0.99)),
        ]
    rows.append(
        Row(
            QUESTION,
            "cold bound exceeded, announced",
            announced.cold_violations,
            "== 0",
            announced.cold_violations == 0,
        )
    )
    upstreams = DEPLOYMENT.services * DEPLOYMENT.replicas
    rows.append(
        Row(
            QUESTION,
            "upstreams broken by an unannounced turn, of all",
            unannounced.cold_violations / upstreams,
        )
    )
    return rows
