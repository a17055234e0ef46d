"""Protocols of the external resources that the library uses."""

from cuminbend.ports._clock import Clock, RandomSource, milliseconds
from cuminbend.ports._disk import Disk
from cuminbend.ports._dispatch import (
    ControlPort,
    ExchangeObserver,
    ShardDispatcher,
    UpstreamTransport,
)
from cuminbend.ports._peers import ConsensusTransport, PollTransport

__all__ = [
    "Clock",
    "ConsensusTransport",
    "ControlPort",
    "Disk",
    "ExchangeObserver",
    "PollTransport",
    "RandomSource",
    "ShardDispatcher",
    "UpstreamTransport",
    "milliseconds",
]
