"""The uvicorn server of an instance."""

import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from cuminbend.exceptions import ConfigurationError
from starlette.applications import Starlette

# An idle caller connection is closed after this time. It is longer than callers keep
# the directory, so that a caller rarely uses a connection that was just closed.
KEEP_ALIVE_S = 30

_LISTEN_BACKLOG = 1024


class CallerServer(uvicorn.Server):
    """A uvicorn server without signal handlers; the instance handles signals."""

    def __init__(self, *, app: Starlette) -> None:
        super().__init__(
            uvicorn.Config(
                app,
                lifespan="off",
                log_config=None,
                access_log=False,
                timeout_keep_alive=KEEP_ALIVE_S,
                server_header=False,
            )
        )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def bind_socket(address: str) -> socket.socket:
    """Return a listening socket for ``address``.

    Raises:
        ConfigurationError: If the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host.strip("[]"), int(port)))
    except OSError as error:
        listener.close()
        raise ConfigurationError(
            [
                f"{address}: cannot be bound ({error.strerror}); check that the "
                "address belongs to this machine and that no other process uses it"
            ]
        ) from error
    listener.listen(_LISTEN_BACKLOG)
    listener.set_inheritable(True)
    return listener
