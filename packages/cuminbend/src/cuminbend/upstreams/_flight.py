"""What one gate has in flight at its upstream."""

from collections import deque
from collections.abc import Callable

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
        ends_ms: When the upstream stops to run it at the latest.
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
        ends_ms: float,
        unproven: bool,
        alone: bool,
        epoch: int,
        changed: Callable[["Flight"], None],
    ) -> None:
        self.request = request
        self.deadline_ms = deadline_ms
        self.ends_ms = ends_ms
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

    def connection_closed(self) -> None:
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
        self._awaited: list[Flight] = []
        self._abandoned: list[Flight] = []
        self._doubtful: deque[Flight] = deque(maxlen=MAX_DOUBTFUL)

    def __len__(self) -> int:
        return len(self._awaited) + len(self._abandoned)

    @property
    def active(self) -> int:
        """Exchanges awaited now, each of which uses a connection."""
        return len(self._awaited)

    @property
    def abandoned(self) -> bool:
        """Whether requests are counted that nobody awaits."""
        return bool(self._abandoned)

    def has_unawaited(self) -> bool:
        """Return whether there are requests that nobody awaits, counted or not."""
        return bool(self._abandoned or self._doubtful)

    def add(self, flight: Flight) -> None:
        """Count a request."""
        self._awaited.append(flight)

    def abandon(self, flight: Flight) -> None:
        """Go on counting a request that is no longer awaited."""
        self._awaited.remove(flight)
        self._abandoned.append(flight)

    def discard(self, flight: Flight) -> None:
        """Stop counting a request, if it is counted."""
        for flights in (self._awaited, self._abandoned):
            if flight in flights:
                flights.remove(flight)

    def unproven(self) -> list[Flight]:
        """Return the unproven requests that may break, or have broken, the upstream."""
        flights = (*self._doubtful, *self._abandoned, *self._awaited)
        return [flight for flight in flights if flight.is_doubtful]

    def survived(self, began_ms: float) -> None:
        """Note that the upstream answered a request sent at ``began_ms``.

        Abandoned requests whose deadline was before that have not broken it.
        """
        while self._doubtful and self._doubtful[0].ends_ms <= began_ms:
            self._doubtful.popleft()

    def expire(self, now_ms: float) -> None:
        """Stop counting abandoned requests whose deadline has passed.

        Those that are unproven are remembered until the upstream gives an answer,
        because the failure of a later request may be the first sign of a break.
        """
        for flight in [f for f in self._abandoned if f.ends_ms <= now_ms]:
            self._abandoned.remove(flight)
            if flight.is_doubtful:
                self._doubtful.append(flight)

    def next_expiry_ms(self) -> float:
        """Return when the next abandoned request stops counting, or infinity."""
        return min((f.ends_ms for f in self._abandoned), default=float("inf"))

    def has_alone(self) -> bool:
        """Return whether a request that must run alone is in flight."""
        # It is the only one, because it started alone.
        flights = self._awaited or self._abandoned
        return bool(flights) and flights[0].alone
