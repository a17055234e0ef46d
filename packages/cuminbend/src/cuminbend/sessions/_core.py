"""State shared by the parts of the session coordinator."""

import anyio

from cuminbend.exceptions import NotLeaderError
from cuminbend.messages import InstanceInfo, UpstreamRecord
from cuminbend.ports import Clock
from cuminbend.sessions._protocols import ConfigurationSource, Leadership
from cuminbend.sessions._settings import CoordinatorSettings
from cuminbend.sessions._tables import Session, UpstreamEntry

__all__ = ["TERM_SHIFT", "CoordinatorCore"]

# Grant ids and registry versions are taken from one counter, with the term in the bits
# above this one. A later leader therefore uses higher values without shared state.
TERM_SHIFT = 32


class CoordinatorCore:
    """Sessions, upstreams and times of the current term.

    Every change is complete before the next await, so no lock is needed.

    Attributes:
        in_force_changed: Set when a configuration version may have come into force on
            another instance.
        version_counter: Registry changes in this term.
        highest_in_force_version: Highest configuration version known to be in force on
            every instance.
        dirty: Whether the next poll must run maintenance and an allocation round.
        maintained_at_ms: Monotonic time of the last check for expired state.
        next_round_at_ms: Monotonic time of the next round that may move upstreams.
        move_offset: Index of the entry that the last round of moves examined last.
        expiry_allowed_at_ms: Monotonic time before which no announcement expires. Minus
            infinity before the first poll of a term, infinity while a majority has not
            confirmed the leader recently.
        registry_records: Cached records of the registry, or None after a change.
        directory: Instances listed in the directory.
        last_wake_state: State for which the polls were last woken.
    """

    def __init__(
        self,
        *,
        settings: CoordinatorSettings,
        clock: Clock,
        leadership: Leadership,
        configuration: ConfigurationSource,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.leadership = leadership
        self.configuration = configuration
        self.in_force_changed = anyio.Event()
        self.reset(-1)

    def reset(self, term: int) -> None:
        """Discard all state of the former term and start a term."""
        self.term = term
        self.sessions: dict[tuple[str, str], Session] = {}
        self.entries: dict[str, UpstreamEntry] = {}
        self.version_counter = 0
        self.highest_in_force_version = 0
        self.dirty = True
        self.maintained_at_ms = float("-inf")
        self.next_round_at_ms = float("-inf")
        self.move_offset = 0
        self.expiry_allowed_at_ms = float("-inf")
        self.registry_records: tuple[UpstreamRecord, ...] | None = None
        self.directory: tuple[InstanceInfo, ...] = ()
        self.last_wake_state: object = None

    def check_leading(self) -> None:
        """Check that this voter leads and that a majority confirmed it recently.

        The state is reset if the term has changed.

        Raises:
            NotLeaderError: If this voter does not lead, or if the last confirmed
                heartbeat round is older than ``max_confirmed_age_ms``.
        """
        leadership = self.leadership
        if not leadership.is_leader:
            raise NotLeaderError(leadership.leader)
        if leadership.term != self.term:
            self.reset(leadership.term)
        if self.confirmed_age_ms() > self.settings.max_confirmed_age_ms:
            # Until a majority confirms the leader again, leases may end and
            # announcements may be delayed.
            self.expiry_allowed_at_ms = float("inf")
            raise NotLeaderError(None)
        now_ms = self.clock.monotonic_ms()
        if self.expiry_allowed_at_ms == float("-inf"):
            self.expiry_allowed_at_ms = self.takeover_ends_ms()
        elif self.expiry_allowed_at_ms == float("inf"):
            self.expiry_allowed_at_ms = now_ms + self.settings.takeover_wait_ms

    def confirmed_age_ms(self) -> float:
        """Return the time since a majority confirmed this leader; infinity if never."""
        confirmed_at_ms = self.leadership.confirmed_at_ms()
        if confirmed_at_ms is None:
            return float("inf")
        return self.clock.monotonic_ms() - confirmed_at_ms

    def takeover_ends_ms(self) -> float:
        """Return the monotonic time at which all leases of former leaders are over."""
        return self.leadership.led_since_ms + self.settings.takeover_wait_ms

    def registry_version(self) -> int:
        """Return the current version of the registry."""
        return (self.term << TERM_SHIFT) + self.version_counter

    def registry_changed(self) -> None:
        """Start a new version of the registry."""
        self.version_counter += 1
        self.registry_records = None
        self.dirty = True

    def wake_all(self) -> None:
        """Wake all held polls and all waiters for a version to be in force."""
        for session in self.sessions.values():
            session.wake()
        self.notify_in_force_waiters()

    def notify_in_force_waiters(self) -> None:
        """Wake all waiters for a version to be in force."""
        self.in_force_changed.set()
        self.in_force_changed = anyio.Event()

    def misses_replies(self, session: Session) -> bool:
        """Return whether polls of an instance arrive but replies do not reach it.

        Such an instance gets no lease; otherwise its session would not expire and its
        upstreams would get no work.
        """
        if session.missing_replies_since_ms is None:
            return False
        missing_replies_ms = (
            self.clock.monotonic_ms() - session.missing_replies_since_ms
        )
        return missing_replies_ms >= self.settings.max_missing_replies_ms

    def is_listed(self, session: Session) -> bool:
        """Return whether an instance may be in the directory and own upstreams."""
        configuration = self.configuration.configuration
        return (
            not session.info.draining
            and not session.superseded
            and (
                configuration is None
                or session.info.data_centre in configuration.data_centres_in_service
            )
        )

    def lease_end_ms(self, arrival_ms: float) -> float:
        """Return the latest end of a lease given for a poll that arrived then."""
        settings = self.settings
        return arrival_ms + settings.lease_ms + settings.drift_margin_ms
