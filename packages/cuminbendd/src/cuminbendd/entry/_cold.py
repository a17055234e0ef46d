"""Limits on requests to cold upstreams: which instance may send, and how often."""

import hashlib
from collections.abc import Iterable

from cuminbend.budgets import RateBudget

from cuminbendd.entry._settings import EntrySettings


def is_designated_sender(
    upstream: str, *, own_instance: str, candidates: Iterable[str]
) -> bool:
    """Return whether this instance alone may send to a cold upstream.

    Exactly one instance sends to each cold upstream, so the rate limit of an upstream
    holds for all instances together without messages between them. Source: Thaler and
    Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998 (rendezvous
    hashing).

    Args:
        upstream: The cold upstream.
        own_instance: Name of this instance.
        candidates: Names of all instances that may send to cold upstreams; at least
            one.
    """

    def weight(instance: str) -> bytes:
        return hashlib.blake2b(f"{instance}/{upstream}".encode()).digest()

    return max(candidates, key=weight) == own_instance


class ColdRateLimits:
    """Rate limits of this instance, one for each cold upstream."""

    def __init__(self, *, settings: EntrySettings) -> None:
        self._settings = settings
        self._limits: dict[str, RateBudget] = {}

    def try_acquire(
        self, upstream: str, declared_per_s: float, *, now_ms: float
    ) -> bool:
        """Return whether one more request is allowed, and count it.

        Args:
            upstream: The cold upstream.
            declared_per_s: Requests a second that its service declares, 0 if none.
            now_ms: Monotonic time in ms.
        """
        limit = self._limits.get(upstream)
        if limit is None:
            settings = self._settings
            rate_per_s = max(
                declared_per_s * settings.cold_safety, settings.cold_rate_per_s
            )
            limit = self._limits[upstream] = RateBudget(
                rate_per_s=rate_per_s, now_ms=now_ms
            )
        return limit.try_spend(now_ms)

    def remove(self, upstream: str) -> None:
        """Remove the limit of an upstream that is gone, if there is one."""
        self._limits.pop(upstream, None)
