"""Which entry instances hold connections to upstreams.

An upstream takes a bounded number of connections from all instances together. If every
instance held one, large systems would have none left for a second request, and each
connection would be idle most of the time and closed before its next use. So only as
many instances are active as can hold a few connections each; the others stand by.
"""

import hashlib
from collections.abc import Iterable, Mapping

# Connections to an upstream with which an active instance can send a second request
# and a hedge while one request is slow.
_CONNECTIONS_EACH = 3
# Callers of a data centre should not depend on a single instance.
_MIN_ACTIVE = 4


def active_entry_count(max_connections: Iterable[int]) -> int:
    """Return how many instances can be active.

    Args:
        max_connections: Connections that one upstream takes, for each service.
    """
    smallest = min(max_connections, default=0)
    return max(_MIN_ACTIVE, smallest // _CONNECTIONS_EACH)


def choose_active_entries(
    data_centres: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return the instances that are active, the same on every instance.

    The choice depends on the names alone, so the loss of an instance makes one other
    active and changes nothing else.

    Args:
        data_centres: Data centre of each entry instance.
        count: How many to choose, spread evenly over the data centres.
    """
    queues: dict[str, list[str]] = {}
    for instance in sorted(data_centres, key=_rank):
        queues.setdefault(data_centres[instance], []).append(instance)
    chosen: list[str] = []
    while len(chosen) < count and queues:
        for data_centre in sorted(queues):
            chosen.append(queues[data_centre].pop(0))
            if not queues[data_centre]:
                del queues[data_centre]
    return frozenset(chosen[:count])


def _rank(instance: str) -> bytes:
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()
