"""Which change of the voters is due, one at a time."""

from cuminbend.consensus._messages import Voter
from cuminbend.consensus._progress import Progress

# Below four voters, removing one would leave a number that survives no loss.
_MIN_VOTERS_TO_REMOVE = 4


def next_voters(progress: Progress, *, led_since_ms: float) -> tuple[Voter, ...] | None:
    """Return the voters after the next change, or None if none is due.

    Args:
        progress: What the leader knows of the instances.
        led_since_ms: Monotonic time at which it began to lead.
    """
    return (
        _superseded_removed(progress)
        or _unreachable_removed(progress, led_since_ms)
        or _caught_up_added(progress)
    )


def _superseded_removed(progress: Progress) -> tuple[Voter, ...] | None:
    """Return the voters without one disk that its instance no longer has."""
    voters = progress.core.storage.voters
    current = {progress.core.me}
    current.update(Voter(p.instance, p.disk_id) for p in progress.peers.values())
    replaced = {v.instance for v in voters if v in current}
    for voter in voters:
        if voter.instance in replaced and voter not in current:
            return tuple(v for v in voters if v != voter)
    return None


def _unreachable_removed(
    progress: Progress, led_since_ms: float
) -> tuple[Voter, ...] | None:
    """Return the voters without one that a newcomer has made superfluous.

    A voter that is silent stays while the number of voters is odd, since it may
    come back with its disk. Once a newcomer has made the number even, the silent
    one adds to the majority needed and to nothing else.
    """
    core, voters = progress.core, progress.core.storage.voters
    if len(voters) < _MIN_VOTERS_TO_REMOVE or len(voters) % 2:
        return None
    silent_ms = core.settings.remove_silent_after_ms
    now_ms = core.clock.monotonic_ms()
    if now_ms - led_since_ms < silent_ms:
        return None
    for voter in sorted(voters, key=progress.acknowledged_ms):
        if voter == core.me or now_ms - progress.acknowledged_ms(voter) < silent_ms:
            continue
        remaining = tuple(item for item in voters if item != voter)
        if progress.is_reachable(remaining):
            return remaining
    return None


def _caught_up_added(progress: Progress) -> tuple[Voter, ...] | None:
    """Return the voters with one more that has all committed entries."""
    voters = progress.core.storage.voters
    for instance in sorted(progress.peers):
        peer = progress.peers[instance]
        learner = Voter(peer.instance, peer.disk_id)
        if not peer.disk_id or learner in voters:
            continue
        if peer.match_index < progress.core.commit_index:
            continue
        extended = tuple(sorted((*voters, learner)))
        # An entry that cannot be committed would block later changes.
        if progress.is_reachable(extended):
            return extended
    return None
