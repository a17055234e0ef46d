"""Division of a fan-out among this entry instance and others that help it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

# Delegating fewer shards than this costs more than sending the requests directly.
_MIN_GROUP_SHARDS = 3
# Number of shards to which one instance sends requests itself. Sending a request and
# receiving its answer takes about a quarter of a millisecond of a core, so a longer
# sequence of them delays the answer too much.
_MAX_DIRECT_SHARDS = 20


@dataclass(frozen=True, slots=True)
class FanOutPlan:
    """Assignment of the shards of a fan-out to entry instances.

    Attributes:
        direct: Shards to which this instance sends requests itself.
        delegated: Groups of shards, each with the data centre of the entry instance
            that sends the requests to the group.
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

    A helper is another entry instance. It merges the parts of its group before it
    answers, so a group costs one exchange between data centres instead of one for each
    shard. Shards with a replica in the own data centre are direct. The others are
    grouped by data centre, starting with the data centre that has replicas of most of
    them; shards left over from groups that are too small are direct too. If there are
    many direct shards, helpers in the own data centre get a part of them. Source: the
    aggregation trees of Dean and Barroso, "The Tail at Scale", CACM 2013.

    Args:
        shards: All shards of the request.
        own_data_centre: Data centre of this instance.
        data_centres_by_shard: Data centres with a replica that accepts requests, by
            shard.
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
        data_centre
        for data_centre in helper_counts
        if helper_counts[data_centre] and data_centre != own_data_centre
    )
    while len(remote) >= _MIN_GROUP_SHARDS and candidates:
        best_data_centre = max(
            candidates,
            key=lambda data_centre: sum(
                data_centre in data_centres_by_shard.get(shard, ()) for shard in remote
            ),
        )
        group = tuple(
            shard
            for shard in remote
            if best_data_centre in data_centres_by_shard.get(shard, ())
        )
        if len(group) < _MIN_GROUP_SHARDS:
            break
        delegated.append((best_data_centre, group))
        remote = [shard for shard in remote if shard not in group]
        candidates.remove(best_data_centre)
    direct += remote
    delegated += _plan_local_groups(
        direct, helper_counts.get(own_data_centre, 0), own_data_centre
    )
    delegated_shards = {shard for _, group in delegated for shard in group}
    return FanOutPlan(
        direct=tuple(shard for shard in direct if shard not in delegated_shards),
        delegated=tuple(delegated),
    )


def _plan_local_groups(
    direct: Sequence[str], helper_count: int, own_data_centre: str
) -> list[tuple[str, tuple[str, ...]]]:
    """Return groups for helpers in the own data centre, or none for few shards."""
    if len(direct) <= _MAX_DIRECT_SHARDS or not helper_count:
        return []
    count = min(helper_count, -(-len(direct) // _MAX_DIRECT_SHARDS) - 1)
    size = -(-len(direct) // (count + 1))
    return [
        (own_data_centre, tuple(direct[start : start + size]))
        for start in range(size, len(direct), size)
    ]
