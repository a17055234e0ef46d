"""When an attempt has taken so long that a second one is worth its cost."""

from cuminbend.budgets import LatencyQuantiles

_MIN_SAMPLES = 40
# A quantile is only read every so many samples: reading is cheap, but the value
# changes little from one sample to the next.
_REFRESH_SAMPLES = 16


class HedgeDelay:
    """Delay after which a route's attempt is hedged.

    The delay is a high quantile of the attempt latency, so that few attempts are
    hedged, but no more than a share of the objective: a hedge sent later than that
    cannot answer in time. Source: Dean and Barroso, "The Tail at Scale", CACM 2013.

    Args:
        objective_ms: Time within which the whole request should be answered.

    Attributes:
        median_ms: Median latency of an attempt.
        service_ms: Mean latency of attempts after which nothing waited, so without
            time in a queue.
    """

    QUANTILE = 0.92
    SLACK_RATIO = 1.1
    MAX_SHARE_OF_OBJECTIVE = 0.34
    DEFAULT_SHARE_OF_OBJECTIVE = 0.3
    MIN_MS = 2.0
    SERVICE_WEIGHT = 0.05

    def __init__(self, *, objective_ms: float) -> None:
        self._latency = LatencyQuantiles(window=512)
        self._objective_ms = objective_ms
        self._count = 0
        self.delay_ms = self.DEFAULT_SHARE_OF_OBJECTIVE * objective_ms
        self.median_ms = 0.15 * objective_ms
        self.service_ms = self.median_ms

    def record(self, latency_ms: float, *, has_queue: bool = False) -> None:
        """Note the latency of an attempt that was answered.

        Args:
            latency_ms: Time from sending to the whole answer.
            has_queue: Whether other requests wait there, so that this one may have.
        """
        if not has_queue:
            self.service_ms += self.SERVICE_WEIGHT * (latency_ms - self.service_ms)
        self._latency.record(latency_ms)
        self._count += 1
        if self._count >= _MIN_SAMPLES and self._count % _REFRESH_SAMPLES == 0:
            self._refresh()

    def _refresh(self) -> None:
        high_ms = self._latency.quantile_ms(self.QUANTILE) or self.delay_ms
        self.median_ms = self._latency.p50_ms or self.median_ms
        ceiling_ms = self.MAX_SHARE_OF_OBJECTIVE * self._objective_ms
        floor_ms = max(self.MIN_MS, 1.5 * self.median_ms)
        self.delay_ms = max(floor_ms, min(high_ms * self.SLACK_RATIO, ceiling_ms))
