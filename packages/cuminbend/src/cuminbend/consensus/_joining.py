"""First start of the cluster, and behaviour of a replica that is not a voter."""

import logging

import anyio

from cuminbend.consensus._base import encode_voters
from cuminbend.consensus._core import ReplicaCore
from cuminbend.consensus._messages import Entry, IdentifyReply, IdentifyRequest, Voter
from cuminbend.exceptions import CuminbendError, DiskError

logger = logging.getLogger(__name__)

IDENTIFY_INTERVAL_MS = 200
# The first entry has this term on every disk; elections start with the next one.
FIRST_TERM = 1


async def run_join_step(core: ReplicaCore) -> None:
    """Take one step towards becoming a voter.

    A replica that is not a voter waits until the leader has added it. With an empty
    log, it may have to start the cluster by writing the first entry.
    """
    if not core.has_live_leader or core.storage.is_empty:
        replies = await _identify_peers(core)
        _record_own_admission(core, replies)
        if core.storage.is_empty and _may_bootstrap(core, replies):
            await _bootstrap(core, replies)
            return
    await core.wait_until(lambda: core.is_voter, IDENTIFY_INTERVAL_MS)


async def _identify_peers(core: ReplicaCore) -> list[IdentifyReply]:
    replies: list[IdentifyReply] = []

    async def identify_peer(instance: str) -> None:
        try:
            reply = await core.transport.call(
                instance, IdentifyRequest(), core.settings.rpc_timeout_ms
            )
        except CuminbendError:
            return
        if isinstance(reply, IdentifyReply):
            replies.append(reply)

    async with anyio.create_task_group() as group:
        for instance in core.settings.initial_voters:
            if instance != core.settings.instance:
                group.start_soon(identify_peer, instance)
    return replies


def _record_own_admission(core: ReplicaCore, replies: list[IdentifyReply]) -> None:
    """Store the voters in a peer's log if this disk is one of them."""
    for reply in replies:
        if core.own_voter in reply.voters:
            core.peer_reported_voters = reply.voters


def _may_bootstrap(core: ReplicaCore, replies: list[IdentifyReply]) -> bool:
    """Return whether this replica has to write the first entry.

    Only the first of the initial voters by name does, so that two replicas cannot
    write different voters while a disk is being replaced. A peer with a later term
    has voted, so the cluster was started before.
    """
    settings = core.settings
    if not settings.bootstraps or not settings.initial_voters:
        return False
    if settings.instance != min(settings.initial_voters):
        return False
    if len(replies) < len(set(settings.initial_voters)) - 1:
        return False
    if any(not reply.empty for reply in replies):
        return False
    terms = [core.storage.term, *(reply.term for reply in replies)]
    if max(terms) > FIRST_TERM:
        logger.error(
            "event=bootstrap_refused instance=%s remedy='all logs are empty but an "
            "election was held; stop all initial voters, move their data folders "
            "aside and start them again'",
            settings.instance,
        )
        return False
    return True


async def _bootstrap(core: ReplicaCore, replies: list[IdentifyReply]) -> None:
    voters = (
        core.own_voter,
        *(Voter(reply.instance, reply.disk_id) for reply in replies),
    )
    entry = Entry(1, FIRST_TERM, "voters", encode_voters(voters), 0.0)
    async with core.lock:
        if not core.storage.is_empty or core.storage.term > FIRST_TERM:
            return
        try:
            await core.storage.save_vote(FIRST_TERM, None)
            await core.storage.append([entry])
        except DiskError as error:
            core.report_disk_error(error)
            return
    logger.info(
        "event=bootstrapped instance=%s voters=%s",
        core.settings.instance,
        ",".join(f"{v.instance}/{v.disk_id}" for v in sorted(voters)),
    )
    core.notify()
