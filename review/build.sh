#!/bin/sh
# The stand-ins are Python files that use the standard library only; this checks them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
'
