"""Settings of an entry instance."""

from dataclasses import dataclass, field

from cuminbend.forwarding import PlacementSettings, RetryBudgetSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry instance.

    Attributes:
        instance: Name of the instance.
        data_centre: Where it runs.
        caller_address: ``host:port`` that callers connect to.
        helper_address: ``host:port`` at which it asks shards for other entry
            instances; without one it neither helps nor is helped.
        control_addresses: Channel addresses of control instances to start from; some
            may be wrong or down.
        link_mbps: Bandwidth of the instance's link, on which a long answer takes time.
        answer_margin_ms: Part of the objective kept besides the time that request
            and answer travel, for late timers and the merge.
        answer_margin_share: Share of the objective kept on top.
        connect_timeout_ms: Limit of opening a connection to an upstream.
        abandon_after_ms: Time that work of a caller who left may still take; most of
            it ends by itself within that time and keeps its connection.
        idle_connection_ms: Idle time after which a connection to an upstream that
            names no time-out is not used again.
        no_upstream_retry_ms: Time in which a service without a known upstream is
            expected to have one: about the time in which a heartbeat brings one back.
        cold_rate_per_s: Requests a second to a cold upstream that declares no rate.
        cold_safety: Share of a declared cold rate that is used; the rest covers a
            change of the instance that may use it.
        drain_ms: Time from a planned stop to the close of idle connections; callers
            learn within it that the instance has left the directory.
        stop_ms: Time from a planned stop to the end of the process.
        unconfirmed_lifetime_ms: Time for which an upstream is kept that no control
            instance names any more.
    """

    instance: str
    data_centre: str
    caller_address: str
    control_addresses: tuple[str, ...]
    helper_address: str = ""
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    retries: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    link_mbps: float = 1000.0
    answer_margin_ms: float = 2.5
    answer_margin_share: float = 0.02
    connect_timeout_ms: float = 300.0
    abandon_after_ms: float = 150.0
    idle_connection_ms: float = 4000.0
    no_upstream_retry_ms: float = 250.0
    cold_rate_per_s: float = 1.0
    cold_safety: float = 0.5
    drain_ms: float = 4200.0
    stop_ms: float = 5400.0
    unconfirmed_lifetime_ms: float = 10_000.0

    def answer_within_ms(
        self, objective_ms: float, travel_ms: float, answer_bytes: int = 0
    ) -> float:
        """Return how long after its arrival a request should be answered.

        Args:
            objective_ms: Time allowed between the caller's start and the end.
            travel_ms: Part of it that passes outside this instance.
            answer_bytes: Size that the answer will have.
        """
        margin_ms = (
            travel_ms
            + answer_bytes * 8 / (self.link_mbps * 1000)
            + self.answer_margin_ms
            + self.answer_margin_share * objective_ms
        )
        return max(objective_ms - margin_ms, objective_ms / 2)
