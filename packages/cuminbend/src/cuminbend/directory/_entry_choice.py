"""Choice of the entry instances that an answer of the directory lists.

A fan-out sends one request to each shard, so nearly all traffic runs between entry
instances and upstreams, and little between callers and entry instances. Entry
instances in a data centre that has a replica of nearly every shard keep this traffic
within the data centre.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

# A data centre counts as near its upstreams if it has at least this share of the ready
# services that the best data centre has. A few missing replicas should not exclude a
# whole data centre.
_NEAR_SERVICE_SHARE = 0.8
# Callers are spread over at least this share of all entry instances, so that enough
# instances remain after the loss of a data centre. If fewer are near the upstreams,
# only as many of the others are added as are missing: with upstreams in two of five
# data centres the share is just met, and the loss of one instance must not move the
# callers of all others away from the upstreams.
_MIN_CHOSEN_SHARE = 0.4
_MIN_CHOSEN_ENTRIES = 2


@dataclass(frozen=True, slots=True)
class EntryCandidate:
    """An entry instance that accepts callers.

    Attributes:
        address: ``host:port`` for callers.
        is_busy: Whether the instance has little processor time left.
        is_active: Whether the instance holds connections to upstreams.
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
    """Return the addresses that callers should connect to.

    Args:
        entries: All entry instances that accept callers.
        ready_service_counts: Number of services with a ready upstream, by data centre.
        limit: Greatest number of addresses to return.
        random: Picks the addresses if there are more than ``limit``, to spread callers.

    Returns:
        Addresses of the active instances near the upstreams, with some of the other
        active ones if the near ones are too few, or with all of them if the near ones
        are mostly busy. Standby instances are treated like active ones if the active
        ones are too few or mostly busy. Empty if ``entries`` is empty.
    """
    active = [entry for entry in entries if entry.is_active]
    # Shortly after the loss of instances, too few of the others may know that they are
    # active.
    if len(active) >= _MIN_CHOSEN_ENTRIES and 2 * sum(
        entry.is_busy for entry in active
    ) <= len(active):
        entries = active
    best_count = max(ready_service_counts.values(), default=0)
    near = [
        entry
        for entry in entries
        if ready_service_counts.get(entry.data_centre, 0)
        >= _NEAR_SERVICE_SHARE * best_count
    ]
    if not near or 2 * sum(entry.is_busy for entry in near) > len(near):
        chosen = list(entries)
    else:
        chosen = near + _sample_missing_entries(entries, near, random)
    addresses = [entry.address for entry in chosen]
    return addresses if len(addresses) <= limit else random.sample(addresses, limit)


def _sample_missing_entries(
    entries: Sequence[EntryCandidate],
    near: Sequence[EntryCandidate],
    random: random.Random,
) -> list[EntryCandidate]:
    """Return as many other instances as the near ones lack, at random."""
    chosen_count = max(_MIN_CHOSEN_ENTRIES, math.ceil(_MIN_CHOSEN_SHARE * len(entries)))
    missing_count = max(0, chosen_count - len(near))
    near_addresses = {entry.address for entry in near}
    others = [entry for entry in entries if entry.address not in near_addresses]
    return random.sample(others, min(missing_count, len(others)))
