"""Which configuration an entry instance applies, and which one it could not."""

from cuminbend.newest import AppliedConfiguration
from cuminbend.ports import Clock

# A cause may list every problem of a configuration; it is sent with each heartbeat.
_MAX_REFUSAL_CHARS = 300


class AppliedRecord:
    """Records the configurations that were offered to this instance.

    Args:
        clock: Source of time.

    Attributes:
        offered_version: Newest version that a control instance in touch has named.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._version = 0
        self._applied_at_ms = clock.monotonic_ms()
        self._refused_version = 0
        self._refusal = ""
        self.offered_version = 0

    def record_offer(self, version: int) -> None:
        """Record the version that a control instance in touch names as in force."""
        self.offered_version = max(self.offered_version, version)

    def record_applied(self, version: int) -> None:
        """Record that a version is in force here from now on."""
        self._version = version
        self._applied_at_ms = self._clock.monotonic_ms()
        self._refused_version, self._refusal = 0, ""

    def record_refusal(self, version: int, cause: str) -> None:
        """Record that a version, or a part of it, could not be applied."""
        self._refused_version = version
        self._refusal = cause[:_MAX_REFUSAL_CHARS]

    def report(self) -> AppliedConfiguration:
        """Return what the control instances are told."""
        return AppliedConfiguration(
            version=self._version,
            age_ms=self._clock.monotonic_ms() - self._applied_at_ms,
            refused_version=self._refused_version,
            refusal=self._refusal,
        )

    def describe(self) -> str:
        """Return the age and what was offered, as fields of a log line."""
        age_ms = self._clock.monotonic_ms() - self._applied_at_ms
        return (
            f"version_age_ms={age_ms:.0f} offered={self.offered_version} "
            f"refused={self._refused_version}"
        )

    def dump(self) -> dict[str, object]:
        """Return the record as JSON values."""
        return {
            "age_ms": round(self._clock.monotonic_ms() - self._applied_at_ms),
            "offered_version": self.offered_version,
            "refused_version": self._refused_version,
            "refusal": self._refusal,
        }
