"""Choice of the active entry instances, which hold connections to upstreams.

An upstream accepts a limited number of connections from all instances together. If
every instance of a large system held one connection, none would be left for a second
request, and each connection would be idle most of the time and closed before its next
use. Therefore only as many instances are active as can hold a few connections each;
the other instances are on standby.
"""

import hashlib
from collections.abc import Iterable, Mapping

# With this number of connections to an upstream, an active instance can send a second
# request and a hedge while one request is slow.
_CONNECTIONS_PER_INSTANCE = 3
# Keeps the callers of a data centre from depending on a single instance.
_MIN_ACTIVE_INSTANCES = 4


def active_entry_count(max_connections: Iterable[int]) -> int:
    """Return how many instances can be active.

    Args:
        max_connections: Number of connections that one upstream accepts, for each
            service.
    """
    smallest_limit = min(max_connections, default=0)
    return max(_MIN_ACTIVE_INSTANCES, smallest_limit // _CONNECTIONS_PER_INSTANCE)


def choose_active_entries(
    data_centres: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return the names of the active instances; every instance gets the same set.

    The choice depends only on the names of instances and data centres, so the loss of
    an active instance activates another one and changes little else.

    Args:
        data_centres: Data centre of each entry instance, by the name of the instance.
        count: Number of instances to choose, spread evenly over the data centres.
    """
    instances_by_data_centre: dict[str, list[str]] = {}
    for instance in sorted(data_centres, key=_hash_rank):
        instances_by_data_centre.setdefault(data_centres[instance], []).append(instance)
    chosen: list[str] = []
    while len(chosen) < count and instances_by_data_centre:
        for data_centre in sorted(instances_by_data_centre):
            chosen.append(instances_by_data_centre[data_centre].pop(0))
            if not instances_by_data_centre[data_centre]:
                del instances_by_data_centre[data_centre]
    return frozenset(chosen[:count])


def _hash_rank(instance: str) -> bytes:
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()
