"""HTTP server for callers, upstreams that announce themselves, and operators."""

from cuminbendd.callers._app import make_app
from cuminbendd.callers._server import CallerServer, bind_socket
from cuminbendd.callers._services import CallerServices

__all__ = ["CallerServer", "CallerServices", "bind_socket", "make_app"]
