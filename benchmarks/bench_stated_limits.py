"""How much of a limit that an upstream states do the ways to share it use?

Each way decides at which instances a request may go to the upstream. The time is
virtual, requests arrive at random, and a request that finds no token goes elsewhere.
"""

import random
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass

from cuminbend.budgets import RateBudget
from cuminbend.forwarding import LimitShare, StatedLimitSettings, sender_rates

from benchmarks._base import SEED, Row

QUESTION = "shared limits"
STEP_MS = 5.0
DURATION_MS = 60_000.0
# Time for the buckets to fill, which is not counted.
START_MS = 5_000.0
WINDOW_MS = 4_000.0
# The users' bound: in any window, one and a half times the limit and five more.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
REALLOCATION_MS = 500.0
UNEVEN_SHARE = 0.8
SETTINGS = StatedLimitSettings()


@dataclass(frozen=True)
class Case:
    """One deployment and load.

    Attributes:
        limit_per_s: Limit that the upstream states.
        demand: Requests for the upstream, as a multiple of the limit.
        is_uneven: Whether most requests arrive at one instance.
    """

    instances: int
    limit_per_s: float
    demand: float
    is_uneven: bool = False

    @property
    def label(self) -> str:
        """Short description."""
        where = "at one instance" if self.is_uneven else "at all"
        return (
            f"{self.instances} instances, {self.limit_per_s:g}/s, "
            f"{self.demand:g} times the limit {where}"
        )


CASES = (
    Case(6, 10.0, 2.0),
    Case(6, 10.0, 2.0, is_uneven=True),
    Case(40, 1.0, 2.0),
    Case(40, 1.0, 20.0),
    Case(40, 5.0, 2.0),
)


class SharingWay(ABC):
    """A way to share a limit among instances."""

    name = ""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.instances = [f"e{number}" for number in range(case.instances)]

    @abstractmethod
    def try_send(self, instance: str, now_ms: float) -> bool:
        """Return whether a request at an instance goes to the upstream."""


class _Parts(SharingWay):
    """Each instance has a rate of its own, and no messages are sent."""

    def rates(self) -> dict[str, float]:
        """Return the rate of each instance that may send."""
        raise NotImplementedError

    def __init__(self, case: Case) -> None:
        super().__init__(case)
        self._shares = {
            instance: LimitShare(
                limit_per_s=case.limit_per_s, rate_per_s=rate_per_s, now_ms=0.0
            )
            for instance, rate_per_s in self.rates().items()
        }

    def try_send(self, instance: str, now_ms: float) -> bool:
        """Send if the own part allows it."""
        share = self._shares.get(instance)
        if share is None or share.wait_ms(now_ms):
            return False
        share.spend(now_ms)
        return True


class EqualParts(_Parts):
    """Every instance sends."""

    name = "equal parts of all instances"

    def rates(self) -> dict[str, float]:
        """Return equal rates."""
        rate_per_s = SETTINGS.usable_share * self.case.limit_per_s
        return dict.fromkeys(self.instances, rate_per_s / len(self.instances))


class SomeSenders(_Parts):
    """The way that is in use."""

    name = "equal parts of some senders"

    def rates(self) -> dict[str, float]:
        """Return the rates that the entry instances use."""
        return sender_rates(
            "u",
            self.case.limit_per_s,
            candidates=self.instances,
            settings=SETTINGS,
        )


class OneSender(_Parts):
    """One instance sends, with the whole limit."""

    name = "one designated sender"

    def rates(self) -> dict[str, float]:
        """Return the rate of the first instance."""
        return {self.instances[0]: SETTINGS.usable_share * self.case.limit_per_s}


class PartsByDemand(EqualParts):
    """Rates follow what each instance was asked for in the last period."""

    name = "parts by demand, divided every 500 ms"

    def __init__(self, case: Case) -> None:
        super().__init__(case)
        self._asked: Counter[str] = Counter()
        self._due_ms = REALLOCATION_MS

    def try_send(self, instance: str, now_ms: float) -> bool:
        """Count the request, and send it if the own part allows it."""
        if now_ms >= self._due_ms:
            self._divide(now_ms)
        self._asked[instance] += 1
        return super().try_send(instance, now_ms)

    def _divide(self, now_ms: float) -> None:
        limit_per_s = self.case.limit_per_s
        total = sum(self._asked.values())
        for instance, share in self._shares.items():
            part = self._asked[instance] / total if total else 1 / len(self.instances)
            rate_per_s = SETTINGS.usable_share * limit_per_s * part
            share.set_rate(limit_per_s, rate_per_s, now_ms=now_ms)
        self._asked.clear()
        self._due_ms = now_ms + REALLOCATION_MS


class TokenLeases(SharingWay):
    """Each request asks one place for a token, or is routed to that place."""

    name = "a token from one place for each request"

    def __init__(self, case: Case) -> None:
        super().__init__(case)
        rate_per_s = SETTINGS.usable_share * case.limit_per_s
        self._budget = RateBudget(rate_per_s=rate_per_s, now_ms=0.0, burst=1.5)

    def try_send(self, instance: str, now_ms: float) -> bool:
        """Send if there is a token, wherever the request arrived."""
        return self._budget.try_spend(now_ms)


WAYS = (EqualParts, SomeSenders, OneSender, PartsByDemand, TokenLeases)


def _simulate(way: SharingWay) -> list[float]:
    """Return the times at which requests reach the upstream."""
    case, rng = way.case, random.Random(SEED)
    times_ms = []
    now_ms = 0.0
    while now_ms < DURATION_MS:
        now_ms += STEP_MS
        if rng.random() >= case.demand * case.limit_per_s * STEP_MS / 1000:
            continue
        is_first = case.is_uneven and rng.random() < UNEVEN_SHARE
        instance = way.instances[0] if is_first else rng.choice(way.instances)
        if way.try_send(instance, now_ms):
            times_ms.append(now_ms)
    return times_ms


def _largest_window(times_ms: list[float]) -> int:
    return max(
        (
            sum(start_ms <= time_ms < start_ms + WINDOW_MS for time_ms in times_ms)
            for start_ms in times_ms
        ),
        default=0,
    )


def run() -> list[Row]:
    """Return the share of the limit that each way uses, and its largest window."""
    rows = []
    for case in CASES:
        allowed = ALLOWED_FACTOR * case.limit_per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA
        for way_type in WAYS:
            times_ms = [
                time_ms for time_ms in _simulate(way_type(case)) if time_ms > START_MS
            ]
            limit = case.limit_per_s * (DURATION_MS - START_MS) / 1000
            label = f"{case.label}: {way_type.name}"
            rows.append(
                Row(QUESTION, f"{label}: share used", len(times_ms) / limit, "", None)
            )
            window_share = _largest_window(times_ms) / allowed
            is_in_use = way_type is SomeSenders
            rows.append(
                Row(
                    QUESTION,
                    f"{label}: largest window / allowed",
                    window_share,
                    "<= 1" if is_in_use else "",
                    window_share <= 1 if is_in_use else None,
                )
            )
    return rows
