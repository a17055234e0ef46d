"""What one instance knows about requests that crash upstreams."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from cuminbend.crashes._recent_answers import RecentAnswers
from cuminbend.crashes._table import (
    QUARANTINE_CRASHES,
    Crash,
    CrashHistory,
    CrashTable,
    Verdict,
)
from cuminbend.ports import Clock

# A report holds at most this many crashes and answers; the rest is in the next one.
_MAX_REPORTED = 64
_MAX_UNCONFIRMED = 256
# An answer is reported this often at most. The group confirms it only if it has
# recorded a crash of the request, which is not certain.
_MAX_ANSWER_REPORTS = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashSettings:
    """Settings of the quarantine.

    Attributes:
        quarantine_ms: Time for which a quarantined request is sent to no upstream.
        quarantine_growth: Factor on that time for each further crash. A frequent
            request that was only there when upstreams ended is back soon, and one that
            crashes them gets three trials within the first day.
    """

    quarantine_ms: float = 30_000.0
    quarantine_growth: float = 16.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AnsweredRequest:
    """States that an upstream of a service answered a suspect."""

    fingerprint: str
    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashReport:
    """What an instance has observed and the control group has not recorded yet."""

    crashes: tuple[Crash, ...] = ()
    answered: tuple[AnsweredRequest, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return not self.crashes and not self.answered


class CrashSuspects:
    """Merges the instance's own observations with the record of the control group.

    An observation holds here at once. It is reported until the record contains it, so
    that neither a lost message nor a change of the control instance loses it.

    Args:
        settings: Settings of the quarantine.
        clock: Source of time.
    """

    def __init__(self, *, settings: CrashSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._table = CrashTable()
        self._recent_answers = RecentAnswers(clock=clock)
        self._unconfirmed: OrderedDict[tuple[str, str, int], Crash] = OrderedDict()
        # Number of reports so far, by answer.
        self._answered: OrderedDict[AnsweredRequest, int] = OrderedDict()
        # Fingerprints of which the group may have recorded a crash.
        self._shared: set[str] = set()
        self._quarantine_starts_ms: dict[str, tuple[int, float]] = {}

    # Observations of this instance

    def record_crash(self, crash: Crash) -> CrashHistory:
        """Record that an upstream ended while it ran a request.

        If upstreams have answered equal requests lately, the crash counts like one
        while other upstreams answered the request itself.

        Returns:
            All known crashes of the request.
        """
        if crash.fingerprint in self._recent_answers:
            crash = replace(crash, is_partial=True)
        if self._table.record(crash):
            key = (crash.fingerprint, *crash.process)
            self._unconfirmed[key] = crash
            if len(self._unconfirmed) > _MAX_UNCONFIRMED:
                self._unconfirmed.popitem(last=False)
        return self._table.history(crash.fingerprint)

    def record_answer(self, fingerprint: str, service: str) -> None:
        """Record that an upstream of a service answered a request."""
        self._recent_answers.record(fingerprint)
        if fingerprint not in self._table:
            return
        if not self._table.record_answer(fingerprint, service):
            return
        history = self._table.history(fingerprint)
        self._forget_unconfirmed(fingerprint)
        self._quarantine_starts_ms.pop(fingerprint, None)
        for crash in history.crashes:
            self._unconfirmed[(fingerprint, *crash.process)] = crash
        if fingerprint in self._shared:
            answer = AnsweredRequest(fingerprint=fingerprint, service=service)
            self._answered[answer] = 0
            if len(self._answered) > _MAX_UNCONFIRMED:
                self._answered.popitem(last=False)

    def report(self) -> CrashReport:
        """Return what the control group has yet to record.

        Histories that make no suspect are left out: while many upstreams end for
        another reason, they would be many, and each record costs a commit.
        """
        crashes = [
            crash
            for crash in self._unconfirmed.values()
            if self._table.history(crash.fingerprint).verdict is not Verdict.CLEAR
        ]
        del crashes[_MAX_REPORTED:]
        self._shared.update(crash.fingerprint for crash in crashes)
        answered = tuple(self._answered)[:_MAX_REPORTED]
        for answer in answered:
            self._answered[answer] += 1
            if self._answered[answer] >= _MAX_ANSWER_REPORTS:
                del self._answered[answer]
        return CrashReport(crashes=tuple(crashes), answered=answered)

    def _forget_unconfirmed(self, fingerprint: str) -> None:
        for key in [key for key in self._unconfirmed if key[0] == fingerprint]:
            del self._unconfirmed[key]

    # Record of the control group

    def merge(self, histories: Iterable[CrashHistory], *, is_full: bool) -> None:
        """Merge recorded histories.

        Args:
            histories: Histories that changed, or all.
            is_full: Whether these are all histories.
        """
        histories = tuple(histories)
        if is_full:
            self._table.replace_all(())
            self._shared.clear()
        for history in histories:
            self._table.replace(history)
            self._remove_confirmed(history)
            if history.crashes:
                self._shared.add(history.fingerprint)
            else:
                self._shared.discard(history.fingerprint)
        for crash in self._unconfirmed.values():
            self._table.record(crash)
        for answer in self._answered:
            self._table.record_answer(answer.fingerprint, answer.service)
        for fingerprint in list(self._quarantine_starts_ms):
            if fingerprint not in self._table:
                del self._quarantine_starts_ms[fingerprint]

    def _remove_confirmed(self, history: CrashHistory) -> None:
        fingerprint = history.fingerprint
        if history.verdict is Verdict.QUARANTINED:
            # Further crashes change nothing, and the record may not keep all of them.
            self._forget_unconfirmed(fingerprint)
        for crash in history.crashes:
            self._unconfirmed.pop((fingerprint, *crash.process), None)
        for answer in list(self._answered):
            if answer.fingerprint == fingerprint and all(
                crash.is_partial and crash.service != answer.service
                for crash in history.crashes
            ):
                del self._answered[answer]

    # Verdicts

    def verdict(self, fingerprint: str) -> Verdict:
        """Return how a request is treated now."""
        if fingerprint not in self._table:
            return Verdict.CLEAR
        return self._table.history(fingerprint).verdict

    def quarantine_left_ms(self, fingerprint: str) -> float:
        """Return the time until a quarantined request may be tried again, or 0."""
        history = self._table.history(fingerprint)
        if history.verdict is not Verdict.QUARANTINED:
            return 0.0
        now_ms = self._clock.monotonic_ms()
        count = len(history.crashes)
        known_count, start_ms = self._quarantine_starts_ms.get(fingerprint, (0, now_ms))
        if count != known_count:
            start_ms = now_ms
            self._quarantine_starts_ms[fingerprint] = (count, start_ms)
        further_count = max(0, count - QUARANTINE_CRASHES)
        duration_ms = self._settings.quarantine_ms * (
            self._settings.quarantine_growth**further_count
        )
        return max(0.0, start_ms + duration_ms - now_ms)

    def begin_trial(self, fingerprint: str) -> bool:
        """Return whether a quarantined request may run once, and count that run.

        The quarantine starts again with the trial, so that there is one trial in each
        period. An answer ends it.
        """
        if self.quarantine_left_ms(fingerprint) > 0:
            return False
        count = len(self._table.history(fingerprint).crashes)
        self._quarantine_starts_ms[fingerprint] = (count, self._clock.monotonic_ms())
        return True

    def fingerprints(self, verdict: Verdict) -> list[str]:
        """Return the fingerprints with a verdict."""
        return [
            history.fingerprint
            for history in self._table.histories()
            if history.verdict is verdict
        ]
