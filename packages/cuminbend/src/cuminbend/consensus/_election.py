"""Election of a leader: pre-vote, vote, and answers to both."""

import logging

import anyio

from cuminbend.consensus._base import majority
from cuminbend.consensus._core import ReplicaCore, Role
from cuminbend.consensus._messages import Voter, VoteReply, VoteRequest
from cuminbend.exceptions import CuminbendError, DiskError

logger = logging.getLogger(__name__)


async def campaign(core: ReplicaCore, *, transfer: bool = False) -> None:
    """Stand for election once.

    Args:
        core: State of the replica, which must be a voter.
        transfer: Whether the leader asked for this election. The voters then grant
            their votes without waiting for an election timeout, and the pre-vote is
            left out.
    """
    last_leader_contact_ms = core.last_leader_contact_ms
    term = core.storage.term + 1
    if not transfer:
        core.leader = None
        if not await _collect_votes(core, term=term, pre_vote=True, transfer=False):
            logger.warning(
                "event=no_majority instance=%s term=%d voters=%s remedy='start more of "
                "these voters; without a majority of them nothing is committed'",
                core.settings.instance,
                core.storage.term,
                ",".join(f"{v.instance}/{v.disk_id}" for v in core.storage.voters),
            )
            return
    async with core.lock:
        if core.storage.term + 1 != term or not core.is_voter:
            return
        if core.last_leader_contact_ms != last_leader_contact_ms and not transfer:
            return
        try:
            await core.storage.save_vote(term, core.own_voter)
        except DiskError as error:
            core.report_disk_error(error)
            return
        core.role = Role.CANDIDATE
        core.leader = None
    won = await _collect_votes(core, term=term, pre_vote=False, transfer=transfer)
    if won and core.storage.term == term and core.role is Role.CANDIDATE:
        core.become_leader()
        return
    logger.info(
        "event=election_lost instance=%s term=%d current_term=%d role=%s transfer=%s "
        "last_index=%d",
        core.settings.instance,
        term,
        core.storage.term,
        core.role,
        transfer,
        core.storage.last_index,
    )


async def _collect_votes(
    core: ReplicaCore, *, term: int, pre_vote: bool, transfer: bool
) -> bool:
    """Ask all voters and return whether a majority grants its vote."""
    voters = core.storage.voters
    request = VoteRequest(
        pre_vote=pre_vote,
        term=term,
        candidate=core.settings.instance,
        last_index=core.storage.last_index,
        last_term=core.storage.last_term,
        disk_id=core.storage.disk_id,
        transfer=transfer,
    )
    granted = {core.own_voter}
    async with anyio.create_task_group() as group:

        async def collect_vote(instance: str) -> None:
            reply = await _request_vote(core, instance, request)
            if reply is None:
                return
            voter = Voter(instance, reply.disk_id)
            if reply.granted and voter in voters:
                granted.add(voter)
            elif reply.term > core.storage.term:
                await core.observe_term(reply.term)
                group.cancel_scope.cancel()
            if len(granted) >= majority(len(voters)):
                group.cancel_scope.cancel()

        for instance in sorted({voter.instance for voter in voters}):
            if instance != core.settings.instance:
                group.start_soon(collect_vote, instance)
    return len(granted) >= majority(len(voters))


async def _request_vote(
    core: ReplicaCore, instance: str, request: VoteRequest
) -> VoteReply | None:
    settings = core.settings
    # A vote waits for a disk write; the longer timeout lets an election succeed on
    # slow disks.
    timeout_ms = (
        settings.rpc_timeout_ms
        if request.pre_vote
        else settings.election_timeout_min_ms
    )
    try:
        reply = await core.transport.call(instance, request, timeout_ms)
    except CuminbendError:
        return None
    return reply if isinstance(reply, VoteReply) else None


async def handle_vote(core: ReplicaCore, request: VoteRequest) -> VoteReply:
    """Answer a vote request; a granted vote is on disk before the reply.

    Raises:
        DiskError: If the vote or the term cannot be written.
    """
    async with core.lock:
        granted = _may_grant_vote(core, request)
        if granted and not request.pre_vote:
            granted = await _decide_vote(core, request)
        if not granted and not request.pre_vote:
            logger.info(
                "event=vote_refused instance=%s candidate=%s term=%d current_term=%d "
                "candidate_last_index=%d last_index=%d voted_for=%s",
                core.settings.instance,
                request.candidate,
                request.term,
                core.storage.term,
                request.last_index,
                core.storage.last_index,
                core.storage.voted_for.instance if core.storage.voted_for else "",
            )
        return VoteReply(core.storage.term, granted, core.storage.disk_id)


def _may_grant_vote(core: ReplicaCore, request: VoteRequest) -> bool:
    """Return whether a request passes the checks before the vote itself.

    For a pre-vote they include the candidate's log. For a vote,
    :func:`_decide_vote` compares the logs and looks for a vote already given.
    """
    storage = core.storage
    if not core.may_vote:
        return False
    if core.has_live_leader and not request.transfer:
        return False
    if request.pre_vote:
        return request.term > storage.term and _is_up_to_date(core, request)
    return request.term >= storage.term


def _is_up_to_date(core: ReplicaCore, request: VoteRequest) -> bool:
    own_last = (core.storage.last_term, core.storage.last_index)
    return (request.last_term, request.last_index) >= own_last


async def _decide_vote(core: ReplicaCore, request: VoteRequest) -> bool:
    """Persist the term and the vote, and return whether the candidate has the vote."""
    storage = core.storage
    candidate = Voter(request.candidate, request.disk_id)
    up_to_date = _is_up_to_date(core, request)
    if request.term > storage.term:
        core.step_down()
        await storage.save_vote(request.term, candidate if up_to_date else None)
        core.leader = None
    elif up_to_date and storage.voted_for is None:
        await storage.save_vote(request.term, candidate)
    return up_to_date and storage.voted_for == candidate
