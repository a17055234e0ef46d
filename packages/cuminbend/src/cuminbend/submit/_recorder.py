"""Commits the outcome of submits, in the background if need be."""

import logging
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Any

import anyio

from cuminbend.ports import Clock, ControlPort, RandomSource, milliseconds
from cuminbend.replicated import (
    ClaimOutcome,
    ClaimResult,
    ClaimStatus,
    ClaimSubmit,
    RecordOutcome,
)
from cuminbend.submit._base import SubmitSettings

__all__ = ["OutcomeRecorder"]

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Job:
    """A record to commit.

    Attributes:
        record: What to record.
        claim: Claim to commit first, if its own fate is unknown.
        give_up_at_ms: When the job is given up.
    """

    record: RecordOutcome
    claim: ClaimSubmit | None
    give_up_at_ms: float


class OutcomeRecorder:
    """Commits records until the control log answers or a bound has passed.

    A record that is lost leaves the claim in progress; others then get ``unknown``.
    """

    def __init__(
        self,
        *,
        settings: SubmitSettings,
        control: ControlPort,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._settings = settings
        self._control = control
        self._clock = clock
        self._random = random
        self._jobs: OrderedDict[str, _Job] = OrderedDict()
        self._wake = anyio.Event()
        self.given_up = 0

    async def propose(self, command: Any, timeout_ms: float) -> Any | None:
        """Propose a command once; return None if its fate is unknown."""
        with anyio.move_on_after(timeout_ms / 1000):
            try:
                return await self._control.propose(command, timeout_ms)
            except Exception as error:  # a reply already received must not be lost
                _LOGGER.info(
                    "event=proposal_failed command=%s error=%s",
                    command.kind,
                    type(error).__name__,
                )
        return None

    async def record(self, record: RecordOutcome, wait_ms: float) -> None:
        """Commit a record; leave it to :meth:`run` if that takes over ``wait_ms``."""
        wait_ms = min(wait_ms, self._settings.record_wait_ms)
        if wait_ms > 0 and await self.propose(record, wait_ms) is not None:
            return
        self._add(record, None)

    def abandon(self, claim: ClaimSubmit) -> None:
        """Free the key of a claim whose fate is unknown and which never dispatches.

        The claim is committed again before it is freed, because a claim that is still
        on its way must not take the key after the record.
        """
        record = RecordOutcome(
            member=claim.member,
            service=claim.service,
            key=claim.key,
            claim_id=claim.claim_id,
            outcome=ClaimOutcome.NOT_RUN,
        )
        self._add(record, claim)

    def _add(self, record: RecordOutcome, claim: ClaimSubmit | None) -> None:
        give_up_at_ms = self._clock.monotonic_ms() + self._settings.record_bound_ms
        self._jobs[record.claim_id] = _Job(record, claim, give_up_at_ms)
        while len(self._jobs) > self._settings.max_records:
            self._give_up(next(iter(self._jobs)))
        self._wake.set()

    def _give_up(self, claim_id: str) -> None:
        del self._jobs[claim_id]
        self.given_up += 1
        _LOGGER.warning("event=record_given_up claim_id=%s", claim_id)

    async def run(self) -> None:
        """Commit waiting records until cancelled."""
        while True:
            if not self._jobs:
                self._wake = anyio.Event()
                await self._wake.wait()
            claim_id, job = next(iter(self._jobs.items()))
            if self._clock.monotonic_ms() >= job.give_up_at_ms:
                self._give_up(claim_id)
                continue
            done = await self._attempt(job)
            if done:
                self._jobs.pop(claim_id, None)
                continue
            if claim_id in self._jobs:
                self._jobs.move_to_end(claim_id)
            await self._clock.sleep(
                milliseconds(
                    self._settings.retry_delay_ms * self._random.uniform(0.5, 1.5)
                )
            )

    async def _attempt(self, job: _Job) -> bool:
        timeout_ms = self._settings.propose_timeout_ms
        if job.claim is not None:
            result = await self.propose(job.claim, timeout_ms)
            if result is None:
                return False
            if not isinstance(result, ClaimResult):
                return True
            if result.status is not ClaimStatus.GRANTED:
                return True
            job = replace(job, claim=None)
            if job.record.claim_id in self._jobs:
                self._jobs[job.record.claim_id] = job
        return await self.propose(job.record, timeout_ms) is not None

    def dump(self) -> dict[str, Any]:
        """Return the waiting records for a state dump."""
        return {
            "waiting": [
                {
                    "claim_id": job.record.claim_id,
                    "outcome": job.record.outcome.value,
                    "give_up_at_ms": job.give_up_at_ms,
                }
                for job in self._jobs.values()
            ],
            "given_up": self.given_up,
        }
