"""Metrics of an entry or control instance, in the Prometheus text format.

Counters and histograms are updated while requests run; gauges are read when the metrics
are rendered.
"""

from collections.abc import Callable, Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

# From a tenth of the shortest latency objective to the longest route timeout.
_DURATION_BUCKETS_MS = (5, 10, 20, 30, 40, 60, 80, 120, 160, 250, 500, 1000, 2500, 5000)
_COVERAGE_BUCKETS = (0.5, 0.75, 0.8, 0.85, 0.9, 0.95, 0.99, 1.0)

GaugeValues = Mapping[str, float]


class Metrics:
    """Counters, histograms and gauges of one instance.

    Args:
        gauges: Returns the current values of all gauges by name. It is called whenever
            the metrics are rendered. Labels follow the name in braces, as in
            ``upstreams{state=ready}``.
    """

    def __init__(self, *, gauges: Callable[[], GaugeValues] = dict) -> None:
        self._read_gauges = gauges
        self._registry = Registry()
        self._requests = Counter(
            "cuminbend_requests_total",
            "Requests that ended, by route and outcome.",
            registry=self._registry,
        )
        self._durations = Histogram(
            "cuminbend_request_duration_ms",
            "Time between the arrival of a request and its answer.",
            registry=self._registry,
            buckets=list(_DURATION_BUCKETS_MS),
        )
        self._coverage = Histogram(
            "cuminbend_coverage",
            "Share of the shards in an answer.",
            registry=self._registry,
            buckets=list(_COVERAGE_BUCKETS),
        )
        self._attempts = Counter(
            "cuminbend_attempts_failed_total",
            "Attempts at upstreams without a usable answer, by cause.",
            registry=self._registry,
        )
        self._events = Counter(
            "cuminbend_events_total",
            "Other events, by kind.",
            registry=self._registry,
        )

    def count_request(
        self,
        *,
        route: str,
        outcome: str,
        duration_ms: float,
        coverage: float | None = None,
    ) -> None:
        """Count a request that ended and record its duration.

        Args:
            route: Route of the request.
            outcome: Label under which the request is counted.
            duration_ms: Time between its arrival and its answer.
            coverage: Share of the shards in the answer, None for a request that is not
                fanned out.
        """
        self._requests.inc({"route": route, "outcome": outcome})
        self._durations.observe({"route": route}, duration_ms)
        if coverage is not None:
            self._coverage.observe({"route": route}, coverage)

    def count_failed_attempt(self, cause: str) -> None:
        """Count an attempt at an upstream without a usable answer, by cause."""
        self._attempts.inc({"cause": cause})

    def count_events(self, kind: str, number: int = 1) -> None:
        """Add ``number`` events of a kind."""
        self._events.add({"kind": kind}, number)

    def render(self) -> bytes:
        """Return all metrics as Prometheus text."""
        registry = Registry()
        for collector in self._registry.get_all():
            registry.register(collector)
        gauges_by_name: dict[str, Gauge] = {}
        for key, value in self._read_gauges().items():
            name, _, labels = key.rstrip("}").partition("{")
            gauge = gauges_by_name.get(name)
            if gauge is None:
                gauge = gauges_by_name[name] = Gauge(
                    f"cuminbend_{name}", name.replace("_", " "), registry=registry
                )
            label_pairs = (item.partition("=") for item in labels.split(",") if item)
            gauge.set({label: text for label, _, text in label_pairs}, value)
        content: bytes = render(registry, [])[0]
        return content
