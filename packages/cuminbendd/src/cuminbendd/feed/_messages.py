"""Messages of the feed."""

from dataclasses import dataclass

from cuminbend.crashes import CrashHistory, CrashReport
from cuminbend.newest import AppliedConfiguration, OverdueInstance
from cuminbend.registry import Registration, UpstreamStatement

from cuminbendd.channel import Codec


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryInfo:
    """Describes an entry instance.

    Attributes:
        address: ``host:port`` for callers.
        helper_address: ``host:port`` at which it receives tasks from other entry
            instances, to query shards for them; empty if it receives none.
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
    """Describes a control instance.

    Attributes:
        address: Channel address (``host:port``), its identity in the control group.
        announce_address: ``host:port`` at which it receives heartbeats of upstreams.
    """

    address: str
    announce_address: str
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message of a reader; it starts a stream of updates.

    Attributes:
        instance: Name of the reader.
        data_centre: Data centre in which the reader runs.
        entry: Describes the reader, None if it is a control instance.
        control: Describes the reader, None if it is an entry instance.
        version: Version of the configuration that the reader has, 0 if it has none.
    """

    instance: str
    data_centre: str
    entry: EntryInfo | None
    control: ControlInfo | None
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Heartbeat that the reader of a stream sends.

    Attributes:
        is_available: Whether an entry instance takes new callers.
        is_busy: Whether it has little processor time left.
        is_active: Whether it holds connections to upstreams.
        version: Version of the configuration that it uses.
        crash_report: Crashes of upstreams that the control group has yet to record.
        statements: What upstreams stated and the control group has yet to pass on.
        applied: The configuration that it uses, with details; None from a release that
            does not report them.
    """

    is_available: bool
    is_busy: bool
    is_active: bool
    version: int
    crash_report: CrashReport = CrashReport()
    statements: tuple[UpstreamStatement, ...] = ()
    applied: AppliedConfiguration | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """Changes since the last update of the stream; without any it is a heartbeat.

    Attributes:
        is_current: Whether the sender is in touch with a majority of the group and
            has applied what the group has committed.
        is_full: Whether ``registrations`` contains all upstreams that the sender knows,
            not only those that changed.
        registrations: Registrations of the upstreams that changed.
        version: Version of the configuration in force.
        content: The configuration if the reader does not have it, else None.
        evacuated: Data centres to which no work is sent, None if they did not change.
        entries: Entry instances in the directory that are new or have changed, None
            if the directory did not change.
        entries_gone: Names of the entry instances that have left the directory.
        controls: All control instances known to the sender, None if they did not
            change.
        collected_ms: Time for which the control instances that the sender knows have
            received heartbeats of upstreams; None from a version that does not state
            it.
        crash_histories: Requests whose crashes of upstreams have changed.
        statements: What upstreams have newly stated of themselves.
        overdue: Readers of the sender's feed that do not apply the configuration in
            time, None if they did not change. Sent to control instances only.
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
    collected_ms: float | None = None
    crash_histories: tuple[CrashHistory, ...] = ()
    statements: tuple[UpstreamStatement, ...] = ()
    overdue: tuple[OverdueInstance, ...] | None = None


# Messages of the feed; control instances exchange further ones.
FEED_MESSAGES = (Hello, Status, Update)
FEED_CODEC = Codec(FEED_MESSAGES)
