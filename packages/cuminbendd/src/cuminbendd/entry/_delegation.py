"""Groups of shards that other entry instances query on behalf of this one."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from cuminbend.ports import Clock

from cuminbendd.channel import parse_address
from cuminbendd.entry._peers import (
    Accepted,
    Cancel,
    Delegate,
    Merged,
    PeerConnection,
    PeerMessage,
)
from cuminbendd.feed import EntryInfo

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 0.5
# An instance that did not accept a task in time gets no tasks for this long.
_SUSPECT_DURATION_MS = 1000.0
# Round trip assumed before the first measurement, and the weight of a new measurement
# in the moving average.
_INITIAL_ROUND_TRIP_MS = 5.0
_ROUND_TRIP_SAMPLE_WEIGHT = 0.2
# A task counts as not accepted after this many round trips plus this margin: an
# instance of about one core may send twenty requests before it reads the task.
_ACCEPT_ROUND_TRIPS = 2.0
_ACCEPT_MARGIN_MS = 12.0
# An event loop that runs late handles its timers before it reads. The message that
# accepts a task may be waiting in the socket then, so it gets this long to be read.
_ACCEPT_GRACE_S = 0.001


# Longer than any request runs. An instance that lost power never finishes its tasks.
_RETIREMENT_LIMIT_S = 10.0


class Delegation:
    """One group of shards that one other instance queries.

    The work of the other instance on the group is called a task.

    Attributes:
        shards: The group; :class:`Merged` refers to shards by their position in it.
        on_merged: Called with each message of merged parts.
        on_failed: Called once if the other instance does not accept the group in time
            or its connection is lost.
        is_open: Whether more parts may arrive.
        is_accepted: Whether the other instance has accepted the group.
        cancel: Cancels the task at the other instance.
    """

    def __init__(
        self,
        *,
        shards: tuple[str, ...],
        on_merged: "Callable[[Delegation, Merged], None]",
        on_failed: "Callable[[Delegation], None]",
    ) -> None:
        self.shards = shards
        self.on_merged = on_merged
        self.on_failed = on_failed
        self.is_open = True
        self.is_accepted = False
        self.cancel: Callable[[], None] = lambda: None


class Peer:
    """Another entry instance to which groups of shards can be delegated."""

    def __init__(self, *, info: EntryInfo, clock: Clock) -> None:
        self.info = info
        self._clock = clock
        self._connection: PeerConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._tasks: dict[int, Delegation] = {}
        self._sent_ms: dict[int, float] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._last_task_id = 0
        self._suspect_until_ms = 0.0
        self._is_retired = False
        self.round_trip_ms = _INITIAL_ROUND_TRIP_MS

    @property
    def is_usable(self) -> bool:
        """Whether the instance can be given a task now."""
        return (
            self._connection is not None
            and self._connection.is_open
            and not self._is_retired
            and not self.info.is_busy
            and self._suspect_until_ms <= self._clock.monotonic_ms()
        )

    @property
    def open_task_count(self) -> int:
        """Number of tasks that the instance has not finished."""
        return len(self._tasks)

    def connect(self) -> None:
        """Start to connect unless connected, connecting, suspect or retired."""
        if self._is_retired:
            return
        if self._connection is not None and self._connection.is_open:
            return
        if self._connect_task is not None and not self._connect_task.done():
            return
        if self._suspect_until_ms <= self._clock.monotonic_ms():
            self._connect_task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        host, port = parse_address(self.info.helper_address)
        loop = asyncio.get_running_loop()
        connection = PeerConnection(self)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError) as error:
            self._mark_suspect(f"unreachable: {type(error).__name__}")
            return
        self._connection = connection

    def start_task(
        self,
        delegation: Delegation,
        build_message: Callable[[int, float], Delegate],
    ) -> None:
        """Give the instance a task.

        Args:
            delegation: Group of shards of the task.
            build_message: Returns the message, from the id of the task and the round
                trip in ms.
        """
        assert self._connection is not None
        self._last_task_id += 1
        task_id = self._last_task_id
        self._tasks[task_id] = delegation
        self._sent_ms[task_id] = self._clock.monotonic_ms()
        delegation.cancel = lambda: self._cancel_task(task_id)
        self._connection.send(build_message(task_id, self.round_trip_ms))
        limit_ms = _ACCEPT_ROUND_TRIPS * self.round_trip_ms + _ACCEPT_MARGIN_MS
        loop = asyncio.get_running_loop()
        self._timers[task_id] = loop.call_later(
            limit_ms / 1000, self._on_accept_timeout, task_id
        )

    def retire(self) -> None:
        """Give the instance no more tasks, and close once it has finished its tasks."""
        self._is_retired = True
        if self._tasks:
            loop = asyncio.get_running_loop()
            loop.call_later(_RETIREMENT_LIMIT_S, self.close)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.close()

    def on_message(self, connection: PeerConnection, message: PeerMessage) -> None:
        """Handle a message of the other instance about a task."""
        if not isinstance(message, Accepted | Merged):
            return
        delegation = self._tasks.get(message.task_id)
        if delegation is None:
            return
        if isinstance(message, Accepted):
            self._record_acceptance(message.task_id, delegation)
        else:
            if message.is_final:
                self._remove_task(message.task_id)
                delegation.is_open = False
            delegation.on_merged(delegation, message)

    def on_closed(self, connection: PeerConnection) -> None:
        """Fail all tasks, because the instance may be gone."""
        if connection is not self._connection:
            return
        self._connection = None
        for task_id, delegation in list(self._tasks.items()):
            self._remove_task(task_id)
            self._fail_delegation(delegation)

    def _record_acceptance(self, task_id: int, delegation: Delegation) -> None:
        delegation.is_accepted = True
        timer = self._timers.pop(task_id, None)
        if timer is not None:
            timer.cancel()
        elapsed_ms = self._clock.monotonic_ms() - self._sent_ms[task_id]
        self.round_trip_ms += _ROUND_TRIP_SAMPLE_WEIGHT * (
            elapsed_ms - self.round_trip_ms
        )

    def _on_accept_timeout(self, task_id: int) -> None:
        loop = asyncio.get_running_loop()
        self._timers[task_id] = loop.call_later(
            _ACCEPT_GRACE_S, self._on_not_accepted, task_id
        )

    def _on_not_accepted(self, task_id: int) -> None:
        """Cancel the task and mark the instance as suspect.

        The tasks that the instance has accepted continue. It may already have sent both
        attempts to their shards, so no other instance may query these shards.
        """
        delegation = self._tasks.get(task_id)
        if delegation is None:
            return
        self._mark_suspect("task_not_accepted")
        # A stalled instance later reads the task and its cancellation together, and
        # does not start the task.
        self._cancel_task(task_id)
        delegation.on_failed(delegation)
        loop = asyncio.get_running_loop()
        loop.call_later(
            _SUSPECT_DURATION_MS / 1000, self._close_connection, self._connection
        )

    def _close_connection(self, connection: PeerConnection | None) -> None:
        if connection is not None and connection is self._connection:
            connection.close()

    def _mark_suspect(self, cause: str) -> None:
        self._suspect_until_ms = self._clock.monotonic_ms() + _SUSPECT_DURATION_MS
        logger.warning(
            "event=helper_suspect instance=%s cause='%s' round_trip_ms=%.1f",
            self.info.instance,
            cause,
            self.round_trip_ms,
        )

    def _cancel_task(self, task_id: int) -> None:
        if task_id in self._tasks:
            self._tasks[task_id].is_open = False
            self._remove_task(task_id)
            if self._connection is not None:
                self._connection.send(Cancel(task_id))

    def _remove_task(self, task_id: int) -> None:
        self._tasks.pop(task_id, None)
        self._sent_ms.pop(task_id, None)
        timer = self._timers.pop(task_id, None)
        if timer is not None:
            timer.cancel()
        if self._is_retired and not self._tasks:
            self.close()

    def _fail_delegation(self, delegation: Delegation) -> None:
        if delegation.is_open:
            delegation.is_open = False
            delegation.on_failed(delegation)


class Peers:
    """The other entry instances to which groups of shards can be delegated.

    Args:
        own_instance: Name of this instance.
        clock: Source of time.
    """

    def __init__(self, *, own_instance: str, clock: Clock) -> None:
        self._own_instance = own_instance
        self._clock = clock
        self._peers: dict[str, Peer] = {}

    def set_entries(self, entries: Iterable[EntryInfo]) -> None:
        """Replace the peers by the active entry instances that accept groups."""
        helper_entries = {
            entry.instance: entry
            for entry in entries
            if entry.helper_address
            and entry.is_active
            and entry.instance != self._own_instance
        }
        for name in set(self._peers) - set(helper_entries):
            # An instance that stops as planned leaves the directory first.
            self._peers.pop(name).retire()
        for name, entry in helper_entries.items():
            peer = self._peers.get(name)
            if peer is None or peer.info.helper_address != entry.helper_address:
                if peer is not None:
                    peer.close()
                peer = self._peers[name] = Peer(info=entry, clock=self._clock)
            peer.info = entry
            peer.connect()

    def reconnect(self) -> None:
        """Start to open the connections that are missing."""
        for peer in self._peers.values():
            peer.connect()

    def usable_counts(self) -> dict[str, int]:
        """Return the number of instances that can be given a task, by data centre."""
        counts: dict[str, int] = {}
        for peer in self._peers.values():
            if peer.is_usable:
                data_centre = peer.info.data_centre
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return counts

    def choose_peer(
        self, data_centre: str, excluded: Iterable[Peer] = ()
    ) -> Peer | None:
        """Return the usable instance with the fewest open tasks in a data centre.

        Returns:
            None if the data centre has no usable instance that is not excluded.
        """
        excluded_peers = set(excluded)
        usable = [
            peer
            for peer in self._peers.values()
            if peer.info.data_centre == data_centre
            and peer.is_usable
            and peer not in excluded_peers
        ]
        random.shuffle(usable)
        return min(usable, key=lambda peer: peer.open_task_count, default=None)

    def close(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            peer.close()
