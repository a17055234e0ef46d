"""Queue of one gate: by deadline for each member, by share among the members."""

import bisect
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from cuminbend.exceptions import RequestFailedError
from cuminbend.messages import ShardRequest
from cuminbend.upstreams._admitted import AdmittedRequest
from cuminbend.upstreams._base import MemberShares

# Smallest share, so that a member with share 0 is served if no other member waits.
MIN_SHARE = 0.001
# Cost of one request. It is slightly below 1, so that fractions of shares that add up
# to 1 cover the cost of one request in spite of rounding.
REQUEST_COST = 1.0 - 1e-9


@dataclass(eq=False)
class Ticket:
    """A request that waits for admission.

    Attributes:
        deadline_ms: End of the request's budget, on the monotonic clock.
        is_unproven: Whether no upstream is known to have answered a request with the
            same fingerprint.
        must_run_alone: Whether no other request may be in flight at the upstream.
        wake_event: Set when the ticket was decided or the waiting task has to check
            the time again.
        error: Set when the ticket was refused.
        admitted: Set when the ticket was admitted.
    """

    request: ShardRequest
    deadline_ms: float
    is_unproven: bool = False
    must_run_alone: bool = False
    wake_event: anyio.Event = field(default_factory=anyio.Event)
    error: RequestFailedError | None = None
    admitted: AdmittedRequest | None = None

    @property
    def is_decided(self) -> bool:
        """Whether the ticket was admitted or refused."""
        return self.admitted is not None or self.error is not None


@dataclass
class _MemberQueue:
    tickets: list[Ticket] = field(default_factory=list)
    deficit: float = 0.0


class AdmissionQueue:
    """Deficit round robin among the members; the cost of each request is one.

    Args:
        shares: Weights of the members.
        length: Maximum number of waiting requests of one member.
    """

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
        """Return whether a member has the maximum number of waiting requests."""
        queue = self._members.get(member)
        return queue is not None and len(queue.tickets) >= self._length

    def expected_turns_before(self, member: str, deadline_ms: float) -> float:
        """Return how many waiting requests are expected to start before a new one."""
        queue = self._members.get(member)
        if queue is None:
            ahead = 0
        else:
            ahead = sum(
                1 for ticket in queue.tickets if ticket.deadline_ms <= deadline_ms
            )
        other_members = [name for name in self._members if name != member]
        own_share = self._share(member)
        turns = float(ahead)
        for name in other_members:
            fair_turns = (ahead + 1) * self._share(name) / own_share
            turns += min(float(len(self._members[name].tickets)), fair_turns)
        return turns

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind those of its member with the same or earlier deadline."""
        queue = self._members.setdefault(ticket.request.member, _MemberQueue())
        bisect.insort(queue.tickets, ticket, key=lambda other: other.deadline_ms)

    def put_back(self, ticket: Ticket) -> None:
        """Return a popped ticket to its position, and its cost to its member."""
        queue = self._members.setdefault(ticket.request.member, _MemberQueue())
        bisect.insort_left(queue.tickets, ticket, key=lambda other: other.deadline_ms)
        queue.deficit += REQUEST_COST

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket, if it is queued."""
        member = ticket.request.member
        queue = self._members.get(member)
        if queue is None or ticket not in queue.tickets:
            return
        queue.tickets.remove(ticket)
        if not queue.tickets:
            del self._members[member]

    def pop(self) -> Ticket | None:
        """Remove and return the next ticket, or return None for an empty queue."""
        if not self._members:
            return None
        if len(self._members) == 1:
            (name, queue), *_ = self._members.items()
            return self._pop_first(name, queue)
        largest_share = max(self._share(name) for name in self._members)
        while True:
            name, queue = next(iter(self._members.items()))
            if queue.deficit >= REQUEST_COST:
                queue.deficit -= REQUEST_COST
                if queue.deficit < REQUEST_COST:
                    self._members.move_to_end(name)
                return self._pop_first(name, queue)
            # The member with the largest share earns one request per round, so each
            # round serves at least one request.
            queue.deficit += self._share(name) / largest_share
            if queue.deficit < REQUEST_COST:
                self._members.move_to_end(name)

    def _pop_first(self, name: str, queue: _MemberQueue) -> Ticket:
        ticket = queue.tickets.pop(0)
        if not queue.tickets:
            del self._members[name]
        return ticket

    def _share(self, member: str) -> float:
        return max(self._shares.share(member), MIN_SHARE)
