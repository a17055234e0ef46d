"""Reading of an operator file that has been accepted, also by another release."""

import tomllib
from dataclasses import dataclass
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from cuminbend.config._load import parse_configuration
from cuminbend.config._models import (
    ClusterModel,
    DataCentreModel,
    MemberModel,
    ServiceModel,
)
from cuminbend.config._types import (
    Configuration,
    DataCentreConfig,
    MemberConfig,
    ServiceConfig,
)
from cuminbend.exceptions import ConfigurationError

_Model = TypeVar("_Model", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """An accepted operator file as this release can use it.

    Attributes:
        problems: What the file says and ``configuration`` does not, or what this
            release would refuse in a new file.
    """

    configuration: Configuration
    problems: tuple[str, ...] = ()


def parse_accepted_configuration(text: str) -> AcceptedConfiguration:
    """Parse an operator file that has been accepted, without judging it again.

    Unknown keys are ignored. A data centre, member or service with another fault is
    left out, so that it gets no work; of those that share a name, the first is used.

    Raises:
        ConfigurationError: If no part of the file can be read.
    """
    try:
        return AcceptedConfiguration(parse_configuration(text))
    except ConfigurationError as error:
        problems = error.problems
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(list(problems)) from error
    configuration = Configuration(
        **_read_cluster(document.get("cluster")),
        data_centres=tuple(
            DataCentreConfig(**item.model_dump())
            for item in _read_tables(DataCentreModel, document.get("data_centres"))
        ),
        members=tuple(
            MemberConfig(**item.model_dump())
            for item in _read_tables(MemberModel, document.get("members"))
        ),
        services=tuple(
            ServiceConfig(**{**item.model_dump(), "group": item.group or item.name})
            for item in _read_tables(ServiceModel, document.get("services"))
        ),
    )
    return AcceptedConfiguration(configuration, tuple(problems))


def _read_cluster(item: Any) -> dict[str, Any]:
    """Return the fields of the cluster.

    The time to keep claims also holds outside the limits of this release, because a
    shorter one would let a submit run twice.
    """
    cluster = _read_table(ClusterModel, item)
    if cluster is not None:
        return {
            "cluster": cluster.name,
            "without_quorum": cluster.without_quorum,
            "claim_retention_s": cluster.claim_retention_s,
        }
    fields: dict[str, Any] = {"cluster": ""}
    retention_s = item.get("claim_retention_s") if isinstance(item, dict) else None
    if type(retention_s) is int and retention_s > 0:
        fields["claim_retention_s"] = retention_s
    return fields


def _read_tables(model: type[_Model], items: Any) -> list[_Model]:
    tables_by_name: dict[str, _Model] = {}
    for item in items if isinstance(items, list) else ():
        table = _read_table(model, item)
        if table is not None:
            tables_by_name.setdefault(table.name, table)  # type: ignore[attr-defined]
    return list(tables_by_name.values())


def _read_table(model: type[_Model], item: Any) -> _Model | None:
    """Return a table without its unknown keys, or None if it has another fault."""
    if not isinstance(item, dict):
        return None
    known = {key: item[key] for key in item.keys() & model.model_fields.keys()}
    try:
        return model.model_validate(known)
    except ValidationError:
        return None
