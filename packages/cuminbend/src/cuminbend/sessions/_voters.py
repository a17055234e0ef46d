"""Which voter an instance polls."""

from cuminbend.ports import Clock, RandomSource
from cuminbend.sessions._settings import SessionSettings

__all__ = ["VoterChoice"]


class VoterChoice:
    """Prefers the leader and passes over voters that stay silent."""

    def __init__(
        self, *, settings: SessionSettings, clock: Clock, random: RandomSource
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random
        self._preferred: str | None = None
        self._next = 0
        self._failures = 0
        self._silent_until_ms: dict[str, float] = {}
        self._silence_ms: dict[str, float] = {}

    def choose(self) -> str:
        """Return the voter to poll next."""
        if self._preferred is not None and not self._is_silent(self._preferred):
            return self._preferred
        voters = self._settings.voters
        for step in range(len(voters)):
            voter = voters[(self._next + step) % len(voters)]
            if not self._is_silent(voter):
                self._next = (self._next + step) % len(voters)
                return voter
        return min(voters, key=lambda voter: self._silent_until_ms[voter])

    def answered(self, voter: str, leader: str) -> None:
        """Note that a voter brought a reply of the leader."""
        self._failures = 0
        self._silence_ms.pop(voter, None)
        self._silent_until_ms.pop(voter, None)
        self._preferred = voter if self._is_silent(leader) else leader

    def unreachable(self, voter: str) -> float:
        """Note that a voter did not answer; return the pause in milliseconds."""
        settings = self._settings
        silence_ms = self._silence_ms.get(voter, settings.silent_retry_ms)
        self._silence_ms[voter] = min(2 * silence_ms, settings.silent_retry_max_ms)
        self._silent_until_ms[voter] = self._clock.monotonic_ms() + silence_ms
        return self._failed()

    def not_leading(self, voter: str, leader: str | None) -> float:
        """Note that a voter has no leader to offer; return the pause."""
        self._silence_ms.pop(voter, None)
        self._silent_until_ms.pop(voter, None)
        pause_ms = self._failed()
        if leader != voter and leader in self._settings.voters:
            self._preferred = leader
        return pause_ms

    def _failed(self) -> float:
        self._preferred = None
        self._next = (self._next + 1) % len(self._settings.voters)
        self._failures += 1
        doublings = min(self._failures - 1, 16)
        pause_ms = min(
            self._settings.backoff_ms * float(1 << doublings),
            self._settings.backoff_max_ms,
        )
        return pause_ms * self._random.uniform(0.5, 1.0)

    def _is_silent(self, voter: str) -> bool:
        return self._silent_until_ms.get(voter, 0.0) > self._clock.monotonic_ms()
