"""The operator file: parsing, validation and the resulting data classes."""

from cuminbend.config._accepted import (
    AcceptedConfiguration,
    parse_accepted_configuration,
)
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
    "AcceptedConfiguration",
    "Configuration",
    "DataCentreConfig",
    "MemberConfig",
    "Preference",
    "ServiceConfig",
    "ServiceMode",
    "WithoutQuorum",
    "parse_accepted_configuration",
    "parse_configuration",
]
