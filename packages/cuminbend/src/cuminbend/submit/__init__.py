"""Submits that run at most once."""

from cuminbend.submit._base import (
    LeaseView,
    SubmitAnswer,
    SubmitRequest,
    SubmitSettings,
    ViewPort,
)
from cuminbend.submit._coordinator import SubmitCoordinator

__all__ = [
    "LeaseView",
    "SubmitAnswer",
    "SubmitCoordinator",
    "SubmitRequest",
    "SubmitSettings",
    "ViewPort",
]
