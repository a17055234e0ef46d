"""Which entry instances callers are told to use."""

from cuminbend.directory._active import active_count, active_entries
from cuminbend.directory._naming import EntryPlace, name_entries

__all__ = ["EntryPlace", "active_count", "active_entries", "name_entries"]
