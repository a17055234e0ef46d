"""Limit on the work in flight at one upstream."""

from collections import deque
from statistics import median

from cuminbend.ports import Clock, RandomSource
from cuminbend.upstreams._settings import GateSettings

COLD_LIMIT = 1
# Weight of a warm window in the baseline; small, so that creeping overload does not
# become the baseline before it is noticed.
BASELINE_GAIN = 0.1
MAX_DOUBLINGS = 16
# The hold is drawn from 0.5 to 1.5 times its nominal value, so that gates reset at the
# same time do not raise their limits together.
HOLD_JITTER = (0.5, 1.5)


class SlowStart:
    """Raises the limit by evidence and drops it to 1 at the first sign of trouble."""

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
        self._load_cap = slots
        self._successes = 0
        self._resets = 0
        self._hold_until_ms = float("-inf")
        self._baseline_ms: float | None = None
        self._windows = 0
        self._window: list[float] = []
        self._recent: deque[float] = deque(maxlen=settings.recent_replies)
        self.epoch = 0
        self.last_reset = ""

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return max(COLD_LIMIT, min(self._limit, self._slots, self._load_cap))

    @property
    def earned_limit(self) -> int:
        """The limit without what reported load takes off."""
        return min(self._limit, self._slots)

    @property
    def is_warm(self) -> bool:
        """Whether a window of successes ended with the limit at the slots."""
        return self._limit >= self._slots and self._windows > 0

    def resize(self, slots: int) -> None:
        """Adopt a new number of slots."""
        self._slots = max(1, slots)
        self._limit = min(self._limit, self._slots)
        self._load_cap = self._slots

    def adopt(self, limit: int) -> None:
        """Continue with the limit that a former owner reached."""
        self._limit = max(COLD_LIMIT, min(limit, self._slots))

    def report_load(self, load: float, own_in_flight: int) -> None:
        """Lower the limit by the reported load that own work does not explain."""
        foreign = load * self._slots - own_in_flight
        if foreign <= self._settings.load_tolerance * self._slots:
            self._load_cap = self._slots
        else:
            floor = round(self._settings.load_floor * self._slots)
            self._load_cap = max(floor, self._slots - round(foreign))

    def reset(self, reason: str, epoch: int | None = None) -> None:
        """Go back to cold and stay there for a backoff.

        Failures of requests admitted before the last reset, as given by ``epoch``,
        have the same cause as that one and do not lengthen the backoff.
        """
        hold_ms = min(
            self._settings.hold_ms * 2**self._resets, self._settings.max_hold_ms
        )
        now_ms = self._clock.monotonic_ms()
        self._hold_until_ms = now_ms + hold_ms * self._random.uniform(*HOLD_JITTER)
        if epoch is None or epoch == self.epoch:
            self._resets = min(self._resets + 1, MAX_DOUBLINGS)
        self._limit = COLD_LIMIT
        self._successes = 0
        self._window.clear()
        self._recent.clear()
        self._windows = 0
        self.epoch += 1
        self.last_reset = reason

    def slow(self, service_time_ms: float, epoch: int) -> None:
        """Count an exchange that took too long, or was given up after that time."""
        if epoch != self.epoch:
            return
        self._recent.append(service_time_ms)
        self._successes = 0
        self._window.clear()
        self._judge()

    def cancelled(self, waited_ms: float, epoch: int) -> None:
        """Count a cancelled exchange as slow if it already took too long.

        Otherwise an upstream that loses every hedge would never be found slow.
        """
        if self._is_slow(waited_ms):
            self.slow(waited_ms, epoch)

    def succeeded(self, service_time_ms: float, epoch: int) -> None:
        """Count a reply to a request that began under ``epoch``."""
        if epoch != self.epoch:
            # Work admitted before the reset says nothing about the cold upstream.
            return
        if self._is_slow(service_time_ms):
            self.slow(service_time_ms, epoch)
            return
        self._recent.append(service_time_ms)
        if self._clock.monotonic_ms() < self._hold_until_ms:
            return
        self._successes += 1
        self._window.append(service_time_ms)
        if self._successes >= self._settings.window_successes:
            self._finish_window()

    def _finish_window(self) -> None:
        observed_ms = median(self._window)
        if self._baseline_ms is None:
            self._baseline_ms = observed_ms
        elif self.is_warm:
            self._baseline_ms += BASELINE_GAIN * (observed_ms - self._baseline_ms)
            self._resets = 0
        else:
            self._baseline_ms = min(self._baseline_ms, observed_ms)
        self._limit = min(self._limit + 1, self._slots)
        self._windows += 1
        self._successes = 0
        self._window.clear()

    def _is_slow(self, service_time_ms: float) -> bool:
        return (
            self._baseline_ms is not None
            and service_time_ms > self._settings.latency_factor * self._baseline_ms
        )

    def _judge(self) -> None:
        full = len(self._recent) == self._recent.maxlen
        if not full or not self._is_slow(median(self._recent)):
            return
        if self._limit == COLD_LIMIT and self._baseline_ms is not None:
            self._baseline_ms *= self._settings.drift_factor
        self.reset("latency")
