"""Lease of an instance."""

import math

from cuminbend.ports import Clock

__all__ = ["Lease"]


class Lease:
    """Permission of this instance to send work to upstreams for a limited time.

    Attributes:
        expires_at_ms: End as a time of ``clock.monotonic_ms()``; minus infinity before
            the first extension.
    """

    def __init__(self, *, clock: Clock, lease_ms: float) -> None:
        self._clock = clock
        self._lease_ms = lease_ms
        self.expires_at_ms = -math.inf

    def remaining_ms(self) -> float:
        """Return the remaining time in milliseconds, 0 if the lease has expired."""
        return max(0.0, self.expires_at_ms - self._clock.monotonic_ms())

    def is_valid(self, for_ms: float = 0) -> bool:
        """Return whether the lease lasts longer than ``for_ms`` from now."""
        return self.expires_at_ms - self._clock.monotonic_ms() > for_ms

    def extend(self, *, poll_sent_ms: float, confirmed_age_ms: float) -> None:
        """Extend the lease after a reply whose configuration is in force here.

        The lease is counted from the time at which the poll was sent, so network delays
        can only shorten it. It never ends earlier than before.
        """
        end_ms = poll_sent_ms + self._lease_ms - confirmed_age_ms
        self.expires_at_ms = max(self.expires_at_ms, end_ms)
