"""Choice of the entry instances that callers connect to."""

from cuminbend.directory._active import active_entry_count, choose_active_entries
from cuminbend.directory._entry_choice import EntryCandidate, choose_entry_addresses

__all__ = [
    "EntryCandidate",
    "active_entry_count",
    "choose_active_entries",
    "choose_entry_addresses",
]
