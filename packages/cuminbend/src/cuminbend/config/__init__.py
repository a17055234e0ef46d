"""The operator file: parsing, validation and the resulting data classes."""

from cuminbend.config._load import parse_configuration
from cuminbend.config._types import (
    Configuration,
    DataCentreConfig,
    MemberConfig,
    Preference,
    ServiceConfig,
    ServiceMode,
    WithoutQuorum,
)

__all__ = [
    "Configuration",
    "DataCentreConfig",
    "MemberConfig",
    "Preference",
    "ServiceConfig",
    "ServiceMode",
    "WithoutQuorum",
    "parse_configuration",
]
