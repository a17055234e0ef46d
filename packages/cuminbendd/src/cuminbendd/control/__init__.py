"""A control instance: replicated state, registrations and the directory."""

from cuminbendd.control._instance import ControlInstance
from cuminbendd.control._settings import ControlSettings

__all__ = ["ControlInstance", "ControlSettings"]
