"""Settings of the instance side and of the leader side."""

from dataclasses import dataclass

__all__ = ["CoordinatorSettings", "SessionSettings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionSettings:
    """Settings of a :class:`SessionClient`.

    Attributes:
        voters: Instances that may lead, in the order in which they are asked.
        lease_ms: Length of a lease; the same on every instance.
        poll_wait_ms: Time for which the leader may hold a poll.
        poll_timeout_ms: Time on top of ``poll_wait_ms`` after which a voter counts as
            silent. A lease has to outlast the silence of a few voters.
        silent_retry_ms: Time for which a silent voter is passed over; doubles up to
            ``silent_retry_max_ms`` while it stays silent.
        backoff_ms: First delay after a round of voters without an answer.
        backoff_max_ms: Longest such delay.
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
        lease_ms: Length of a lease; the same on every instance.
        drift_margin_ms: Allowance for clocks that run at different speeds; 50 ms on
            3000 ms covers 1.6%.
        max_confirmed_age_ms: Time since the last confirmed heartbeat round after which
            polls are refused. Well below ``lease_ms``, because the age shortens leases.
        max_poll_wait_ms: Longest time for which a poll is held.
        max_deaf_ms: Time for which polls of an instance may show that it did not get
            the registry sent to it; after that it gets no lease.
        first_grant_delay_ms: Time between the end of the takeover wait and the first
            grants; covers one round of polls.
        settle_ms: Time after an election during which the directory counts as
            incomplete. Covers one silent voter and the back-off of each instance.
        connection_linger_ms: Time for which connections of an owner that disappeared
            may stay open at the upstream.
        connection_fraction: Share of the connection limit that one owner may use.
        handover_ttl_ms: Time after a release for which its state holds; later the
            new owner starts cold.
        max_moves_per_round: Upstreams that are taken from live owners at a time to
            even out ownership.
        move_interval_ms: Time between two rounds of moves.
        max_move_checks: Upstreams looked at in one round of moves.
        max_grants_per_pass: Upstreams granted at a time; bounds the time for which
            allocation holds up polls.
        maintenance_interval_ms: Longest time between checks for expired leases and
            announcements while polls arrive.
        load_step: Change of the reported load that is worth a new registry version.
    """

    lease_ms: float = 3000
    drift_margin_ms: float = 50
    max_confirmed_age_ms: float = 1000
    max_poll_wait_ms: float = 1000
    max_deaf_ms: float = 1000
    first_grant_delay_ms: float = 100
    settle_ms: float = 1000
    connection_linger_ms: float = 60_000
    connection_fraction: float = 0.25
    handover_ttl_ms: float = 1000
    max_moves_per_round: int = 2
    move_interval_ms: float = 1000
    max_move_checks: int = 64
    max_grants_per_pass: int = 200
    maintenance_interval_ms: float = 50
    load_step: float = 0.25

    @property
    def takeover_wait_ms(self) -> float:
        """Time after an election at which all leases of former leaders have ended."""
        return self.lease_ms + self.drift_margin_ms
