"""Messages between control and entry instances."""

from dataclasses import dataclass

from cuminbend.consensus import (
    AppendReply,
    AppendRequest,
    IdentifyReply,
    IdentifyRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNowReply,
    TimeoutNowRequest,
    VoteReply,
    VoteRequest,
)
from cuminbend.registry import Registration

from cuminbendd.channel import Codec


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryInfo:
    """An entry instance that takes callers.

    Attributes:
        address: ``host:port`` for callers.
        helper_address: ``host:port`` at which it asks shards for other instances.
        is_busy: Whether it has little processor time left.
        is_active: Whether it holds connections to upstreams.
    """

    instance: str
    address: str
    data_centre: str
    helper_address: str = ""
    is_busy: bool = False
    is_active: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlInfo:
    """A control instance.

    Attributes:
        address: Channel address, by which the control group knows it.
        announce_address: ``host:port`` at which it takes heartbeats.
    """

    address: str
    announce_address: str
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """Starts a stream of updates.

    Attributes:
        instance: Name of the reader.
        data_centre: Where the reader runs.
        entry: What callers need to know of the reader, None for a control instance.
        control: The same for a control instance.
        version: Version of the configuration that the reader has.
    """

    instance: str
    data_centre: str
    entry: EntryInfo | None
    control: ControlInfo | None
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Heartbeat of the reader of a stream.

    Attributes:
        is_available: Whether an entry instance takes new callers.
        is_busy: Whether it has little processor time left.
        is_active: Whether it holds connections to upstreams.
        version: Version of the configuration that it has in force.
    """

    is_available: bool
    is_busy: bool
    is_active: bool
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """News since the last update of the stream; a heartbeat if there are none.

    Attributes:
        is_current: Whether the sender is in touch with a majority of the group and
            has what it has decided.
        is_full: Whether ``registrations`` is everything that the sender knows.
        registrations: Upstreams that changed.
        version: Version of the configuration in force.
        content: The configuration if the reader lacks it.
        evacuated: Data centres that get no work, if they changed.
        entries: Entry instances in the directory that are new or have changed, if
            there is any change.
        entries_gone: Entry instances that have left the directory.
        controls: All control instances known to the sender, if they changed.
    """

    is_current: bool
    is_full: bool = False
    registrations: tuple[Registration, ...] = ()
    version: int = 0
    content: bytes | None = None
    evacuated: tuple[str, ...] | None = None
    entries: tuple[EntryInfo, ...] | None = None
    entries_gone: tuple[str, ...] = ()
    controls: tuple[ControlInfo, ...] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeRequest:
    """Asks the leader to commit a command."""

    command: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeReply:
    """Whether the command was committed; if not, it may be committed later."""

    is_committed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRequest:
    """Asks the leader for the version in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadReply:
    """The version in force, or None if the leader is not sure of it."""

    version: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitRequest:
    """Asks to become a voter, or passes such a request on."""

    control: ControlInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitReply:
    """The control instances that the answering one knows."""

    controls: tuple[ControlInfo, ...]


CODEC = Codec(
    (
        AdmitReply,
        AdmitRequest,
        AppendReply,
        AppendRequest,
        Hello,
        IdentifyReply,
        IdentifyRequest,
        ProposeReply,
        ProposeRequest,
        ReadReply,
        ReadRequest,
        SnapshotReply,
        SnapshotRequest,
        Status,
        TimeoutNowReply,
        TimeoutNowRequest,
        Update,
        VoteReply,
        VoteRequest,
    )
)
