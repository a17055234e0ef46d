"""Runs all benchmarks, or those named, and prints a table.

Usage: ``python -m benchmarks [NAME ...]``, for instance ``stragglers overload``.
Results are also written to ``benchmarks/results/latest.json``.
"""

import importlib
import json
import os
import pkgutil
import platform
import sys
import time
from dataclasses import asdict
from pathlib import Path

import benchmarks
from benchmarks._base import SEED, Row

RESULTS_PATH = Path(__file__).parent / "results" / "latest.json"


def _find_module_names(names: list[str]) -> list[str]:
    module_names = [
        module.name
        for module in pkgutil.iter_modules(benchmarks.__path__)
        if module.name.startswith("bench_")
    ]
    return [
        name
        for name in module_names
        if not names or name.removeprefix("bench_") in names
    ]


def _print_row(row: Row) -> None:
    verdict = {True: "met", False: "MISSED", None: ""}[row.met]
    print(
        f"  {row.measure:<64} {row.value:>12.3f}  {row.bar:<10} {verdict}", flush=True
    )


def main() -> int:
    """Run the benchmarks and return the exit code: 1 if a bound was missed, else 0."""
    rows: list[Row] = []
    for name in _find_module_names(sys.argv[1:]):
        started_s = time.monotonic()
        module = importlib.import_module(f"benchmarks.{name}")
        print(f"{name}: {module.__doc__.splitlines()[0]}", flush=True)
        module_rows = module.run()
        for row in module_rows:
            _print_row(row)
        print(f"  ({time.monotonic() - started_s:.0f} s)", flush=True)
        rows += module_rows
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    document = {
        "seed": SEED,
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "rows": [asdict(row) for row in rows],
    }
    RESULTS_PATH.write_text(json.dumps(document, indent=2))
    missed_rows = [row for row in rows if row.met is False]
    print(
        f"{len(missed_rows)} bars missed of {sum(row.met is not None for row in rows)}"
    )
    return 1 if missed_rows else 0


if __name__ == "__main__":
    sys.exit(main())
