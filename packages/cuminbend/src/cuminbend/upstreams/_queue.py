"""Queue of one gate: by deadline within a member, by share over the members."""

import bisect
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from cuminbend.exceptions import RequestFailedError
from cuminbend.messages import ShardRequest
from cuminbend.upstreams._base import MemberShares
from cuminbend.upstreams._flight import Flight

# A member with share 0 still gets a turn when nothing else is waiting.
MIN_SHARE = 0.001
# Cost of one request. Slightly below 1, so that fractions of shares that add up to 1
# pay for one in spite of rounding.
COST = 1.0 - 1e-9


@dataclass(eq=False)
class Ticket:
    """A request that waits for admission.

    Attributes:
        flight: Set when the ticket was admitted.
        error: Set when the ticket was refused.
        deadline_ms: End of the request's budget, on the monotonic clock.
        wake: Set when the ticket was decided or has to look at the time again.
    """

    request: ShardRequest
    deadline_ms: float
    unproven: bool = False
    alone: bool = False
    wake: anyio.Event = field(default_factory=anyio.Event)
    error: RequestFailedError | None = None
    flight: Flight | None = None

    @property
    def decided(self) -> bool:
        """Whether the ticket was admitted or refused."""
        return self.flight is not None or self.error is not None


@dataclass
class _MemberQueue:
    tickets: list[Ticket] = field(default_factory=list)
    deficit: float = 0.0


class AdmissionQueue:
    """Deficit round robin over members; each request costs one."""

    def __init__(self, *, shares: MemberShares, length: int) -> None:
        self._shares = shares
        self._length = length
        self._members: OrderedDict[str, _MemberQueue] = OrderedDict()

    def __len__(self) -> int:
        return sum([len(queue.tickets) for queue in self._members.values()])

    def __iter__(self) -> Iterator[Ticket]:
        for queue in self._members.values():
            yield from queue.tickets

    def lengths(self) -> dict[str, int]:
        """Return the number of waiting requests of each member."""
        return {name: len(queue.tickets) for name, queue in self._members.items()}

    def is_full(self, member: str) -> bool:
        """Return whether a member has used up its places."""
        queue = self._members.get(member)
        return queue is not None and len(queue.tickets) >= self._length

    def turns_before(self, member: str, deadline_ms: float) -> float:
        """Return the requests of all members expected to start before a new one."""
        queue = self._members.get(member)
        if queue is None:
            ahead = 0
        else:
            ahead = sum(
                1 for ticket in queue.tickets if ticket.deadline_ms <= deadline_ms
            )
        others = [name for name in self._members if name != member]
        own_share = self._share(member)
        turns = float(ahead)
        for name in others:
            fair = (ahead + 1) * self._share(name) / own_share
            turns += min(float(len(self._members[name].tickets)), fair)
        return turns

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind those of its member with the same or earlier deadline."""
        queue = self._members.setdefault(ticket.request.member, _MemberQueue())
        bisect.insort(queue.tickets, ticket, key=lambda other: other.deadline_ms)

    def put_back(self, ticket: Ticket) -> None:
        """Put a ticket that was taken out back in its place."""
        queue = self._members.setdefault(ticket.request.member, _MemberQueue())
        bisect.insort_left(queue.tickets, ticket, key=lambda other: other.deadline_ms)
        queue.deficit += COST

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, if it is still in."""
        member = ticket.request.member
        queue = self._members.get(member)
        if queue is None or ticket not in queue.tickets:
            return
        queue.tickets.remove(ticket)
        if not queue.tickets:
            del self._members[member]

    def pop(self) -> Ticket | None:
        """Take out the ticket whose turn it is, or return None."""
        if not self._members:
            return None
        if len(self._members) == 1:
            (name, queue), *_ = self._members.items()
            return self._take(name, queue)
        largest = max(self._share(name) for name in self._members)
        while True:
            name, queue = next(iter(self._members.items()))
            if queue.deficit >= COST:
                queue.deficit -= COST
                if queue.deficit < COST:
                    self._members.move_to_end(name)
                return self._take(name, queue)
            # The largest share earns one request per round, so a round serves one.
            queue.deficit += self._share(name) / largest
            if queue.deficit < COST:
                self._members.move_to_end(name)

    def _take(self, name: str, queue: _MemberQueue) -> Ticket:
        ticket = queue.tickets.pop(0)
        if not queue.tickets:
            del self._members[name]
        return ticket

    def _share(self, member: str) -> float:
        return max(self._shares.share(member), MIN_SHARE)
