"""A budget for extra work that grows with regular work."""

# Sums of a ratio such as 0.04 fall short of whole tokens by rounding.
_ROUNDING = 1e-9


class TokenBudget:
    """Allows extra work as a share of regular work.

    Each unit of regular work earns ``ratio`` tokens and each unit of extra work
    spends one. Over any period the extra work is at most ``ratio`` times the regular
    work plus ``burst``.

    Args:
        ratio: Tokens earned per unit of regular work.
        burst: Largest number of tokens that can be saved up, at least 1.
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
        """Tokens that can be spent."""
        return self._tokens

    def earn(self, count: int = 1) -> None:
        """Record ``count`` units of regular work."""
        self._tokens = min(self.burst, self._tokens + self.ratio * count)

    @property
    def has_token(self) -> bool:
        """Whether a token can be spent."""
        return self._tokens >= 1 - _ROUNDING

    def try_spend(self) -> bool:
        """Spend one token and return True, or return False if there is none."""
        if not self.has_token:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True
