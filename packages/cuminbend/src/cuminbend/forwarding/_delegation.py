"""Which shards of a fan-out another entry instance asks on behalf of this one."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

# A group below this size costs more as a message of its own than it saves.
_MIN_GROUP = 3
# Requests to shards that one instance sends itself. Sending and receiving one takes
# about a quarter of a millisecond of a core, so more of them take too long in a row.
_MAX_DIRECT = 20


@dataclass(frozen=True, slots=True)
class FanOutPlan:
    """Who asks which shards.

    Attributes:
        direct: Shards that this instance asks itself.
        delegated: Shards by the data centre of the instance that asks them.
    """

    direct: tuple[str, ...]
    delegated: tuple[tuple[str, tuple[str, ...]], ...]


def plan_fan_out(
    shards: Sequence[str],
    *,
    own_data_centre: str,
    data_centres_by_shard: Mapping[str, frozenset[str]],
    helper_counts: Mapping[str, int],
) -> FanOutPlan:
    """Divide the shards among this instance and helpers.

    An instance merges the parts of a group before it answers, so a group costs one
    exchange between data centres instead of one for each shard. Shards with a replica
    in the own data centre are asked directly; of the others, each data centre that has
    replicas of most of them gets one group. Source: the aggregation trees of Dean and
    Barroso, "The Tail at Scale", CACM 2013.

    Args:
        shards: All shards of the request.
        own_data_centre: Data centre of this instance.
        data_centres_by_shard: Data centres with a replica that takes work, by shard.
        helper_counts: Number of other entry instances that can help, by data centre.
    """
    direct = [
        shard
        for shard in shards
        if own_data_centre in data_centres_by_shard.get(shard, ())
    ]
    remote = [
        shard
        for shard in shards
        if own_data_centre not in data_centres_by_shard.get(shard, ())
    ]
    delegated = []
    candidates = sorted(
        place
        for place in helper_counts
        if helper_counts[place] and place != own_data_centre
    )
    while len(remote) >= _MIN_GROUP and candidates:
        best = max(
            candidates,
            key=lambda place: sum(
                place in data_centres_by_shard.get(shard, ()) for shard in remote
            ),
        )
        group = tuple(
            shard for shard in remote if best in data_centres_by_shard.get(shard, ())
        )
        if len(group) < _MIN_GROUP:
            break
        delegated.append((best, group))
        remote = [shard for shard in remote if shard not in group]
        candidates.remove(best)
    direct += remote
    delegated += _relief(direct, helper_counts.get(own_data_centre, 0), own_data_centre)
    taken = {shard for _, group in delegated for shard in group}
    return FanOutPlan(
        direct=tuple(shard for shard in direct if shard not in taken),
        delegated=tuple(delegated),
    )


def _relief(
    direct: Sequence[str], helper_count: int, own_data_centre: str
) -> list[tuple[str, tuple[str, ...]]]:
    """Return groups for helpers in the own data centre if there are many shards."""
    if len(direct) <= _MAX_DIRECT or not helper_count:
        return []
    count = min(helper_count, -(-len(direct) // _MAX_DIRECT) - 1)
    size = -(-len(direct) // (count + 1))
    return [
        (own_data_centre, tuple(direct[start : start + size]))
        for start in range(size, len(direct), size)
    ]
