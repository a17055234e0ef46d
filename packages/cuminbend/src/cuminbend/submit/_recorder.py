"""Commits the outcomes of submits, with retries in the background."""

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
class _PendingRecord:
    """A record that is not committed yet.

    Attributes:
        claim: Claim to commit before the record, or None if it is committed already.
        give_up_at_ms: Monotonic time at which the record is dropped.
    """

    record: RecordOutcome
    claim: ClaimSubmit | None
    give_up_at_ms: float


class OutcomeRecorder:
    """Proposes each record until the control log answers or a timeout has passed.

    If a record is lost, its claim stays in progress and a resend of the submit gets
    ``unknown``.
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
        self._pending: OrderedDict[str, _PendingRecord] = OrderedDict()
        self._record_added = anyio.Event()
        self.given_up = 0

    async def propose(self, command: Any, timeout_ms: float) -> Any | None:
        """Propose a command once; return its result, or None if that is unknown."""
        with anyio.move_on_after(timeout_ms / 1000):
            try:
                return await self._control.propose(command, timeout_ms)
            except Exception as error:  # must not discard a reply that was received
                _LOGGER.info(
                    "event=proposal_failed command=%s error=%s",
                    command.kind,
                    type(error).__name__,
                )
        return None

    async def record(self, record: RecordOutcome, wait_ms: float) -> None:
        """Commit a record; after ``wait_ms`` leave it to :meth:`run`."""
        wait_ms = min(wait_ms, self._settings.record_wait_ms)
        if wait_ms > 0 and await self.propose(record, wait_ms) is not None:
            return
        self._queue_record(record, None)

    def free_unconfirmed_claim(self, claim: ClaimSubmit) -> None:
        """Free the key of an unconfirmed claim whose submit is not dispatched.

        The claim is committed again before the record that frees the key, because a
        delayed copy of the claim must not take the key after that record.
        """
        record = RecordOutcome(
            member=claim.member,
            service=claim.service,
            key=claim.key,
            claim_id=claim.claim_id,
            outcome=ClaimOutcome.NOT_RUN,
        )
        self._queue_record(record, claim)

    def _queue_record(self, record: RecordOutcome, claim: ClaimSubmit | None) -> None:
        give_up_at_ms = self._clock.monotonic_ms() + self._settings.record_timeout_ms
        self._pending[record.claim_id] = _PendingRecord(record, claim, give_up_at_ms)
        while len(self._pending) > self._settings.max_pending_records:
            self._drop_record(next(iter(self._pending)))
        self._record_added.set()

    def _drop_record(self, claim_id: str) -> None:
        del self._pending[claim_id]
        self.given_up += 1
        _LOGGER.warning("event=record_given_up claim_id=%s", claim_id)

    async def run(self) -> None:
        """Commit pending records until cancelled."""
        while True:
            if not self._pending:
                self._record_added = anyio.Event()
                await self._record_added.wait()
            claim_id, pending = next(iter(self._pending.items()))
            if self._clock.monotonic_ms() >= pending.give_up_at_ms:
                self._drop_record(claim_id)
                continue
            is_done = await self._commit_record(pending)
            if is_done:
                self._pending.pop(claim_id, None)
                continue
            if claim_id in self._pending:
                self._pending.move_to_end(claim_id)
            await self._clock.sleep(
                milliseconds(
                    self._settings.retry_delay_ms * self._random.uniform(0.5, 1.5)
                )
            )

    async def _commit_record(self, pending: _PendingRecord) -> bool:
        timeout_ms = self._settings.propose_timeout_ms
        if pending.claim is not None:
            result = await self.propose(pending.claim, timeout_ms)
            if result is None:
                return False
            if not isinstance(result, ClaimResult):
                return True
            if result.status is not ClaimStatus.GRANTED:
                return True
            pending = replace(pending, claim=None)
            if pending.record.claim_id in self._pending:
                self._pending[pending.record.claim_id] = pending
        return await self.propose(pending.record, timeout_ms) is not None

    def dump(self) -> dict[str, Any]:
        """Return the pending records for a state dump."""
        return {
            "waiting": [
                {
                    "claim_id": pending.record.claim_id,
                    "outcome": pending.record.outcome.value,
                    "give_up_at_ms": pending.give_up_at_ms,
                }
                for pending in self._pending.values()
            ],
            "given_up": self.given_up,
        }
