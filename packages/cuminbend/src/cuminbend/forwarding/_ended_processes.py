"""Upstream processes that are known to have ended.

An upstream may start again under its identity and address, and its first heartbeat may
be seconds late. Until then its registration is that of the process that has ended. The
new process may be cold, and a request that crashed the former process would crash it
too, without a further crash being counted. So an upstream gets no requests from the end
of its process until it registers with a later start.
"""

from collections import OrderedDict

# An upstream whose registration still stands after this time sends heartbeats, so its
# process lives: one that has ended is reported as silent earlier.
_RETENTION_MS = 10_000.0
_MAX_PROCESSES = 4096


class EndedProcesses:
    """The latest process of each upstream that is known to have ended."""

    def __init__(self) -> None:
        self._ends: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def record_observed(
        self, upstream: str, incarnation_ms: int, *, now_ms: float
    ) -> None:
        """Record that this instance saw the end of a process."""
        known_ms, _ = self._ends.get(upstream, (incarnation_ms, 0.0))
        if incarnation_ms < known_ms:
            return
        self._ends[upstream] = (incarnation_ms, now_ms + _RETENTION_MS)
        self._ends.move_to_end(upstream)
        if len(self._ends) > _MAX_PROCESSES:
            self._ends.popitem(last=False)

    def record_reported(
        self, upstream: str, incarnation_ms: int, *, now_ms: float
    ) -> bool:
        """Record that another instance saw the end of a process.

        A report that comes again, as after a change of the control instance, does not
        prolong the time.

        Returns:
            Whether the report is new.
        """
        known = self._ends.get(upstream)
        if known is not None and known[0] >= incarnation_ms:
            return False
        self.record_observed(upstream, incarnation_ms, now_ms=now_ms)
        return True

    def ended_until_ms(self, upstream: str, incarnation_ms: int) -> float:
        """Return until when a process counts as ended; 0 if it does not."""
        known_ms, until_ms = self._ends.get(upstream, (incarnation_ms, 0.0))
        return until_ms if known_ms == incarnation_ms else 0.0
