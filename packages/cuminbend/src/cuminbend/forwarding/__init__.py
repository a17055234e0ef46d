"""Decisions of an entry instance that forwards requests to upstreams unchanged."""

from cuminbend.forwarding._admission import admission_probability
from cuminbend.forwarding._attempt_counts import AttemptCounts
from cuminbend.forwarding._back_off import parse_pause_ms
from cuminbend.forwarding._delegation import FanOutPlan, plan_fan_out
from cuminbend.forwarding._ended_processes import EndedProcesses
from cuminbend.forwarding._gather import (
    RECORD_BYTES,
    PartCollector,
    ShardPart,
    merge_greatest_records,
)
from cuminbend.forwarding._hedging import HedgeDelay
from cuminbend.forwarding._hosts import canonical_host
from cuminbend.forwarding._recovery import RecoveryEstimate, RecoverySettings
from cuminbend.forwarding._replicas import (
    PlacementSettings,
    Replica,
    ReplicaGroup,
    ReplicaState,
)
from cuminbend.forwarding._retry_after import fan_out_capacity_wait_ms, retry_after_ms
from cuminbend.forwarding._retry_budgets import RetryBudgets, RetryBudgetSettings
from cuminbend.forwarding._routes import (
    CallerLimits,
    Route,
    RoutingTable,
    ServicePolicy,
    WeightedService,
    check_routing_table,
    disable_unusable_routes,
)
from cuminbend.forwarding._stated_limits import (
    LimitShare,
    StatedLimitSettings,
    parse_limit,
    sender_rates,
)
from cuminbend.forwarding._weights import WeightedRoundRobin

__all__ = [
    "RECORD_BYTES",
    "AttemptCounts",
    "CallerLimits",
    "EndedProcesses",
    "FanOutPlan",
    "LimitShare",
    "PartCollector",
    "HedgeDelay",
    "ShardPart",
    "PlacementSettings",
    "RecoveryEstimate",
    "RecoverySettings",
    "Replica",
    "ReplicaGroup",
    "ReplicaState",
    "RetryBudgetSettings",
    "RetryBudgets",
    "Route",
    "RoutingTable",
    "ServicePolicy",
    "StatedLimitSettings",
    "WeightedRoundRobin",
    "WeightedService",
    "admission_probability",
    "canonical_host",
    "check_routing_table",
    "disable_unusable_routes",
    "merge_greatest_records",
    "parse_limit",
    "parse_pause_ms",
    "plan_fan_out",
    "retry_after_ms",
    "sender_rates",
    "fan_out_capacity_wait_ms",
]
