"""Protocols and errors shared by the gates."""

from typing import Protocol

from cuminbend.exceptions import RequestFailedError, RunState


class LeaseView(Protocol):
    """The lease of this instance."""

    def is_valid(self, for_ms: float = 0) -> bool:
        """Return whether the lease lasts for at least ``for_ms`` from now."""

    def remaining_ms(self) -> float:
        """Return the time until the lease ends."""


class MemberShares(Protocol):
    """Weights of the members."""

    def share(self, member: str) -> float:
        """Return the weight of a member relative to the others."""


class SuspectError(RequestFailedError):
    """The request broke an upstream before and may only run alone, as a suspect.

    Attributes:
        first_upstream: The upstream that broke while it ran the request.
    """

    def __init__(self, fingerprint: str, *, first_upstream: str) -> None:
        self.first_upstream = first_upstream
        super().__init__(
            f"fingerprint {fingerprint} is suspected of breaking upstream "
            f"{first_upstream}; send it as a suspect to another upstream",
            run_state=RunState.NOT_RUN,
        )
