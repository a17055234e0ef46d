"""Delay after which a second attempt is sent to another replica (hedging)."""

from cuminbend.budgets import LatencyQuantiles

_WINDOW_SAMPLES = 512
_MIN_SAMPLES = 40
# The delay is updated once per this number of samples, because the quantile changes
# little from one sample to the next.
_SAMPLES_PER_REFRESH = 16
# Median latency that is assumed without samples, as a share of the objective.
_DEFAULT_MEDIAN_SHARE_OF_OBJECTIVE = 0.15
# The delay is at least this multiple of the median latency.
_MIN_DELAY_MEDIAN_RATIO = 1.5


class HedgeDelay:
    """Delay after which an attempt of a route is hedged.

    The delay is a high quantile of the attempt latency, so that few attempts are
    hedged. It is at most a share of the latency objective, because the answer to a
    hedge sent later would be too late. A minimum that follows from the median latency
    takes precedence over that bound. Source: Dean and Barroso, "The Tail at Scale",
    CACM 2013.

    Args:
        objective_ms: Time within which the whole request should be answered.

    Attributes:
        delay_ms: Delay after which an attempt is hedged.
        median_ms: Median latency of an attempt.
        service_ms: Moving average of the latency of attempts at replicas without a
            queue, an estimate of the latency without queueing.
    """

    DELAY_QUANTILE = 0.92
    QUANTILE_MARGIN_RATIO = 1.1
    MAX_SHARE_OF_OBJECTIVE = 0.34
    DEFAULT_SHARE_OF_OBJECTIVE = 0.3
    MIN_DELAY_MS = 2.0
    SERVICE_SAMPLE_WEIGHT = 0.05

    def __init__(self, *, objective_ms: float) -> None:
        self._latencies = LatencyQuantiles(window=_WINDOW_SAMPLES)
        self._objective_ms = objective_ms
        self._sample_count = 0
        self.delay_ms = self.DEFAULT_SHARE_OF_OBJECTIVE * objective_ms
        self.median_ms = _DEFAULT_MEDIAN_SHARE_OF_OBJECTIVE * objective_ms
        self.service_ms = self.median_ms

    def set_objective(self, objective_ms: float) -> None:
        """Change the objective; the latencies recorded so far are kept."""
        if objective_ms == self._objective_ms:
            return
        self._objective_ms = objective_ms
        if self._sample_count >= _MIN_SAMPLES:
            self._update_delay()
        else:
            self.delay_ms = self.DEFAULT_SHARE_OF_OBJECTIVE * objective_ms

    def record(self, latency_ms: float, *, has_queue: bool = False) -> None:
        """Record the latency of an attempt that was answered.

        Args:
            latency_ms: Time from sending the request to receiving the whole answer.
            has_queue: Whether requests are queued at the replica, so that the latency
                may include time spent in the queue.
        """
        if not has_queue:
            self.service_ms += self.SERVICE_SAMPLE_WEIGHT * (
                latency_ms - self.service_ms
            )
        self._latencies.record(latency_ms)
        self._sample_count += 1
        if (
            self._sample_count >= _MIN_SAMPLES
            and self._sample_count % _SAMPLES_PER_REFRESH == 0
        ):
            self._update_delay()

    def _update_delay(self) -> None:
        quantile_ms = self._latencies.quantile_ms(self.DELAY_QUANTILE) or self.delay_ms
        self.median_ms = self._latencies.p50_ms or self.median_ms
        ceiling_ms = self.MAX_SHARE_OF_OBJECTIVE * self._objective_ms
        floor_ms = max(self.MIN_DELAY_MS, _MIN_DELAY_MEDIAN_RATIO * self.median_ms)
        self.delay_ms = max(
            floor_ms, min(quantile_ms * self.QUANTILE_MARGIN_RATIO, ceiling_ms)
        )
