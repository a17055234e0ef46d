"""Choice of the next change of the voters; each change adds or removes one."""

from cuminbend.consensus._messages import Voter
from cuminbend.consensus._progress import ReplicationProgress

# With fewer voters, removing one would leave a cluster that tolerates no failure.
_MIN_VOTERS_TO_REMOVE = 4


def next_voters(
    progress: ReplicationProgress, *, led_since_ms: float
) -> tuple[Voter, ...] | None:
    """Return the voters after the next change, or None if none is due.

    Args:
        progress: Replication state of the voters, as the leader knows it.
        led_since_ms: Monotonic time at which the leader began to lead.
    """
    return (
        _without_superseded_disk(progress)
        or _without_stopping_voter(progress)
        or _without_unreachable_voter(progress, led_since_ms)
        or _with_caught_up_learner(progress)
    )


def _without_superseded_disk(progress: ReplicationProgress) -> tuple[Voter, ...] | None:
    """Return the voters without one disk that its instance no longer has."""
    voters = progress.core.storage.voters
    current_disks = {progress.core.own_voter}
    current_disks.update(
        Voter(peer.instance, peer.disk_id) for peer in progress.peers.values()
    )
    instances_with_current_disk = {
        voter.instance for voter in voters if voter in current_disks
    }
    for voter in voters:
        if voter.instance in instances_with_current_disk and voter not in current_disks:
            return tuple(other for other in voters if other != voter)
    return None


def _without_stopping_voter(progress: ReplicationProgress) -> tuple[Voter, ...] | None:
    """Return the voters without one that is about to stop and is not needed.

    While a voter that has stopped is not yet removed, the loss of one more could leave
    no majority, although a successor has joined before.
    """
    core, voters = progress.core, progress.core.storage.voters
    stopping = core.stopping_instances()
    for voter in voters:
        if voter.instance not in stopping or voter == core.own_voter:
            continue
        remaining = tuple(other for other in voters if other != voter)
        if progress.count_reachable(remaining) >= core.settings.min_live_voters:
            return remaining
    return None


def _without_unreachable_voter(
    progress: ReplicationProgress, led_since_ms: float
) -> tuple[Voter, ...] | None:
    """Return the voters without a silent one that is not needed.

    A silent voter may come back with its disk, so it stays while the group needs it.
    It does not in two cases:

    - ``min_live_voters`` others are in touch. Silent voters then only raise the size
      of the majority. Without this rule, voters that were replaced in quick succession
      would stay for good, because each new voter makes the number odd again.
    - The number of voters is even, so the majority is smaller without it. Fewer voters
      are live than the group should have, so it waits longer for the silent one.
    """
    core, voters = progress.core, progress.core.storage.voters
    if progress.count_reachable(voters) >= core.settings.min_live_voters:
        max_silence_ms = core.settings.election_timeout_max_ms
    elif len(voters) >= _MIN_VOTERS_TO_REMOVE and len(voters) % 2 == 0:
        max_silence_ms = core.settings.remove_silent_after_ms
    else:
        return None
    now_ms = core.clock.monotonic_ms()
    if now_ms - led_since_ms < max_silence_ms:
        return None
    for voter in sorted(voters, key=progress.last_acknowledged_send_ms):
        if (
            voter == core.own_voter
            or now_ms - progress.last_acknowledged_send_ms(voter) < max_silence_ms
        ):
            continue
        remaining = tuple(other for other in voters if other != voter)
        if progress.is_majority_reachable(remaining):
            return remaining
    return None


def _with_caught_up_learner(progress: ReplicationProgress) -> tuple[Voter, ...] | None:
    """Return the voters and one more that has all committed entries."""
    voters = progress.core.storage.voters
    for instance in sorted(progress.peers):
        peer = progress.peers[instance]
        learner = Voter(peer.instance, peer.disk_id)
        if not peer.disk_id or learner in voters:
            continue
        if peer.instance in progress.core.stopping_instances():
            continue
        if peer.match_index < progress.core.commit_index:
            continue
        extended = tuple(sorted((*voters, learner)))
        # An entry that cannot be committed would block later changes.
        if progress.is_majority_reachable(extended):
            return extended
    return None
