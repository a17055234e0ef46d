"""gRPC between instances."""

from cuminbendd.peers._client import PeerClients
from cuminbendd.peers._control import ControlClient
from cuminbendd.peers._relay import RelayDispatcher, RelayService
from cuminbendd.peers._server import ConsensusService, ControlService, start_server

__all__ = [
    "ConsensusService",
    "ControlClient",
    "ControlService",
    "PeerClients",
    "RelayDispatcher",
    "RelayService",
    "start_server",
]
