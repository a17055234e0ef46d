"""Runs independent scenarios in parallel processes.

The scenarios run on virtual time, so sharing the machine does not change their results.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from inprocess import run_virtual

MAX_PROCESSES = 4


def run_scenarios(
    function: Callable[..., Any], cases: list[tuple[Any, ...]]
) -> list[Any]:
    """Run an async function on virtual time once per case.

    Returns:
        The results in the order of the cases.
    """
    with ProcessPoolExecutor(max_workers=min(MAX_PROCESSES, len(cases))) as pool:
        futures = [pool.submit(run_virtual, function, *case) for case in cases]
        return [future.result() for future in futures]
