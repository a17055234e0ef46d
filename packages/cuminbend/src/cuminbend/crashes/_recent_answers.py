"""Which requests upstreams have answered a short time ago."""

from collections import OrderedDict

from cuminbend.ports import Clock

# Longer than the time between two repetitions of a common request, and short enough
# that a new release of the upstreams, which the request may crash, is soon judged on
# its own.
_VALID_MS = 60_000.0
_MAX_FINGERPRINTS = 2048


class RecentAnswers:
    """Remembers the fingerprints of answered requests for a minute.

    The load pattern it answers is a common request that is under way at several
    upstreams when another request crashes them.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._answered_at_ms: OrderedDict[str, float] = OrderedDict()

    def record(self, fingerprint: str) -> None:
        """Record that an upstream answered a request with this fingerprint."""
        self._answered_at_ms[fingerprint] = self._clock.monotonic_ms()
        self._answered_at_ms.move_to_end(fingerprint)
        if len(self._answered_at_ms) > _MAX_FINGERPRINTS:
            self._answered_at_ms.popitem(last=False)

    def __contains__(self, fingerprint: str) -> bool:
        """Return whether such a request was answered in the last minute."""
        answered_at_ms = self._answered_at_ms.get(fingerprint)
        return (
            answered_at_ms is not None
            and self._clock.monotonic_ms() - answered_at_ms <= _VALID_MS
        )
