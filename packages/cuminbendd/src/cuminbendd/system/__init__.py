"""Adapters for the operating system: clock and files."""

from cuminbendd.system._clock import SystemClock
from cuminbendd.system._files import FileDisk

__all__ = ["FileDisk", "SystemClock"]
