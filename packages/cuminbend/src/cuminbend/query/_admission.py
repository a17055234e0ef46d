"""Admission control for whole searches at the entry instance.

Each shard of a search is queued separately at the instance that owns the upstream.
Under overload these queues drop requests independently of each other, so nearly every
search loses a shard and the work for its other shards is wasted. Searches are
therefore admitted or refused as a whole, before any shard request is sent.
"""

from collections import Counter
from collections.abc import Callable

from cuminbend.exceptions import OverloadedError
from cuminbend.ports import Clock
from cuminbend.query._settings import QuerySettings


class SearchAdmission:
    """Limits the searches in progress at this instance.

    The limit follows an additive increase, multiplicative decrease rule (Chiu and
    Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance",
    1989). It increases while the limit is fully used and searches are not slow, and
    decreases when a search met congestion. Members share the limit by weight; a member
    may exceed its share only while the instance has headroom.

    Args:
        settings: Settings of the query coordinator.
        clock: Source of time.
        member_weight: Returns the weight of a member relative to the others.
    """

    def __init__(
        self,
        *,
        settings: QuerySettings,
        clock: Clock,
        member_weight: Callable[[str], float],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._member_weight = member_weight
        self._limit = settings.initial_search_limit
        self._in_progress: Counter[str] = Counter()
        self._last_seen_ms: dict[str, float] = {}
        self._base_latency_ms: dict[str, float] = {}
        self._decreased_at_ms = float("-inf")

    @property
    def in_progress(self) -> int:
        """Number of searches in progress."""
        return self._in_progress.total()

    def admit_search(self, member: str, target: str) -> None:
        """Admit a search; :meth:`finish_search` has to be called when it ends.

        Args:
            member: Member that sent the search.
            target: Service or group.

        Raises:
            OverloadedError: If the limit or the member's share of it is used up. The
                search has not been run.
        """
        self._last_seen_ms[member] = self._clock.monotonic_ms()
        total = self.in_progress
        has_headroom = total < self._limit * self._settings.headroom_share
        if total < self._limit and (has_headroom or self._is_within_share(member)):
            self._in_progress[member] += 1
            return
        raise OverloadedError(
            f"this instance has {total} searches in progress, as many as the upstreams "
            "bear; try again later or through another instance of the directory",
            retry_after_ms=round(self._base_latency_ms.get(target, 0.0)) + 1,
        )

    def _is_within_share(self, member: str) -> bool:
        now_ms = self._clock.monotonic_ms()
        active = [
            name
            for name, last_seen_ms in self._last_seen_ms.items()
            if now_ms - last_seen_ms < self._settings.member_active_ms
        ]
        weights = sum(self._member_weight(name) for name in active)
        own_limit = self._limit * self._member_weight(member) / weights
        return self._in_progress[member] < own_limit

    def finish_search(
        self,
        member: str,
        target: str,
        *,
        latency_ms: float | None,
        met_congestion: bool,
    ) -> None:
        """Record the end of an admitted search and adjust the limit.

        Args:
            member: Member that sent the search.
            target: Service or group.
            latency_ms: Duration of the search, or None without a full answer. If a
                shard has no working replica, the search lasts until its deadline, which
                is no sign of load.
            met_congestion: Whether a shard request was refused because of overload.
        """
        in_progress = self.in_progress
        was_full = in_progress >= self._limit - 1
        was_half_full = in_progress >= self._limit / 2
        self._in_progress[member] -= 1
        if self._in_progress[member] <= 0:
            del self._in_progress[member]
        base_latency_ms = self._base_latency_ms.get(target, 0.0)
        is_slow = False
        if latency_ms is not None:
            base_latency_ms = self._update_base_latency(target, latency_ms)
            is_slow = latency_ms > base_latency_ms * self._settings.congestion_factor
        # A slow search is no sign of overload while most of the limit is unused. A
        # refusal because of overload always means that fewer searches have to be
        # admitted than are in progress.
        if met_congestion or (is_slow and was_half_full):
            self._decrease_limit(base_latency_ms)
        elif was_full:
            self._limit += 1.0 / self._limit

    def _update_base_latency(self, target: str, latency_ms: float) -> float:
        # The base is the lowest latency seen. It drifts up slowly, so that a service
        # with permanently increased latency stops counting as congested.
        base_latency_ms = self._base_latency_ms.get(target)
        if base_latency_ms is None or latency_ms < base_latency_ms:
            base_latency_ms = latency_ms
        else:
            base_latency_ms += (
                latency_ms - base_latency_ms
            ) * self._settings.base_latency_drift
        self._base_latency_ms[target] = base_latency_ms
        return base_latency_ms

    def _decrease_limit(self, base_latency_ms: float) -> None:
        # At most one decrease per base latency, because all searches in progress met
        # the same congestion.
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._decreased_at_ms < base_latency_ms:
            return
        self._decreased_at_ms = now_ms
        min_limit = self._settings.min_search_limit
        self._limit = max(min_limit, self._limit * self._settings.decrease_factor)

    def dump(self) -> dict[str, object]:
        """Return the limit and the values that it depends on, for a state dump."""
        return {
            "limit": round(self._limit, 2),
            "in_progress": dict(self._in_progress),
            "base_latency_ms": dict(self._base_latency_ms),
        }
