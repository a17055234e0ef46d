"""The settings file of one instance."""

from cuminbendd.settings._load import (
    InstanceSettings,
    VoterSettings,
    check_address,
    load_settings,
)

__all__ = ["InstanceSettings", "VoterSettings", "check_address", "load_settings"]
