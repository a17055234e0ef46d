"""Token budget for extra work, which is earned by regular work."""

# Sums of a ratio such as 0.04 are slightly below whole tokens because of rounding.
_ROUNDING_TOLERANCE = 1e-9


class TokenBudget:
    """Limits extra work to a share of regular work.

    Each unit of regular work earns ``ratio`` tokens and each unit of extra work
    spends one. Over any period the extra work is at most ``ratio`` times the regular
    work plus ``burst``.

    Args:
        ratio: Tokens earned per unit of regular work.
        burst: Maximum number of tokens that can accumulate, at least 1.
        initial: Tokens at the start; ``burst`` if None.
    """

    def __init__(
        self, *, ratio: float, burst: float, initial: float | None = None
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self._tokens = burst if initial is None else initial

    @property
    def tokens(self) -> float:
        """Number of tokens left."""
        return self._tokens

    def earn(self, count: int = 1) -> None:
        """Earn tokens for ``count`` units of regular work."""
        self._tokens = min(self.burst, self._tokens + self.ratio * count)

    @property
    def has_token(self) -> bool:
        """Whether one unit of extra work is allowed."""
        return self._tokens >= 1 - _ROUNDING_TOLERANCE

    def try_spend(self) -> bool:
        """Spend one token and return True, or return False without a token."""
        if not self.has_token:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True
