#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
PYTHONPATH=review/common python3 -B -c "import harness" || exit 2
exec python3 -B "$folder/case.py"
