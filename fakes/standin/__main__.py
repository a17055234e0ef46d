"""Runs many stand-in upstreams in one process: ``python -m standin LAYOUT.json``."""

import sys
from pathlib import Path

import anyio
import orjson

from standin._server import Layout, serve

if __name__ == "__main__":
    layout = Layout(**orjson.loads(Path(sys.argv[1]).read_bytes()))
    try:
        anyio.run(serve, layout)
    except KeyboardInterrupt:
        pass
