"""Pydantic models of the operator file."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from cuminbend.config._types import Preference, ServiceMode, WithoutQuorum

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]

# TOML has types of its own, so a quoted number or a number for a switch is a mistake.
Integer = Annotated[int, Field(strict=True)]
Switch = Annotated[bool, Field(strict=True)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=False, frozen=True)


class ClusterModel(_Model):
    """Table ``[cluster]``."""

    name: Name
    without_quorum: WithoutQuorum = WithoutQuorum.REFUSE
    claim_retention_s: Integer = Field(default=86400, ge=60, le=30 * 86400)


class DataCentreModel(_Model):
    """An element of ``[[data_centres]]``."""

    name: Name
    in_service: Switch = True


class MemberModel(_Model):
    """An element of ``[[members]]``."""

    name: Name
    # Weights are added up and divided by, which infinite or tiny ones would break.
    share: float = Field(default=1.0, strict=True, ge=0.001, le=1_000_000)
    prefer: Preference = Preference.LATENCY
    default_deadline_ms: Integer = Field(default=300, ge=1, le=2000)
    max_deadline_ms: Integer = Field(default=2000, ge=1, le=2000)


class ServiceModel(_Model):
    """An element of ``[[services]]``."""

    name: Name
    group: Name | None = None
    mode: ServiceMode = ServiceMode.SEARCH
    shards: dict[Name, Annotated[Integer, Field(ge=1, le=100000)]] = Field(min_length=1)
    members: tuple[Name, ...] = ()
    max_body_bytes: Integer = Field(default=65536, ge=1, le=16 * 1024 * 1024)
    canary: Switch = True


class FileModel(_Model):
    """The whole operator file."""

    cluster: ClusterModel
    data_centres: list[DataCentreModel] = Field(min_length=1)
    members: list[MemberModel] = Field(min_length=1)
    services: list[ServiceModel] = Field(min_length=1)
