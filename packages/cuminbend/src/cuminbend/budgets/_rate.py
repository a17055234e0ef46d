"""Budget of work per time."""

import math

# Sums of a rate such as 0.0095 a millisecond are slightly below whole tokens.
_ROUNDING_TOLERANCE = 1e-9


class RateBudget:
    """A token bucket that refills with time.

    Over any period of ``t`` ms it allows at most ``burst + rate * t / 1000`` units.

    Args:
        rate_per_s: Tokens a second.
        now_ms: Monotonic time in ms.
        burst: Maximum number of tokens that can accumulate, at least 1.
        initial: Tokens at the start; ``burst`` if None.
    """

    def __init__(
        self,
        *,
        rate_per_s: float,
        now_ms: float,
        burst: float = 1.0,
        initial: float | None = None,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst if initial is None else initial
        self._refilled_ms = now_ms

    def set_rate(self, rate_per_s: float, *, now_ms: float) -> None:
        """Change the rate; tokens earned before are kept."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s

    def wait_ms(self, now_ms: float) -> float:
        """Return the time from ``now_ms`` until there is a token.

        Returns:
            Infinity if the rate is 0 and there is none.
        """
        missing = 1.0 - _ROUNDING_TOLERANCE - self._tokens_at(now_ms)
        if missing <= 0:
            return 0.0
        return missing / self._rate_per_s * 1000 if self._rate_per_s else math.inf

    def try_spend(self, now_ms: float) -> bool:
        """Spend a token and return True, or return False without a token."""
        if self.wait_ms(now_ms) > 0:
            return False
        self._refill(now_ms)
        self._tokens = max(0.0, self._tokens - 1)
        return True

    def _tokens_at(self, now_ms: float) -> float:
        earned = self._rate_per_s * max(0.0, now_ms - self._refilled_ms) / 1000
        return min(self._burst, self._tokens + earned)

    def _refill(self, now_ms: float) -> None:
        self._tokens = self._tokens_at(now_ms)
        self._refilled_ms = now_ms
