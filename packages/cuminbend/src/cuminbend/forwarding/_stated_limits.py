"""How instances share the limit that an upstream states in its answers.

The load pattern it answers is an upstream in need, to which many instances send a part
of its requests each. Every instance takes an equal part of the limit, without messages
about single requests. If the limit is small, one request at a time from each instance
would already pass it, so only some instances send. All compute the same choice.
"""

import hashlib
import math
from collections.abc import Collection
from dataclasses import dataclass

from cuminbend.budgets import RateBudget

# Tokens that an instance can hold. With a single one, the time from its refill to the
# next request would be lost for the limit.
_BURST = 1.5
# A statement above this is no protection and is treated as none.
_MAX_LIMIT_PER_S = 1e6


@dataclass(frozen=True, slots=True, kw_only=True)
class StatedLimitSettings:
    """Settings of the shares of a stated limit.

    Attributes:
        usable_share: Share of a limit that is used. The rest covers instances that
            learn late which instances share it.
        extra_senders: Number of instances that send to an upstream however small its
            limit is; each further request a second allows one more. Each of them may
            send one request, and now and then two, ahead of its rate.
        min_rate_per_s: Rate of the first instance at least, so that the end of a limit
            is noticed.
    """

    usable_share: float = 0.95
    extra_senders: int = 3
    min_rate_per_s: float = 0.25


def parse_limit(value: bytes) -> float | None:
    """Return a stated limit in requests a second.

    Returns:
        None if the value is not a decimal number, is negative, or is so large that it
        limits nothing.
    """
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or not 0 <= limit_per_s <= _MAX_LIMIT_PER_S:
        return None
    return limit_per_s


def sender_rates(
    upstream: str,
    limit_per_s: float,
    *,
    candidates: Collection[str],
    settings: StatedLimitSettings,
) -> dict[str, float]:
    """Return the rate of each instance that sends to an upstream, in requests a second.

    Source of the choice: Thaler and Ravishankar, "Using Name-Based Mappings to Increase
    Hit Rates", 1998 (rendezvous hashing).

    Args:
        upstream: Identity of the upstream.
        limit_per_s: Limit that it states.
        candidates: Names of the instances that may send.
        settings: Settings of the shares.
    """
    count = min(len(candidates), settings.extra_senders + int(limit_per_s))
    ranked = sorted(candidates, key=lambda name: _rank(upstream, name))[:count]
    rates = dict.fromkeys(ranked, settings.usable_share * limit_per_s / max(1, count))
    if ranked:
        rates[ranked[0]] = max(rates[ranked[0]], settings.min_rate_per_s)
    return rates


def _rank(upstream: str, instance: str) -> bytes:
    return hashlib.blake2b(f"{instance}/{upstream}".encode(), digest_size=8).digest()


class LimitShare:
    """This instance's part of the limit of one upstream.

    Args:
        rate_per_s: Requests a second that this instance may send.
        now_ms: Monotonic time in ms.

    Attributes:
        limit_per_s: Limit of the upstream, for all instances together.
    """

    def __init__(self, *, limit_per_s: float, rate_per_s: float, now_ms: float) -> None:
        self.limit_per_s = limit_per_s
        self._rate_per_s = rate_per_s
        # Requests are under way when the limit is first stated, so there is no token.
        self._budget = RateBudget(
            rate_per_s=rate_per_s, now_ms=now_ms, burst=_BURST, initial=0.0
        )

    @property
    def is_sender(self) -> bool:
        """Whether this instance may send at all."""
        return self._rate_per_s > 0

    def set_rate(self, limit_per_s: float, rate_per_s: float, *, now_ms: float) -> None:
        """Change the limit and this instance's part of it."""
        self.limit_per_s = limit_per_s
        self._rate_per_s = rate_per_s
        self._budget.set_rate(rate_per_s, now_ms=now_ms)

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until a request is allowed; infinity if none will be."""
        return self._budget.wait_ms(now_ms)

    def spend(self, now_ms: float) -> None:
        """Count a request."""
        self._budget.try_spend(now_ms)
