"""An entry instance: requests of callers, forwarded to upstreams directly."""

from cuminbendd.entry._dialect import Dialect
from cuminbendd.entry._instance import EntryInstance
from cuminbendd.entry._settings import EntrySettings

__all__ = ["Dialect", "EntryInstance", "EntrySettings"]
