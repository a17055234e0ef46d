"""What one gate has in flight at its upstream."""

from collections import deque
from collections.abc import Callable, Iterable

import anyio

from cuminbend.messages import ShardRequest

# Abandoned unproven requests remembered per upstream; more only come from a flood.
MAX_DOUBTFUL = 100


class CrashRecord:
    """The commits for the unproven requests of one break of an upstream.

    Attributes:
        done: Set when all commits have ended.
        failed: Fingerprints whose commit did not succeed.
        quarantined: Fingerprints that are refused everywhere from now on.
    """

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.failed: set[str] = set()
        self.quarantined: set[str] = set()


class Flight:
    """One admitted request, until the upstream can no longer be running it.

    It implements :class:`cuminbend.ports.ExchangeObserver`.

    Attributes:
        epoch: Slow start in which it was admitted.
        incarnation: Of the upstream as known when the exchange began.
        active: Whether the exchange is still awaited at this end.
        began: Whether the transport was called, so that bytes may have been sent.
        gone: Whether the upstream is known not to hold the connection.
        ended: Whether the upstream is known not to run the request.
        unproven: Whether no upstream is known to have answered its fingerprint.
        crash: Set when the upstream broke while this request was unproven.
    """

    def __init__(
        self,
        *,
        request: ShardRequest,
        deadline_ms: float,
        unproven: bool,
        alone: bool,
        epoch: int,
        changed: Callable[["Flight"], None],
    ) -> None:
        self.request = request
        self.deadline_ms = deadline_ms
        self.unproven = unproven
        self.alone = alone
        self.epoch = epoch
        self.incarnation = 0
        self.active = True
        self.began = False
        self.gone = False
        self.ended = False
        self.crash: CrashRecord | None = None
        self._changed = changed

    @property
    def is_doubtful(self) -> bool:
        """Whether it is unproven, and has not ended in a known and harmless way."""
        recorded = self.crash is not None and not self.active
        return self.unproven and self.began and not self.ended and not recorded

    def connection_gone(self) -> None:
        """Note that the upstream has closed the connection."""
        self.gone = True
        self._changed(self)

    def work_ended(self) -> None:
        """Note that the upstream no longer runs the request."""
        self.ended = True
        self._changed(self)


class Flights:
    """Requests awaited, and requests given up that the upstream may still run."""

    def __init__(self) -> None:
        self._flights: list[Flight] = []
        self._doubtful: deque[Flight] = deque(maxlen=MAX_DOUBTFUL)

    def __len__(self) -> int:
        return len(self._flights)

    @property
    def active(self) -> int:
        """Exchanges awaited now, each of which uses a connection."""
        return sum(1 for flight in self._flights if flight.active)

    def add(self, flight: Flight) -> None:
        """Count a request."""
        self._flights.append(flight)

    def discard(self, flight: Flight) -> None:
        """Stop counting a request."""
        if flight in self._flights:
            self._flights.remove(flight)

    def unproven(self) -> list[Flight]:
        """Return the unproven requests that may break, or have broken, the upstream."""
        return [f for f in (*self._doubtful, *self._flights) if f.is_doubtful]

    def survived(self, began_ms: float) -> None:
        """Note that the upstream answered a request sent at ``began_ms``.

        Abandoned requests whose deadline was before that have not broken it.
        """
        self._doubtful = deque(
            (f for f in self._doubtful if f.deadline_ms > began_ms), MAX_DOUBTFUL
        )

    def expire(self, now_ms: float) -> None:
        """Stop counting abandoned requests whose deadline has passed.

        Those that are unproven are remembered until the upstream gives an answer,
        because the failure of a later request may be the first sign of a break.
        """
        ended = [f for f in self._flights if f.deadline_ms <= now_ms and not f.active]
        self._doubtful.extend(flight for flight in ended if flight.is_doubtful)
        self._flights = [f for f in self._flights if f not in ended]

    def next_expiry_ms(self) -> float:
        """Return when the next abandoned request stops counting, or infinity."""
        return min(_ends(self._flights), default=float("inf"))

    def has_alone(self) -> bool:
        """Return whether a request that must run alone is in flight."""
        return any(flight.alone for flight in self._flights)


def _ends(flights: Iterable[Flight]) -> Iterable[float]:
    return (flight.deadline_ms for flight in flights if not flight.active)
