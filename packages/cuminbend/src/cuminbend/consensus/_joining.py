"""First start of the cluster, and what a disk that is not a voter's does."""

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


async def join(core: ReplicaCore) -> None:
    """Do one step towards taking part.

    A disk that is not a voter's waits until the leader has added it. With an empty
    log, the cluster may have to be started.
    """
    if not core.hears_leader or core.storage.empty:
        replies = await _identify_peers(core)
        _take_hint(core, replies)
        if core.storage.empty and _may_bootstrap(core, replies):
            await _bootstrap(core, replies)
            return
    await core.wait_until(lambda: core.is_voter, IDENTIFY_INTERVAL_MS)


async def _identify_peers(core: ReplicaCore) -> list[IdentifyReply]:
    replies: list[IdentifyReply] = []

    async def ask(instance: str) -> None:
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
                group.start_soon(ask, instance)
    return replies


def _take_hint(core: ReplicaCore, replies: list[IdentifyReply]) -> None:
    """Note that a peer's log names this disk as a voter."""
    for reply in replies:
        if core.me in reply.voters:
            core.hinted_voters = reply.voters


def _may_bootstrap(core: ReplicaCore, replies: list[IdentifyReply]) -> bool:
    """Return whether this replica has to write the first entry.

    Only the first of the initial voters by name does, so that two replicas cannot
    write different voters while a disk is being replaced. A peer with a later term
    has voted, so the cluster was started before.
    """
    settings = core.settings
    if not settings.bootstraps or settings.instance != min(settings.initial_voters):
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
    voters = (core.me, *(Voter(reply.instance, reply.disk_id) for reply in replies))
    entry = Entry(1, FIRST_TERM, "voters", encode_voters(voters), 0.0)
    async with core.lock:
        if not core.storage.empty or core.storage.term > FIRST_TERM:
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
