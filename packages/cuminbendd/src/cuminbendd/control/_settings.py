"""Settings of a control instance."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of a control instance.

    Attributes:
        instance: Name of the instance.
        data_centre: Where it runs.
        channel_address: ``host:port`` for other instances; its identity in the group.
        announce_address: ``host:port`` at which upstreams reach it.
        control_addresses: Channel addresses of control instances to start from; some
            may be wrong or down. At the first start, the first voters.
        bootstraps: Whether the group is started for the first time.
        data_folder: Where the durable state is.
        silent_after_ms: Time without a heartbeat after which an upstream is silent.
        current_within_ms: Age up to which a sign of the group counts as being in
            touch; longer than an election would hide a cut.
        propose_timeout_ms: Limit of committing a change; callers wait a second.
        lost_entries_ms: Time for which the entry instances of a control instance
            that is gone stay in the directory; they find another one meanwhile.
    """

    instance: str
    data_centre: str
    channel_address: str
    announce_address: str
    control_addresses: tuple[str, ...]
    bootstraps: bool
    data_folder: Path
    silent_after_ms: float = 5000.0
    current_within_ms: float = 1000.0
    propose_timeout_ms: float = 850.0
    lost_entries_ms: float = 2500.0
