"""Choice of the voter that an instance polls."""

from cuminbend.ports import Clock, RandomSource
from cuminbend.sessions._settings import SessionSettings

__all__ = ["VoterChoice"]

_MAX_BACKOFF_DOUBLINGS = 16


class VoterChoice:
    """Prefers the leader and skips voters that did not answer recently."""

    def __init__(
        self, *, settings: SessionSettings, clock: Clock, random: RandomSource
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random
        self._preferred: str | None = None
        self._next_index = 0
        self._failures = 0
        self._silent_until_ms: dict[str, float] = {}
        self._silence_durations_ms: dict[str, float] = {}

    def choose_voter(self) -> str:
        """Return the voter to poll next."""
        if self._preferred is not None and not self._is_silent(self._preferred):
            return self._preferred
        voters = self._settings.voters
        for step in range(len(voters)):
            voter = voters[(self._next_index + step) % len(voters)]
            if not self._is_silent(voter):
                self._next_index = (self._next_index + step) % len(voters)
                return voter
        return min(voters, key=lambda voter: self._silent_until_ms[voter])

    def record_answer(self, voter: str, leader: str) -> None:
        """Record that a voter returned a reply of the leader."""
        self._failures = 0
        self._silence_durations_ms.pop(voter, None)
        self._silent_until_ms.pop(voter, None)
        self._preferred = voter if self._is_silent(leader) else leader

    def record_unreachable(self, voter: str) -> float:
        """Record that a voter did not answer; return the pause in milliseconds."""
        settings = self._settings
        silence_ms = self._silence_durations_ms.get(voter, settings.silent_retry_ms)
        self._silence_durations_ms[voter] = min(
            2 * silence_ms, settings.silent_retry_max_ms
        )
        self._silent_until_ms[voter] = self._clock.monotonic_ms() + silence_ms
        return self._record_failure()

    def record_not_leading(self, voter: str, leader: str | None) -> float:
        """Record that a voter does not lead; return the pause in milliseconds.

        ``leader`` is polled next if it is another voter.
        """
        self._silence_durations_ms.pop(voter, None)
        self._silent_until_ms.pop(voter, None)
        pause_ms = self._record_failure()
        if leader != voter and leader in self._settings.voters:
            self._preferred = leader
        return pause_ms

    def _record_failure(self) -> float:
        self._preferred = None
        self._next_index = (self._next_index + 1) % len(self._settings.voters)
        self._failures += 1
        doublings = min(self._failures - 1, _MAX_BACKOFF_DOUBLINGS)
        pause_ms = min(
            self._settings.backoff_ms * float(1 << doublings),
            self._settings.backoff_max_ms,
        )
        return pause_ms * self._random.uniform(0.5, 1.0)

    def _is_silent(self, voter: str) -> bool:
        return self._silent_until_ms.get(voter, 0.0) > self._clock.monotonic_ms()
