"""What do hedges cost when all replicas are busy?"""

import statistics

from fanout_queues import FanOutSimulation

from benchmarks._base import Row

QUESTION = "hedges to busy replicas"
SEEDS = range(5)
# From low load to twice the capacity of the searchers.
UTILIZATIONS = (0.2, 0.5, 0.7, 0.83, 1.0, 2.0)


def _simulate_in_time_shares(*, only_free: bool, utilization: float) -> list[float]:
    return [
        FanOutSimulation(only_free=only_free, utilization=utilization, seed=seed).run()
        for seed in SEEDS
    ]


def run() -> list[Row]:
    """Compare hedges to any replica with hedges to free ones, at rising load."""
    rows = []
    for utilization in UTILIZATIONS:
        any_replica_shares = _simulate_in_time_shares(
            only_free=False, utilization=utilization
        )
        free_replica_shares = _simulate_in_time_shares(
            only_free=True, utilization=utilization
        )
        medians = (
            statistics.median(any_replica_shares),
            statistics.median(free_replica_shares),
        )
        measure_prefix = f"in time, {utilization:.2f} of slots, to"
        share_range = f"{min(any_replica_shares):.3f} to {max(any_replica_shares):.3f}"
        rows.append(Row(QUESTION, f"{measure_prefix} any ({share_range})", medians[0]))
        share_range = (
            f"{min(free_replica_shares):.3f} to {max(free_replica_shares):.3f}"
        )
        # The rule that helps at high load must not cost answers at low load.
        rows.append(
            Row(
                QUESTION,
                f"{measure_prefix} free ({share_range})",
                medians[1],
                bar=">= any",
                met=medians[1] >= medians[0],
            )
        )
    return rows
