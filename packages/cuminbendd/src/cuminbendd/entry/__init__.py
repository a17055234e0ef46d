"""An entry instance, which forwards requests of callers directly to upstreams."""

from cuminbendd.entry._header_names import HeaderNames
from cuminbendd.entry._instance import EntryInstance
from cuminbendd.entry._settings import EntrySettings

__all__ = ["HeaderNames", "EntryInstance", "EntrySettings"]
