"""Settings of an entry instance."""

from dataclasses import dataclass, field

from cuminbend.crashes import CrashSettings
from cuminbend.forwarding import (
    PlacementSettings,
    RecoverySettings,
    RetryBudgetSettings,
    StatedLimitSettings,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry instance.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre in which the instance runs.
        caller_address: ``host:port`` that callers connect to.
        helper_address: ``host:port`` at which the instance accepts groups of shards
            from other entry instances. If empty, the instance neither accepts nor
            delegates groups.
        control_addresses: Channel addresses of control instances to start from; some
            may be wrong or unreachable.
        link_mbps: Bandwidth of the instance's network link in Mbit/s, from which the
            transfer time of an answer is computed.
        answer_margin_ms: Part of the latency objective that is reserved for late timers
            and the merge, in addition to the network time of request and answer.
        answer_margin_share: Share of the latency objective that is reserved in addition
            to ``answer_margin_ms``.
        connect_timeout_ms: Time limit for opening a connection to an upstream.
        abandon_after_ms: Time for which the attempts of a caller who has left may
            continue; most of them end within that time and keep their connection.
        idle_connection_ms: Idle time after which a connection is not used again if the
            upstream states no keep-alive time.
        cold_rate_per_s: Requests a second to a cold upstream that declares no rate.
        cold_safety: Share of a declared cold rate that is used; the rest covers a
            change of the instance that may send.
        cold_news_max_age_ms: Time without news of the control group after which this
            instance sends nothing to cold upstreams: three heartbeats of the feed,
            after which the other instances no longer count this one.
        drain_ms: Time from a planned stop to the close of idle connections; within it,
            callers get a directory without this instance.
        stop_ms: Time from a planned stop to the end of the process.
        request_memory_bytes: Bytes that the bodies of all unanswered requests may take
            together.
        response_memory_bytes: Bytes that the unfinished responses of all upstreams may
            take together; a single response may take a quarter of it.
        unconfirmed_lifetime_ms: Time for which an upstream is kept after it is missing
            from the full list of a control instance.
    """

    instance: str
    data_centre: str
    caller_address: str
    control_addresses: tuple[str, ...]
    helper_address: str = ""
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    retries: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    recovery: RecoverySettings = field(default_factory=RecoverySettings)
    crashes: CrashSettings = field(default_factory=CrashSettings)
    stated_limits: StatedLimitSettings = field(default_factory=StatedLimitSettings)
    link_mbps: float = 1000.0
    answer_margin_ms: float = 2.5
    answer_margin_share: float = 0.02
    connect_timeout_ms: float = 300.0
    abandon_after_ms: float = 150.0
    idle_connection_ms: float = 4000.0
    cold_rate_per_s: float = 1.0
    cold_safety: float = 0.5
    cold_news_max_age_ms: float = 1600.0
    drain_ms: float = 4200.0
    stop_ms: float = 5400.0
    request_memory_bytes: int = 64 << 20
    response_memory_bytes: int = 64 << 20
    unconfirmed_lifetime_ms: float = 10_000.0

    def answer_within_ms(
        self, objective_ms: float, travel_ms: float, answer_bytes: int = 0
    ) -> float:
        """Return the time in ms from the arrival of a request to its answer.

        The result is at least half of the objective, however long the network time is.

        Args:
            objective_ms: Time allowed from the caller's start to the end of the answer.
            travel_ms: Part of the objective that passes in the network.
            answer_bytes: Expected size of the answer.
        """
        margin_ms = (
            travel_ms
            + answer_bytes * 8 / (self.link_mbps * 1000)
            + self.answer_margin_ms
            + self.answer_margin_share * objective_ms
        )
        return max(objective_ms - margin_ms, objective_ms / 2)
