"""What one gate has in flight at its upstream."""

from collections.abc import Callable, Iterable

import anyio

from cuminbend.messages import ShardRequest


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
        """Return the unproven requests that the upstream may be running."""
        return [f for f in self._flights if f.unproven and f.began and not f.ended]

    def expire(self, now_ms: float) -> None:
        """Stop counting abandoned requests whose deadline has passed."""
        self._flights = [f for f in self._flights if f.active or f.deadline_ms > now_ms]

    def next_expiry_ms(self) -> float:
        """Return when the next abandoned request stops counting, or infinity."""
        return min(_ends(self._flights), default=float("inf"))

    def has_alone(self) -> bool:
        """Return whether a request that must run alone is in flight."""
        return any(flight.alone for flight in self._flights)


def _ends(flights: Iterable[Flight]) -> Iterable[float]:
    return (flight.deadline_ms for flight in flights if not flight.active)
