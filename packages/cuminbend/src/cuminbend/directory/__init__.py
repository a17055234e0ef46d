"""Which entry instances callers are told to use."""

from cuminbend.directory._naming import EntryPlace, name_entries

__all__ = ["EntryPlace", "name_entries"]
