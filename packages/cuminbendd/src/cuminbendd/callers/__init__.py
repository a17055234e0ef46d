"""HTTP server for callers, upstreams that announce themselves, and operators."""

from cuminbendd.callers._app import CallerServices, make_app
from cuminbendd.callers._server import CallerServer, bind_socket

__all__ = ["CallerServer", "CallerServices", "bind_socket", "make_app"]
