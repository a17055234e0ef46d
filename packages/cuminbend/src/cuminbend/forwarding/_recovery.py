"""Time until an instance can serve again after a loss of state.

Registrations of upstreams are in memory. After the loss of all control instances,
upstreams register again one by one, each with its next heartbeat. The load pattern that
this answers: callers of the first second after a power loss are all rejected. Each of
them may repeat its request only once, so it should come back when enough shards have an
upstream, and not before.
"""

from dataclasses import dataclass

from cuminbend.ports import Clock

# Most fan-outs need nearly all shards. Of shards with two upstreams each, nine in ten
# have one after 0.7 of a heartbeat interval.
_NEEDED_SHARE_OF_HEARTBEAT = 0.75
# A restarted instance whose control group is up has a configuration within this time.
_USUAL_START_MS = 100.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoverySettings:
    """Times of a recovery.

    Attributes:
        heartbeat_ms: Interval of the heartbeats of upstreams.
        no_configuration_ms: Expected wait for a configuration while the control group
            is up.
        no_upstream_ms: Expected wait for a service without an upstream once all
            upstreams have had the time to register.
    """

    heartbeat_ms: float = 1200.0
    no_configuration_ms: float = 200.0
    no_upstream_ms: float = 250.0


class RecoveryEstimate:
    """Expected time until the missing state of a started instance is complete.

    Args:
        settings: Times of a recovery.
        clock: Source of time.
    """

    def __init__(self, *, settings: RecoverySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._start_ms = clock.monotonic_ms()
        self._collected_since_ms: float | None = None

    def record_collected(self, collected_ms: float) -> None:
        """Record for how long the control instances have received heartbeats."""
        self._collected_since_ms = self._clock.monotonic_ms() - collected_ms

    def no_configuration_wait_ms(self) -> float:
        """Return the expected wait of a request that arrives before a configuration.

        If the configuration is late, the control group probably restarts as well, and
        upstreams have to register again.
        """
        if self._collected_since_ms is None:
            uptime_ms = self._clock.monotonic_ms() - self._start_ms
            if uptime_ms < _USUAL_START_MS:
                return self._settings.no_configuration_ms
        return max(self._settings.no_configuration_ms, self._registration_left_ms())

    def no_upstream_wait_ms(self) -> float:
        """Return the expected wait for a service without a known upstream."""
        if self._collected_since_ms is None:
            return self._settings.no_upstream_ms
        return max(self._settings.no_upstream_ms, self._registration_left_ms())

    def _registration_left_ms(self) -> float:
        """Return the time until most upstreams have registered.

        Without news it is assumed that the control group started with this instance.
        """
        since_ms = self._collected_since_ms
        if since_ms is None:
            since_ms = self._start_ms
        registration_ms = _NEEDED_SHARE_OF_HEARTBEAT * self._settings.heartbeat_ms
        return since_ms + registration_ms - self._clock.monotonic_ms()
