"""Choice of the entry instances that an answer of the directory names.

A fan-out sends one request to each shard, so nearly all traffic runs between entry
instances and upstreams, and hardly any between callers and entry instances. Entry
instances in a data centre that has a replica of nearly every shard keep that traffic
inside; the others cannot.
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

# A data centre counts as near its upstreams if it has this share of what the best
# one has; a few missing replicas are no reason to leave out a whole data centre.
_NEAR_SHARE = 0.8
# Callers are spread over at least this share of all entry instances, so that the
# loss of a data centre does not leave them with a handful.
_MIN_NAMED_SHARE = 0.4
_MIN_NAMED = 2


@dataclass(frozen=True, slots=True)
class EntryCandidate:
    """An entry instance that takes callers.

    Attributes:
        address: ``host:port`` for callers.
        is_busy: Whether it has little processor time left.
        is_active: Whether it holds connections to upstreams.
    """

    address: str
    data_centre: str
    is_busy: bool = False
    is_active: bool = True


def choose_entry_addresses(
    entries: Sequence[EntryCandidate],
    *,
    ready_service_counts: Mapping[str, int],
    limit: int,
    random: random.Random,
) -> list[str]:
    """Return the addresses to name.

    Args:
        entries: All entry instances that take callers.
        ready_service_counts: Number of services with a ready upstream, by data centre.
        limit: Most addresses that callers read.
        random: Spreads callers if not all addresses fit.

    Returns:
        The instances near the upstreams; all of them if those are too few or busy.
    """
    active = [entry for entry in entries if entry.is_active]
    # Right after a loss too few instances may know that they are active.
    if len(active) >= _MIN_NAMED and 2 * sum(e.is_busy for e in active) <= len(active):
        entries = active
    best = max(ready_service_counts.values(), default=0)
    near = [
        entry
        for entry in entries
        if ready_service_counts.get(entry.data_centre, 0) >= _NEAR_SHARE * best
    ]
    is_enough = len(near) >= max(_MIN_NAMED, _MIN_NAMED_SHARE * len(entries))
    is_busy = 2 * sum(entry.is_busy for entry in near) > len(near)
    chosen = near if is_enough and not is_busy else entries
    addresses = [entry.address for entry in chosen]
    return addresses if len(addresses) <= limit else random.sample(addresses, limit)
