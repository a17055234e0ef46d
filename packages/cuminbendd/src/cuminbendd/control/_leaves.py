"""Records leaves of upstreams in the control group before the acknowledgement.

:class:`cuminbend.registry.LeaveQuorum` decides when a leave may be acknowledged.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Container

from cuminbend.exceptions import ChannelError, UnavailableError
from cuminbend.newest import Command, RecordLeave
from cuminbend.registry import LeaveQuorum, Registration

from cuminbendd.channel import ChannelPool
from cuminbendd.control._messages import CONTROL_CODEC, LeaveReply, LeaveRequest

logger = logging.getLogger(__name__)

# Upstreams wait one second for an acknowledgement and then ask another instance.
_CONFIRM_TIMEOUT_MS = 400.0
_RETRY_AFTER_MS = 200


class LeaveConfirmations:
    """Sends leaves to the other control instances and waits for a majority.

    Args:
        own_address: Channel address of this control instance.
        voters: Returns the channel addresses of the voters of the control group.
        peers: Returns the channel addresses of all other control instances.
        commit: Commits a command.
    """

    def __init__(
        self,
        *,
        own_address: str,
        voters: Callable[[], Collection[str]],
        peers: Callable[[], Collection[str]],
        commit: Callable[[Command], Awaitable[None]],
    ) -> None:
        self._commit = commit
        self._own_address = own_address
        self._voters = voters
        self._peers = peers
        self._channel_pool = ChannelPool(CONTROL_CODEC)
        self._confirmed_orders: dict[str, tuple[int, int]] = {}
        self._calls: set[asyncio.Task[Registration | None]] = set()

    async def confirm(
        self, upstream: str, registration: Registration | None
    ) -> Registration:
        """Return the registration once a leave is committed and known to a majority.

        The commit survives the loss of all control processes at the same moment. The
        calls tell the other instances before the acknowledgement.

        Args:
            upstream: The leaving upstream.
            registration: Its registration here, or None if it is unknown here.

        Raises:
            UnavailableError: If no majority confirmed in time, if no instance that
                replied knows the upstream, or if it is not known whether the leave is
                committed.
        """
        if registration is not None and self._is_confirmed(registration):
            return registration
        quorum = LeaveQuorum(
            voters=self._voters(),
            receiver=self._own_address,
            registration=registration,
        )
        request = LeaveRequest(upstream=upstream, registration=registration)
        if registration is None:
            await self._collect_replies(quorum, request)
        else:
            await asyncio.gather(
                self._collect_replies(quorum, request),
                self._commit(RecordLeave(registration)),
            )
        if quorum.registration is None or not quorum.is_complete:
            logger.warning(
                "event=leave_not_confirmed upstream=%s known=%s missing=%d",
                upstream,
                quorum.registration is not None,
                quorum.missing_count,
            )
            raise UnavailableError(
                "too few control instances have recorded that the upstream leaves; "
                "send the message to another one",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if registration is None:
            await self._commit(RecordLeave(quorum.registration))
        self._confirmed_orders[upstream] = _leave_order(quorum.registration)
        return quorum.registration

    async def _collect_replies(
        self, quorum: LeaveQuorum, request: LeaveRequest
    ) -> None:
        """Call all other instances until the quorum is complete or all have replied.

        The calls that are still open then run on, so that every instance learns of the
        leave.
        """
        calls = {
            asyncio.ensure_future(self._call(address, request)): address
            for address in self._peers()
        }
        self._calls.update(calls)
        pending = set(calls)
        while pending and not quorum.is_complete:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for call in done:
                quorum.record_reply(calls[call], call.result())

    def _is_confirmed(self, registration: Registration) -> bool:
        confirmed = self._confirmed_orders.get(registration.upstream)
        return confirmed is not None and confirmed >= _leave_order(registration)

    async def _call(self, address: str, request: LeaveRequest) -> Registration | None:
        """Return the registration that an instance recorded, or None."""
        try:
            reply = await self._channel_pool.call(address, request, _CONFIRM_TIMEOUT_MS)
        except ChannelError as error:
            logger.info(
                "event=leave_not_sent upstream=%s control=%s error='%s'",
                request.upstream,
                address,
                error,
            )
            return None
        finally:
            task = asyncio.current_task()
            self._calls.discard(task)  # type: ignore[arg-type]
        return reply.registration if isinstance(reply, LeaveReply) else None

    def retain(self, registered: Container[str]) -> None:
        """Forget the confirmations of upstreams that are no longer registered."""
        for upstream in tuple(self._confirmed_orders):
            if upstream not in registered:
                del self._confirmed_orders[upstream]

    def close(self) -> None:
        """Close the connections to other control instances."""
        self._channel_pool.close()


def _leave_order(registration: Registration) -> tuple[int, int]:
    """Return what has to be confirmed again if it grows; heartbeats repeat a leave."""
    return (registration.incarnation_ms, int(registration.state))
