"""State of the coordinator that its parts share."""

import anyio

from cuminbend.exceptions import NotLeaderError
from cuminbend.messages import InstanceInfo, UpstreamRecord
from cuminbend.ports import Clock
from cuminbend.sessions._protocols import ConfigurationSource, Leadership
from cuminbend.sessions._settings import CoordinatorSettings
from cuminbend.sessions._tables import Entry, Session

__all__ = ["TERM_SHIFT", "CoordinatorCore"]

# Grant ids and registry versions come from one counter, with the term above this bit,
# so that those of a later leader are higher without any shared state.
TERM_SHIFT = 32


class CoordinatorCore:
    """Sessions, upstreams and times of the current term.

    It is only changed between two awaits, so no part needs a lock.
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
        self.changed = anyio.Event()
        self.reset(-1)

    def reset(self, term: int) -> None:
        """Forget everything but the settings and start a term."""
        self.term = term
        self.sessions: dict[tuple[str, str], Session] = {}
        self.entries: dict[str, Entry] = {}
        self.counter = 0
        self.known_in_force = 0
        self.dirty = True
        self.maintained_at_ms = float("-inf")
        self.round_at_ms = float("-inf")
        self.move_offset = 0
        self.ttl_floor_ms = float("-inf")
        self.records: tuple[UpstreamRecord, ...] | None = None
        self.listed: tuple[InstanceInfo, ...] = ()
        self.woken_for: object = None

    def check_leading(self) -> None:
        """Check that this voter leads and a majority confirmed it lately.

        Raises:
            NotLeaderError: If not.
        """
        leadership = self.leadership
        if not leadership.is_leader:
            raise NotLeaderError(leadership.leader)
        if leadership.term != self.term:
            self.reset(leadership.term)
        if self.confirmed_age_ms() > self.settings.max_confirmed_age_ms:
            # Leases may have ended and announcements may be under way meanwhile.
            self.ttl_floor_ms = float("inf")
            raise NotLeaderError(None)
        now_ms = self.clock.monotonic_ms()
        if self.ttl_floor_ms == float("-inf"):
            self.ttl_floor_ms = self.takeover_ends_ms()
        elif self.ttl_floor_ms == float("inf"):
            self.ttl_floor_ms = now_ms + self.settings.takeover_wait_ms

    def confirmed_age_ms(self) -> float:
        """Return the time since a majority last confirmed this leader."""
        confirmed_at_ms = self.leadership.confirmed_at_ms()
        if confirmed_at_ms is None:
            return float("inf")
        return self.clock.monotonic_ms() - confirmed_at_ms

    def takeover_ends_ms(self) -> float:
        """Return when all leases of former leaders have ended."""
        return self.leadership.led_since_ms + self.settings.takeover_wait_ms

    def registry_version(self) -> int:
        """Return the current version of the registry."""
        return (self.term << TERM_SHIFT) + self.counter

    def registry_changed(self) -> None:
        """Start a new version of the registry."""
        self.counter += 1
        self.records = None
        self.dirty = True

    def wake_all(self) -> None:
        """Wake all polls and all that wait for a version to be in force."""
        for session in self.sessions.values():
            session.wake()
        self.notify()

    def notify(self) -> None:
        """Wake all that wait for a version to be in force."""
        self.changed.set()
        self.changed = anyio.Event()

    def is_deaf(self, session: Session) -> bool:
        """Return whether polls of an instance arrive but no reply reaches it.

        It gets no lease, because its session would never end and its upstreams would
        stay without work.
        """
        if session.deaf_since_ms is None:
            return False
        deaf_ms = self.clock.monotonic_ms() - session.deaf_since_ms
        return deaf_ms >= self.settings.max_deaf_ms

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
        """Return the latest end of a lease given with a reply to a poll."""
        settings = self.settings
        return arrival_ms + settings.lease_ms + settings.drift_margin_ms
