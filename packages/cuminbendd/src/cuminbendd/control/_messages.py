"""Messages between control instances."""

from dataclasses import dataclass, field

from cuminbend.consensus import CONSENSUS_MESSAGES
from cuminbend.registry import Registration

from cuminbendd.channel import Codec
from cuminbendd.feed import FEED_MESSAGES, ControlInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeRequest:
    """Asks the leader to commit an encoded command."""

    command: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposeReply:
    """Reports whether a command was committed; if not, it may be committed later.

    Attributes:
        is_outdated: Whether it is committed without effect, because another command
            took its position.
    """

    is_committed: bool
    is_outdated: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRequest:
    """Asks the leader for the version in force and the latest evacuations."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadReply:
    """Contains the version in force, or None if the leader cannot confirm it.

    Attributes:
        evacuation_numbers: Number of the latest evacuation or withdrawal by data
            centre.
    """

    version: int | None
    evacuation_numbers: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitRequest:
    """Asks the receiver to make a control instance a voter.

    The request may come from that instance, or be passed on to the leader.
    """

    control: ControlInfo


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitReply:
    """Contains the control instances that the replying one knows."""

    controls: tuple[ControlInfo, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StopNotice:
    """Tells the leader that a control instance is about to stop for good or a while."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StopNoticeReply:
    """Reports whether the instance is no voter any more."""

    is_removed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaveRequest:
    """Tells another control instance that an upstream leaves or has left.

    Attributes:
        upstream: Identity of the upstream.
        registration: Its registration, or None if the sender does not know the
            upstream, which has left.
    """

    upstream: str
    registration: Registration | None


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaveReply:
    """Confirms that a leave is recorded.

    Attributes:
        registration: Registration of the upstream at the replying instance, or None if
            it does not know the upstream, so that nothing is recorded.
    """

    registration: Registration | None


# Control instances serve calls and feeds at the same address.
CONTROL_CODEC = Codec(
    (
        *FEED_MESSAGES,
        *CONSENSUS_MESSAGES,
        AdmitReply,
        AdmitRequest,
        LeaveReply,
        LeaveRequest,
        ProposeReply,
        ProposeRequest,
        ReadReply,
        ReadRequest,
        StopNotice,
        StopNoticeReply,
    )
)
