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

RESULTS = Path(__file__).parent / "results" / "latest.json"


def _modules(names: list[str]) -> list[str]:
    found = [
        module.name
        for module in pkgutil.iter_modules(benchmarks.__path__)
        if module.name.startswith("bench_")
    ]
    return [name for name in found if not names or name.removeprefix("bench_") in names]


def _print(row: Row) -> None:
    verdict = {True: "met", False: "MISSED", None: ""}[row.met]
    print(
        f"  {row.measure:<64} {row.value:>12.3f}  {row.bar:<10} {verdict}", flush=True
    )


def main() -> int:
    """Run the benchmarks; the exit code is 1 if a bar was missed."""
    rows: list[Row] = []
    for name in _modules(sys.argv[1:]):
        started_s = time.monotonic()
        module = importlib.import_module(f"benchmarks.{name}")
        print(f"{name}: {module.__doc__.splitlines()[0]}", flush=True)
        found = module.run()
        for row in found:
            _print(row)
        print(f"  ({time.monotonic() - started_s:.0f} s)", flush=True)
        rows += found
    RESULTS.parent.mkdir(exist_ok=True)
    document = {
        "seed": SEED,
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "rows": [asdict(row) for row in rows],
    }
    RESULTS.write_text(json.dumps(document, indent=2))
    missed = [row for row in rows if row.met is False]
    print(f"{len(missed)} bars missed of {sum(row.met is not None for row in rows)}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
