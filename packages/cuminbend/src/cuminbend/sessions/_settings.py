"""Settings of the session client and the session coordinator."""

from dataclasses import dataclass

__all__ = ["CoordinatorSettings", "SessionSettings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionSettings:
    """Settings of a :class:`SessionClient`.

    Attributes:
        voters: Instances that may lead, in the order in which they are polled.
        lease_ms: Duration of a lease; must be the same on every instance.
        poll_wait_ms: Time for which the leader may hold a poll.
        poll_timeout_ms: Time added to ``poll_wait_ms`` after which a voter counts as
            silent. ``lease_ms`` must be longer than the timeouts of a few voters.
        silent_retry_ms: Time for which a silent voter is not polled; doubles up to
            ``silent_retry_max_ms`` while the voter stays silent.
        silent_retry_max_ms: Longest time for which a silent voter is not polled.
        backoff_ms: Delay after the first failed poll; doubles with each further one.
        backoff_max_ms: Longest delay after a failed poll.
    """

    voters: tuple[str, ...]
    lease_ms: float = 3000
    poll_wait_ms: int = 250
    poll_timeout_ms: float = 250
    silent_retry_ms: float = 2000
    silent_retry_max_ms: float = 60_000
    backoff_ms: float = 20
    backoff_max_ms: float = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorSettings:
    """Settings of a :class:`SessionCoordinator`.

    Attributes:
        lease_ms: Duration of a lease; must be the same on every instance.
        drift_margin_ms: Allowance for clocks that run at different speeds; 50 ms on
            3000 ms covers 1.6%.
        max_confirmed_age_ms: Time since the last confirmed heartbeat round after which
            polls are refused. Well below ``lease_ms``, because the age shortens leases.
        max_poll_wait_ms: Longest time for which a poll is held.
        max_missing_replies_ms: Time for which an instance may send polls that show that
            it did not receive the registry sent to it; after that it gets no lease.
        first_grant_delay_ms: Time between the end of the takeover wait and the first
            grants; covers one round of polls.
        directory_delay_ms: Time after an election during which the directory counts as
            incomplete. Covers one silent voter and the back-off of each instance.
        connection_linger_ms: Time for which connections of a lost owner may stay open
            at the upstream.
        connection_fraction: Fraction of the connection limit that one owner may use.
        handover_ttl_ms: Time after a release for which the handover is valid; after
            that the new owner starts cold.
        max_moves_per_round: Maximum number of upstreams that are being moved from live
            owners at the same time to balance ownership.
        move_interval_ms: Time between two rounds of moves.
        max_move_checks: Maximum number of upstreams examined in one round of moves.
        max_grants_per_pass: Maximum number of upstreams granted in one pass; limits the
            time for which allocation delays polls.
        maintenance_interval_ms: Longest time between checks for expired leases and
            announcements while polls arrive.
        min_load_change: Smallest change of the reported load that starts a new registry
            version.
    """

    lease_ms: float = 3000
    drift_margin_ms: float = 50
    max_confirmed_age_ms: float = 1000
    max_poll_wait_ms: float = 1000
    max_missing_replies_ms: float = 1000
    first_grant_delay_ms: float = 100
    directory_delay_ms: float = 1000
    connection_linger_ms: float = 60_000
    connection_fraction: float = 0.25
    handover_ttl_ms: float = 1000
    max_moves_per_round: int = 2
    move_interval_ms: float = 1000
    max_move_checks: int = 64
    max_grants_per_pass: int = 200
    maintenance_interval_ms: float = 50
    min_load_change: float = 0.25

    @property
    def takeover_wait_ms(self) -> float:
        """Time after an election at which all leases of former leaders have ended."""
        return self.lease_ms + self.drift_margin_ms
