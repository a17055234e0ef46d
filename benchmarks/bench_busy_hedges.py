"""What do hedges cost when all replicas are busy?"""

import statistics

from fanout_queues import FanOutSimulation

from benchmarks._base import Row

QUESTION = "hedges to busy replicas"
SEEDS = range(5)
# From a calm day to twice what the searchers can carry.
UTILIZATIONS = (0.2, 0.5, 0.7, 0.83, 1.0, 2.0)


def _shares(*, only_free: bool, utilization: float) -> list[float]:
    return [
        FanOutSimulation(only_free=only_free, utilization=utilization, seed=seed).run()
        for seed in SEEDS
    ]


def run() -> list[Row]:
    """Compare hedges to any replica with hedges to free ones, at rising load."""
    rows = []
    for utilization in UTILIZATIONS:
        to_any = _shares(only_free=False, utilization=utilization)
        to_free = _shares(only_free=True, utilization=utilization)
        medians = statistics.median(to_any), statistics.median(to_free)
        at_load = f"in time, {utilization:.2f} of slots, to"
        spread = f"{min(to_any):.3f} to {max(to_any):.3f}"
        rows.append(Row(QUESTION, f"{at_load} any ({spread})", medians[0]))
        spread = f"{min(to_free):.3f} to {max(to_free):.3f}"
        # A fan-out on a calm day must not pay for the one on a bad day.
        rows.append(
            Row(
                QUESTION,
                f"{at_load} free ({spread})",
                medians[1],
                bar=">= any",
                met=medians[1] >= medians[0],
            )
        )
    return rows
