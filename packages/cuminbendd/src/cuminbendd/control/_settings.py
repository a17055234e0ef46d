"""Settings of a control instance."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of a control instance.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre in which it runs.
        channel_address: ``host:port`` at which other instances reach it; also its
            identity in the group.
        announce_address: ``host:port`` at which upstreams send heartbeats.
        control_addresses: Channel addresses of control instances to contact at the
            start; some may be wrong or down. At the first start of the group these
            instances are its first voters.
        bootstraps: Whether the group is started for the first time.
        data_folder: Folder of the durable state.
        silent_after_ms: Time without a heartbeat after which an upstream counts as
            silent.
        max_contact_age_ms: The instance is in touch with the group if its last contact
            is not older than this. A value longer than an election takes would hide a
            network partition.
        propose_timeout_ms: Time limit for committing a command. Callers wait for one
            second, so it is shorter.
        entry_retention_ms: Time for which entry instances stay in the directory after
            the control instance that they read was lost. Meanwhile they connect to
            another one.
        max_lost_instances: Number of control instances that may be lost at once.
        apply_limit_ms: Time within which entry instances have to apply a committed
            configuration; those that do not are reported.
    """

    instance: str
    data_centre: str
    channel_address: str
    announce_address: str
    control_addresses: tuple[str, ...]
    bootstraps: bool
    data_folder: Path
    silent_after_ms: float = 5000.0
    max_contact_age_ms: float = 1000.0
    propose_timeout_ms: float = 850.0
    entry_retention_ms: float = 2500.0
    max_lost_instances: int = 1
    apply_limit_ms: float = 3000.0
