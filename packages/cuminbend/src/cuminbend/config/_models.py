"""Pydantic models of the operator file."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from cuminbend.config._types import Preference, ServiceMode, WithoutQuorum

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=False, frozen=True)


class ClusterModel(_Model):
    """Table ``[cluster]``."""

    name: Name
    without_quorum: WithoutQuorum = WithoutQuorum.REFUSE
    claim_retention_s: int = Field(default=86400, ge=60, le=30 * 86400)


class DataCentreModel(_Model):
    """An element of ``[[data_centres]]``."""

    name: Name
    in_service: bool = True


class MemberModel(_Model):
    """An element of ``[[members]]``."""

    name: Name
    share: float = Field(default=1.0, gt=0)
    prefer: Preference = Preference.LATENCY
    default_deadline_ms: int = Field(default=300, ge=1, le=2000)
    max_deadline_ms: int = Field(default=2000, ge=1, le=2000)


class ServiceModel(_Model):
    """An element of ``[[services]]``."""

    name: Name
    group: Name | None = None
    mode: ServiceMode = ServiceMode.SEARCH
    shards: dict[Name, Annotated[int, Field(ge=1, le=100000)]] = Field(min_length=1)
    members: tuple[Name, ...] = ()
    max_body_bytes: int = Field(default=65536, ge=1, le=16 * 1024 * 1024)
    canary: bool = True


class FileModel(_Model):
    """The whole operator file."""

    cluster: ClusterModel
    data_centres: list[DataCentreModel] = Field(min_length=1)
    members: list[MemberModel] = Field(min_length=1)
    services: list[ServiceModel] = Field(min_length=1)
