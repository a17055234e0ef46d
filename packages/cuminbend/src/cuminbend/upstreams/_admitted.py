"""Admitted requests that an upstream may be running."""

from collections import deque
from collections.abc import Callable

import anyio

from cuminbend.messages import ShardRequest

# Number of expired crash candidates kept per upstream. Only an unusual number of
# abandoned requests exceeds it.
MAX_EXPIRED_CANDIDATES = 100


class CrashRecord:
    """Commits to the control log for the unproven requests of one upstream crash.

    Attributes:
        done: Event that is set when all commits have ended.
        failed: Fingerprints whose commit did not succeed.
        quarantined: Fingerprints that the commit put into quarantine.
    """

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.failed: set[str] = set()
        self.quarantined: set[str] = set()


class AdmittedRequest:
    """An admitted request, until the upstream can no longer be running it.

    It implements :class:`cuminbend.ports.ExchangeObserver`.

    Attributes:
        latest_end_ms: Monotonic time at which the upstream stops running the request at
            the latest.
        epoch: Epoch of the slow start in which the request was admitted.
        incarnation: Incarnation of the upstream that was known when the exchange began.
        is_awaited: Whether this instance still awaits the exchange.
        exchange_began: Whether the transport was called, so that bytes may have been
            sent.
        is_connection_closed: Whether the upstream is known to have closed the
            connection, or never had it.
        has_ended: Whether the upstream is known not to run the request.
        is_unproven: Whether no upstream is known to have answered a request with the
            same fingerprint.
        must_run_alone: Whether no other request may be in flight at the upstream.
        crash_record: Set when the upstream crashed while this request was unproven.
    """

    def __init__(
        self,
        *,
        request: ShardRequest,
        deadline_ms: float,
        latest_end_ms: float,
        is_unproven: bool,
        must_run_alone: bool,
        epoch: int,
        on_change: Callable[["AdmittedRequest"], None],
    ) -> None:
        self.request = request
        self.deadline_ms = deadline_ms
        self.latest_end_ms = latest_end_ms
        self.is_unproven = is_unproven
        self.must_run_alone = must_run_alone
        self.epoch = epoch
        self.incarnation = 0
        self.is_awaited = True
        self.exchange_began = False
        self.is_connection_closed = False
        self.has_ended = False
        self.crash_record: CrashRecord | None = None
        self._on_change = on_change

    @property
    def is_crash_candidate(self) -> bool:
        """Whether the request may crash, or have crashed, the upstream."""
        is_recorded = self.crash_record is not None and not self.is_awaited
        return (
            self.is_unproven
            and self.exchange_began
            and not self.has_ended
            and not is_recorded
        )

    def connection_closed(self) -> None:
        """Record that the upstream does not hold the connection open."""
        self.is_connection_closed = True
        self._on_change(self)

    def work_ended(self) -> None:
        """Record that the upstream does not run the request."""
        self.has_ended = True
        self._on_change(self)


class AdmittedRequests:
    """Awaited requests, and abandoned requests that the upstream may still run.

    Its length is the number of requests that are counted as in flight.
    """

    def __init__(self) -> None:
        self._awaited: list[AdmittedRequest] = []
        self._abandoned: list[AdmittedRequest] = []
        self._expired_candidates: deque[AdmittedRequest] = deque(
            maxlen=MAX_EXPIRED_CANDIDATES
        )

    def __len__(self) -> int:
        return len(self._awaited) + len(self._abandoned)

    @property
    def awaited_count(self) -> int:
        """Number of awaited exchanges, each of which uses a connection."""
        return len(self._awaited)

    @property
    def has_abandoned(self) -> bool:
        """Whether abandoned requests are counted as in flight."""
        return bool(self._abandoned)

    def has_abandoned_or_expired(self) -> bool:
        """Return whether there are abandoned requests or expired crash candidates."""
        return bool(self._abandoned or self._expired_candidates)

    def add(self, admitted: AdmittedRequest) -> None:
        """Count a request as in flight and awaited."""
        self._awaited.append(admitted)

    def abandon(self, admitted: AdmittedRequest) -> None:
        """Keep counting a request as in flight that is no longer awaited."""
        self._awaited.remove(admitted)
        self._abandoned.append(admitted)

    def discard(self, admitted: AdmittedRequest) -> None:
        """Stop counting a request as in flight, if it is counted."""
        for admitted_requests in (self._awaited, self._abandoned):
            if admitted in admitted_requests:
                admitted_requests.remove(admitted)

    def crash_candidates(self) -> list[AdmittedRequest]:
        """Return the requests that may crash, or have crashed, the upstream."""
        admitted_requests = (
            *self._expired_candidates,
            *self._abandoned,
            *self._awaited,
        )
        return [
            admitted for admitted in admitted_requests if admitted.is_crash_candidate
        ]

    def record_answer(self, began_ms: float) -> None:
        """Record that the upstream answered a request sent at ``began_ms``.

        Abandoned requests whose deadline was before that time did not crash the
        upstream, so they are no candidates any more.
        """
        while (
            self._expired_candidates
            and self._expired_candidates[0].latest_end_ms <= began_ms
        ):
            self._expired_candidates.popleft()

    def expire_abandoned(self, now_ms: float) -> None:
        """Stop counting abandoned requests whose deadline has passed.

        Unproven requests among them remain crash candidates until the upstream answers
        a later request, because the failure of a later request may be the first sign of
        a crash.
        """
        for admitted in [
            request for request in self._abandoned if request.latest_end_ms <= now_ms
        ]:
            self._abandoned.remove(admitted)
            if admitted.is_crash_candidate:
                self._expired_candidates.append(admitted)

    def next_expiry_ms(self) -> float:
        """Return the monotonic time of the next expiry, or infinity without any."""
        return min(
            (admitted.latest_end_ms for admitted in self._abandoned),
            default=float("inf"),
        )

    def has_running_alone(self) -> bool:
        """Return whether a request that must run alone is in flight."""
        # Such a request is the only one in flight, so checking the first is enough.
        admitted_requests = self._awaited or self._abandoned
        return bool(admitted_requests) and admitted_requests[0].must_run_alone
