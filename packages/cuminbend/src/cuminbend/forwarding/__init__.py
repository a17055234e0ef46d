"""Decisions about a request that is passed on to upstreams unchanged."""

from cuminbend.forwarding._admission import admission_chance
from cuminbend.forwarding._attempt_counts import AttemptCounts
from cuminbend.forwarding._delegation import FanOutPlan, plan_fan_out
from cuminbend.forwarding._gather import (
    RECORD_BYTES,
    Gather,
    Part,
    merge_greatest,
)
from cuminbend.forwarding._hedging import HedgeDelay
from cuminbend.forwarding._replicas import (
    PlacementSettings,
    Replica,
    ReplicaGroup,
    ReplicaState,
)
from cuminbend.forwarding._retry_after import retry_after_ms, room_for_fan_out_ms
from cuminbend.forwarding._retry_budgets import RetryBudgets, RetryBudgetSettings
from cuminbend.forwarding._routes import (
    CallerLimits,
    Route,
    RoutingTable,
    ServicePolicy,
    WeightedService,
    check_routing_table,
)
from cuminbend.forwarding._weights import WeightedChoice

__all__ = [
    "RECORD_BYTES",
    "AttemptCounts",
    "CallerLimits",
    "FanOutPlan",
    "Gather",
    "HedgeDelay",
    "Part",
    "PlacementSettings",
    "Replica",
    "ReplicaGroup",
    "ReplicaState",
    "RetryBudgetSettings",
    "RetryBudgets",
    "Route",
    "RoutingTable",
    "ServicePolicy",
    "WeightedChoice",
    "WeightedService",
    "admission_chance",
    "check_routing_table",
    "merge_greatest",
    "plan_fan_out",
    "retry_after_ms",
    "room_for_fan_out_ms",
]
