"""Reads and validates the TOML settings file of one instance."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Literal

from cuminbend.exceptions import ConfigurationError
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

# With port 0 the kernel would choose a port, and no other instance could find this one.
MIN_PORT, MAX_PORT = 1, 65535
_MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3


def check_address(value: str) -> str:
    """Return ``value`` if it is an IP address and a port, as ``10.0.0.1:7100``.

    Raises:
        ValueError: If it is anything else.
    """
    host, separator, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise ValueError(
            f"{value!r} is not an IP number and a port; write it as 10.0.0.1:7100"
        ) from error
    if not separator or not port.isdigit() or not MIN_PORT <= int(port) <= MAX_PORT:
        raise ValueError(f"{value!r} has no port from {MIN_PORT} to {MAX_PORT}")
    return value


Address = Annotated[str, AfterValidator(check_address)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class VoterSettings(_Model):
    """An instance that votes on the control log and stores it on its disk."""

    instance: str
    peer_address: Address


class TimingSettings(_Model):
    """Times that an operator may change; ``lease_ms`` must equal on all instances."""

    lease_ms: int = Field(default=3000, ge=500, le=30000)
    poll_wait_ms: int = Field(default=250, ge=20, le=5000)
    heartbeat_ms: int = Field(default=100, ge=10, le=2000)
    election_timeout_min_ms: int = Field(default=600, ge=50, le=10000)
    election_timeout_max_ms: int = Field(default=1200, ge=100, le=20000)
    directory_max_age_ms: int = Field(default=5000, ge=100, le=60000)
    connection_linger_ms: int = Field(default=60000, ge=100, le=600000)
    first_hedge_delay_ms: float = Field(default=30.0, ge=1, le=1000)


class InstanceSettings(_Model):
    """Content of the settings file.

    Attributes:
        data_folder: Folder of the durable state; required if this instance is in
            ``voters``.
        caller_format: Name of the adapter for callers, see ``cuminbendd.callers``.
        upstream_format: Name of the adapter for upstreams, see
            ``cuminbendd.searchers``.
    """

    instance: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
    data_centre: str
    caller_address: Address
    peer_address: Address
    weight: float = Field(default=1.0, gt=0)
    data_folder: Path | None = None
    voters: list[VoterSettings] = Field(min_length=1)
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    caller_format: str = "http-json"
    upstream_format: str = "http-json"
    timing: TimingSettings = TimingSettings()

    @property
    def is_voter(self) -> bool:
        """Whether this instance votes on the control log."""
        return any(voter.instance == self.instance for voter in self.voters)


def load_settings(path: Path) -> InstanceSettings:
    """Read a settings file.

    Raises:
        ConfigurationError: If the file cannot be read or is not valid.
    """
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        raise ConfigurationError(
            [f"{path}: cannot be read ({error.strerror}); check --settings"]
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError([f"{path}: not valid TOML: {error}"]) from error
    try:
        settings = InstanceSettings.model_validate(document)
    except ValidationError as error:
        raise ConfigurationError(
            [
                f"{path}: {'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
                for item in error.errors()
            ]
        ) from error
    problems = [
        f"{path}: {problem}" for problem in _find_cross_field_problems(settings)
    ]
    if problems:
        raise ConfigurationError(problems)
    return settings


def _find_cross_field_problems(settings: InstanceSettings) -> list[str]:
    """Return a message for each contradiction between several fields."""
    problems = []
    voter_names = [voter.instance for voter in settings.voters]
    voter_addresses = [voter.peer_address for voter in settings.voters]
    if len(set(voter_names)) < len(voter_names):
        problems.append("voters: an instance stands twice; remove one entry")
    if len(set(voter_addresses)) < len(voter_addresses):
        problems.append("voters: two voters have the same address; correct one")
    if settings.caller_address == settings.peer_address:
        problems.append("peer_address: same as caller_address; choose another port")
    for voter in settings.voters:
        is_own = voter.instance == settings.instance
        if is_own and voter.peer_address != settings.peer_address:
            problems.append(
                "voters: this instance's peer_address differs from its entry in "
                "voters; make them equal"
            )
        if not is_own and voter.peer_address == settings.peer_address:
            problems.append(
                f"voters: {voter.instance} has this instance's peer_address; correct it"
            )
    if settings.is_voter and settings.data_folder is None:
        problems.append("data_folder: missing; a voter needs one on its disk")
    if (
        settings.timing.election_timeout_max_ms
        <= settings.timing.election_timeout_min_ms
    ):
        problems.append("timing: election_timeout_max_ms must be above the minimum")
    if (
        settings.timing.election_timeout_min_ms
        < _MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * settings.timing.heartbeat_ms
    ):
        problems.append("timing: election_timeout_min_ms must be 3 heartbeats or more")
    return problems
