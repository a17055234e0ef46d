"""Admission of whole searches at the entry instance.

Every shard of a search has its own queue at an owner. Under overload, queues that drop
on their own each drop other searches, so that nearly every search loses a shard and
the work for its other shards is wasted. Searches are therefore admitted or refused as
a whole, before any shard is asked.
"""

from collections import Counter
from collections.abc import Callable

from cuminbend.exceptions import OverloadedError
from cuminbend.ports import Clock
from cuminbend.query._settings import QuerySettings


class SearchAdmission:
    """Limits the searches in progress at this instance.

    The limit follows what searches experience: additive increase while searches that
    filled it are answered in good time, multiplicative decrease when one met
    congestion (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
    Congestion Avoidance", 1989). Members share the limit by weight; a member may go
    beyond its share only while the instance has headroom.

    Args:
        share: Returns the weight of a member relative to the others.
    """

    def __init__(
        self, *, settings: QuerySettings, clock: Clock, share: Callable[[str], float]
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._share = share
        self._limit = settings.initial_search_limit
        self._in_progress: Counter[str] = Counter()
        self._seen_ms: dict[str, float] = {}
        self._base_ms: dict[str, float] = {}
        self._decreased_at_ms = float("-inf")

    @property
    def in_progress(self) -> int:
        """Searches in progress."""
        return self._in_progress.total()

    def enter(self, member: str, target: str) -> None:
        """Admit a search.

        Raises:
            OverloadedError: Not run, if the limit or the member's share is used up.
        """
        self._seen_ms[member] = self._clock.monotonic_ms()
        total = self.in_progress
        headroom = total < self._limit * self._settings.lend_share
        if total < self._limit and (headroom or self._is_within_share(member)):
            self._in_progress[member] += 1
            return
        raise OverloadedError(
            f"this instance has {total} searches in progress, as many as the upstreams "
            "bear; try again later or through another instance of the directory",
            retry_after_ms=round(self._base_ms.get(target, 0.0)) + 1,
        )

    def _is_within_share(self, member: str) -> bool:
        now_ms = self._clock.monotonic_ms()
        active = [
            name
            for name, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < self._settings.member_active_ms
        ]
        weights = sum(self._share(name) for name in active)
        own_limit = self._limit * self._share(member) / weights
        return self._in_progress[member] < own_limit

    def leave(
        self, member: str, target: str, *, latency_ms: float | None, congested: bool
    ) -> None:
        """Account for a search that ended.

        Args:
            member: Member on whose behalf.
            target: Service or group.
            latency_ms: Time that the search took, or None without a full answer. A
                shard without a working replica takes until the deadline, which says
                nothing about load.
            congested: Whether a shard was refused for overload.
        """
        in_progress = self.in_progress
        was_full = in_progress >= self._limit - 1
        was_relevant = in_progress >= self._limit / 2
        self._in_progress[member] -= 1
        if self._in_progress[member] <= 0:
            del self._in_progress[member]
        base_ms = self._base_ms.get(target, 0.0)
        slow = False
        if latency_ms is not None:
            base_ms = self._update_base(target, latency_ms)
            slow = latency_ms > base_ms * self._settings.congested_factor
        # A slow search says little while most of the limit is not in use; a refusal by
        # a gate always means that less has to be admitted than is in progress.
        if congested or (slow and was_relevant):
            self._decrease(base_ms)
        elif was_full:
            self._limit += 1.0 / self._limit

    def _update_base(self, target: str, latency_ms: float) -> float:
        # The lowest latency seen, which drifts up slowly so that a service that became
        # slower for good is not taken for congested for ever.
        base_ms = self._base_ms.get(target)
        if base_ms is None or latency_ms < base_ms:
            base_ms = latency_ms
        else:
            base_ms += (latency_ms - base_ms) * self._settings.base_drift
        self._base_ms[target] = base_ms
        return base_ms

    def _decrease(self, base_ms: float) -> None:
        # Once per latency, because all searches in progress saw the same congestion.
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._decreased_at_ms < base_ms:
            return
        self._decreased_at_ms = now_ms
        lowest = self._settings.min_search_limit
        self._limit = max(lowest, self._limit * self._settings.decrease_factor)

    def dump(self) -> dict[str, object]:
        """Return the state for a state dump."""
        return {
            "limit": round(self._limit, 2),
            "in_progress": dict(self._in_progress),
            "base_latency_ms": dict(self._base_ms),
        }
