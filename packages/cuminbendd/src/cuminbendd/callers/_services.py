"""Parts of an instance that the endpoints use."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cuminbend.accounts import MemberAccounts
from cuminbend.ports import Clock, ControlPort, RandomSource
from cuminbend.query import QueryCoordinator
from cuminbend.replicated import ReplicatedState
from cuminbend.sessions import SessionClient
from cuminbend.submit import SubmitCoordinator

from cuminbendd.searchers import UpstreamFormat
from cuminbendd.settings import InstanceSettings


@dataclass(frozen=True)
class CallerServices:
    """Parts of an instance that the HTTP application uses.

    Attributes:
        state: State machine of a voter, or None on an instance without a disk.
        dump: Returns the state dump of the process.
        stop: Starts a planned stop of the instance.
    """

    settings: InstanceSettings
    sessions: SessionClient
    queries: QueryCoordinator
    submits: SubmitCoordinator
    control: ControlPort
    accounts: MemberAccounts
    state: ReplicatedState | None
    upstream_format: UpstreamFormat
    clock: Clock
    random: RandomSource
    dump: Callable[[], dict[str, Any]]
    stop: Callable[[], None]
