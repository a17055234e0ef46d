"""Execution of submits with at-most-once semantics."""

from cuminbend.submit._base import (
    ClusterView,
    LeaseView,
    SubmitAnswer,
    SubmitRequest,
    SubmitSettings,
)
from cuminbend.submit._coordinator import SubmitCoordinator

__all__ = [
    "LeaseView",
    "SubmitAnswer",
    "SubmitCoordinator",
    "SubmitRequest",
    "SubmitSettings",
    "ClusterView",
]
