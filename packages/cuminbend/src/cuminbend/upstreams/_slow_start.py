"""Limit on the requests in flight at one upstream."""

from collections import deque
from statistics import median

from cuminbend.ports import Clock, RandomSource
from cuminbend.upstreams._settings import GateSettings

COLD_LIMIT = 1
# Weight of a window of a warm upstream in the baseline latency. It is small so that a
# gradual overload is detected before it changes the baseline.
BASELINE_WEIGHT = 0.1
MAX_HOLD_DOUBLINGS = 16
# Range of the random factor on the hold time after a reset. It keeps gates that were
# reset at the same time from raising their limits at the same time.
HOLD_JITTER_RANGE = (0.5, 1.5)


class SlowStart:
    """Limit that grows with successful windows and is reset to 1 by failures.

    Attributes:
        epoch: Number of resets so far; identifies the slow start under which a request
            was admitted.
        last_reset: Reason of the last reset, or an empty string.
    """

    def __init__(
        self,
        *,
        settings: GateSettings,
        clock: Clock,
        random: RandomSource,
        slots: int,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random
        self._slots = slots
        self._limit = COLD_LIMIT
        self._load_limit = slots
        self._success_count = 0
        self._reset_count = 0
        self._hold_until_ms = float("-inf")
        self._baseline_ms: float | None = None
        self._full_window_count = 0
        self._window_latencies_ms: list[float] = []
        self._recent_latencies_ms: deque[float] = deque(
            maxlen=settings.recent_reply_count
        )
        self.epoch = 0
        self.last_reset = ""

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return max(COLD_LIMIT, min(self._limit, self._slots, self._load_limit))

    @property
    def earned_limit(self) -> int:
        """Limit without the reduction for reported load."""
        return min(self._limit, self._slots)

    @property
    def is_warm(self) -> bool:
        """Whether the limit equals the slots and a window ended since the reset."""
        return self._limit >= self._slots and self._full_window_count > 0

    def set_slots(self, slots: int) -> None:
        """Set the number of slots; removes the reduction for reported load."""
        self._slots = max(1, slots)
        self._limit = min(self._limit, self._slots)
        self._load_limit = self._slots

    def adopt_limit(self, limit: int) -> None:
        """Continue with the limit that a former owner of the upstream reached."""
        self._limit = max(COLD_LIMIT, min(limit, self._slots))

    def report_load(self, load: float, own_in_flight: int) -> None:
        """Lower the limit by the reported load that own requests do not explain.

        Args:
            load: Share of the slots in use, 0 to 1, as reported by the upstream.
            own_in_flight: Requests of this instance in flight at that time.
        """
        unexplained = load * self._slots - own_in_flight
        if unexplained <= self._settings.unexplained_load_tolerance * self._slots:
            self._load_limit = self._slots
        else:
            min_limit = round(self._settings.min_load_limit_share * self._slots)
            self._load_limit = max(min_limit, self._slots - round(unexplained))

    def reset(self, reason: str, epoch: int | None = None) -> None:
        """Set the limit to 1 and keep it there for a hold time.

        The hold time doubles with each reset. Failures of requests admitted before the
        last reset, as given by ``epoch``, have the same cause as that reset and do not
        double the hold time.
        """
        hold_ms = min(
            self._settings.reset_hold_ms * 2**self._reset_count,
            self._settings.max_reset_hold_ms,
        )
        now_ms = self._clock.monotonic_ms()
        self._hold_until_ms = now_ms + hold_ms * self._random.uniform(
            *HOLD_JITTER_RANGE
        )
        if epoch is None or epoch == self.epoch:
            self._reset_count = min(self._reset_count + 1, MAX_HOLD_DOUBLINGS)
        self._limit = COLD_LIMIT
        self._success_count = 0
        self._window_latencies_ms.clear()
        self._recent_latencies_ms.clear()
        self._full_window_count = 0
        self.epoch += 1
        self.last_reset = reason

    def record_slow(self, service_time_ms: float, epoch: int) -> None:
        """Record an exchange that took too long or was abandoned.

        Args:
            service_time_ms: Time until the reply or until the exchange was abandoned.
            epoch: Epoch under which the request was admitted.
        """
        if epoch != self.epoch:
            return
        self._recent_latencies_ms.append(service_time_ms)
        self._success_count = 0
        self._window_latencies_ms.clear()
        self._reset_if_slow()

    def record_cancelled(self, waited_ms: float, epoch: int) -> None:
        """Record a cancelled exchange as slow if it had already taken too long.

        Otherwise an upstream whose exchanges are all cancelled in favour of hedges
        would never count as slow.
        """
        if self._is_slow(waited_ms):
            self.record_slow(waited_ms, epoch)

    def record_success(self, service_time_ms: float, epoch: int) -> None:
        """Record the reply to a request that was admitted under ``epoch``."""
        if epoch != self.epoch:
            # Requests admitted before the reset give no evidence of the cold upstream.
            return
        if self._is_slow(service_time_ms):
            self.record_slow(service_time_ms, epoch)
            return
        self._recent_latencies_ms.append(service_time_ms)
        if self._clock.monotonic_ms() < self._hold_until_ms:
            return
        self._success_count += 1
        self._window_latencies_ms.append(service_time_ms)
        if self._success_count >= self._settings.window_successes:
            self._finish_window()

    def _finish_window(self) -> None:
        observed_ms = median(self._window_latencies_ms)
        if self._baseline_ms is None:
            self._baseline_ms = observed_ms
        elif self.is_warm:
            self._baseline_ms += BASELINE_WEIGHT * (observed_ms - self._baseline_ms)
            self._reset_count = 0
        else:
            self._baseline_ms = min(self._baseline_ms, observed_ms)
        self._limit = min(self._limit + 1, self._slots)
        self._full_window_count += 1
        self._success_count = 0
        self._window_latencies_ms.clear()

    def _is_slow(self, service_time_ms: float) -> bool:
        return (
            self._baseline_ms is not None
            and service_time_ms > self._settings.slow_latency_factor * self._baseline_ms
        )

    def _reset_if_slow(self) -> None:
        has_enough_replies = (
            len(self._recent_latencies_ms) == self._recent_latencies_ms.maxlen
        )
        if not has_enough_replies or not self._is_slow(
            median(self._recent_latencies_ms)
        ):
            return
        if self._limit == COLD_LIMIT and self._baseline_ms is not None:
            self._baseline_ms *= self._settings.baseline_growth_factor
        self.reset("latency")
