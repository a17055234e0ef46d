"""Coordination of searches at the instance that a caller is connected to."""

from cuminbend.query._base import (
    ClusterView,
    LeasePort,
    QueryObserver,
    SearchAnswer,
    SearchRequest,
    ShardAnswer,
)
from cuminbend.query._coordinator import QueryCoordinator
from cuminbend.query._settings import QuerySettings
from cuminbend.query._validation import check_search_request

__all__ = [
    "LeasePort",
    "QueryCoordinator",
    "QueryObserver",
    "QuerySettings",
    "SearchAnswer",
    "SearchRequest",
    "ShardAnswer",
    "ClusterView",
    "check_search_request",
]
