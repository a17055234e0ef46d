"""Pydantic models of the operator file."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from cuminbend.config._types import Preference, ServiceMode, WithoutQuorum

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]

# The longest request budget.
_MAX_DEADLINE_MS = 2000
_MAX_CLAIM_RETENTION_S = 30 * 86400

# TOML has integer and boolean types, so a quoted number, or a number where a boolean
# belongs, is a mistake.
StrictInteger = Annotated[int, Field(strict=True)]
StrictBoolean = Annotated[bool, Field(strict=True)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=False, frozen=True)


class ClusterModel(_Model):
    """Table ``[cluster]``."""

    name: Name
    without_quorum: WithoutQuorum = WithoutQuorum.REFUSE
    claim_retention_s: StrictInteger = Field(
        default=86400, ge=60, le=_MAX_CLAIM_RETENTION_S
    )


class DataCentreModel(_Model):
    """An element of ``[[data_centres]]``."""

    name: Name
    in_service: StrictBoolean = True


class MemberModel(_Model):
    """An element of ``[[members]]``."""

    name: Name
    # Code divides by sums of shares, which infinite or tiny shares would break.
    share: float = Field(default=1.0, strict=True, ge=0.001, le=1_000_000)
    prefer: Preference = Preference.LATENCY
    default_deadline_ms: StrictInteger = Field(default=300, ge=1, le=_MAX_DEADLINE_MS)
    max_deadline_ms: StrictInteger = Field(
        default=_MAX_DEADLINE_MS, ge=1, le=_MAX_DEADLINE_MS
    )


class ServiceModel(_Model):
    """An element of ``[[services]]``."""

    name: Name
    group: Name | None = None
    mode: ServiceMode = ServiceMode.SEARCH
    shards: dict[Name, Annotated[StrictInteger, Field(ge=1, le=100000)]] = Field(
        min_length=1
    )
    members: tuple[Name, ...] = ()
    max_body_bytes: StrictInteger = Field(default=65536, ge=1, le=16 * 1024 * 1024)
    canary: StrictBoolean = True


class FileModel(_Model):
    """The whole operator file."""

    cluster: ClusterModel
    data_centres: list[DataCentreModel] = Field(min_length=1)
    members: list[MemberModel] = Field(min_length=1)
    services: list[ServiceModel] = Field(min_length=1)
