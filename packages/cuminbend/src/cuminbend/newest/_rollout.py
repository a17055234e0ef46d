"""Which instances apply which configuration, and which of them are overdue.

A committed configuration is in force only where an entry instance applies it. An
instance that cannot read it, or does not receive it, goes on with an older one, which
its callers notice first. So each instance reports what it applies, and one that is
overdue is reported with the cause.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class AppliedConfiguration:
    """What an entry instance reports of the configuration that it applies.

    Attributes:
        version: Version that it applies, 0 before the first.
        age_ms: Time for which it has applied that version.
        refused_version: Version that it received and could not apply, 0 if there is
            none; equal to ``version`` if it could not apply a part of it.
        refusal: Why it could not apply ``refused_version``.
    """

    version: int
    age_ms: float = 0.0
    refused_version: int = 0
    refusal: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class OverdueInstance:
    """An entry instance that does not apply a version in time, or not in full.

    Attributes:
        version: Version that it applies.
        due_version: Version that it should apply.
        cause: Why it does not, in words.
    """

    instance: str
    version: int
    due_version: int
    cause: str


@dataclass(slots=True)
class _Report:
    """The last report of an instance.

    Attributes:
        connected_at_ms: Monotonic time of the first report on this connection.
        reported_at_ms: Monotonic time of the last report.
        has_details: Whether the instance states the age and its refusals; earlier
            releases state the version only.
    """

    applied: AppliedConfiguration
    connected_at_ms: float
    reported_at_ms: float
    has_details: bool


class ConfigurationRollout:
    """Holds what the connected entry instances report of their configuration.

    Args:
        apply_limit_ms: Time within which a committed version has to be applied, by an
            instance that has been connected for as long.
    """

    def __init__(self, *, apply_limit_ms: float) -> None:
        self._apply_limit_ms = apply_limit_ms
        self._reports: dict[str, _Report] = {}
        self._committed: deque[tuple[int, float]] = deque()
        self._due_version = 0

    def record_commit(self, version: int, *, now_ms: float) -> None:
        """Record that a version has been committed, as this instance sees it."""
        if not self._committed or self._committed[-1][0] < version:
            self._committed.append((version, now_ms))

    def record_report(
        self,
        instance: str,
        applied: AppliedConfiguration,
        *,
        now_ms: float,
        has_details: bool = True,
    ) -> None:
        """Record the report of a connected entry instance.

        An instance never goes back to a lower version, so one that does is a process
        that has just been started in place of the former.
        """
        former = self._reports.get(instance)
        is_known = former is not None and former.applied.version <= applied.version
        self._reports[instance] = _Report(
            applied=applied,
            connected_at_ms=former.connected_at_ms if former and is_known else now_ms,
            reported_at_ms=now_ms,
            has_details=has_details,
        )

    def forget(self, instance: str) -> None:
        """Remove an entry instance that is no longer connected."""
        self._reports.pop(instance, None)

    def overdue(self, *, now_ms: float) -> tuple[OverdueInstance, ...]:
        """Return the connected instances without a version that is due, by name."""
        due_version = self._advance_due_version(now_ms)
        return tuple(
            OverdueInstance(
                instance=instance,
                version=report.applied.version,
                due_version=due_version,
                cause=_describe_cause(report, now_ms),
            )
            for instance, report in sorted(self._reports.items())
            if not _applies(report.applied, due_version)
            and now_ms - report.connected_at_ms > self._apply_limit_ms
        )

    def _advance_due_version(self, now_ms: float) -> int:
        """Return the newest version committed before the limit, and drop older ones."""
        while self._committed and now_ms - self._committed[0][1] > self._apply_limit_ms:
            self._due_version = self._committed.popleft()[0]
        return self._due_version

    def dump(self, *, now_ms: float) -> dict[str, dict[str, object]]:
        """Return the last report of each connected instance, as JSON values."""
        return {
            instance: {
                "version": report.applied.version,
                "age_ms": round(report.applied.age_ms),
                "refused_version": report.applied.refused_version,
                "refusal": report.applied.refusal,
                "reported_ms_ago": round(now_ms - report.reported_at_ms),
            }
            for instance, report in sorted(self._reports.items())
        }


def _applies(applied: AppliedConfiguration, due_version: int) -> bool:
    """Return whether an instance applies a version in full, or a newer one."""
    if applied.version == due_version:
        return applied.refused_version != due_version
    return applied.version > due_version


def _describe_cause(report: _Report, now_ms: float) -> str:
    applied = report.applied
    if applied.refused_version == applied.version > 0:
        return f"it cannot apply a part of it: {applied.refusal}"
    if applied.refused_version > applied.version:
        return f"it cannot apply version {applied.refused_version}: {applied.refusal}"
    if not report.has_details:
        return "its release does not report why; look for configuration_unreadable"
    silent_ms = now_ms - report.reported_at_ms
    return (
        "it has not received a newer version; its last report is "
        f"{silent_ms:.0f} ms old"
    )


def merge_overdue(
    own: Iterable[OverdueInstance],
    peers: Mapping[str, Iterable[OverdueInstance]],
) -> tuple[OverdueInstance, ...]:
    """Return the overdue instances that this and other control instances know, by name.

    Args:
        own: Those that read the feed of this control instance; they go first, because
            an instance that has just moved here may still be listed elsewhere.
        peers: Those that other control instances have reported.
    """
    merged = {item.instance: item for items in peers.values() for item in items}
    merged.update((item.instance, item) for item in own)
    return tuple(merged[instance] for instance in sorted(merged))
