"""Commits to the control log about requests suspected of breaking an upstream."""

import logging
from typing import Any

import anyio

from cuminbend.exceptions import (
    CuminbendError,
    NoQuorumError,
    QuarantinedError,
    RequestFailedError,
    RunState,
    UpstreamError,
)
from cuminbend.ports import ControlPort, RandomSource
from cuminbend.replicated import (
    ClaimSuspectRun,
    ClearSuspect,
    CrashResult,
    RecordCrash,
)
from cuminbend.upstreams import _refusals
from cuminbend.upstreams._flight import CrashRecord, Flight
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._suspects import SuspectMemory

logger = logging.getLogger(__name__)

CLAIM_ID_BITS = 128


class CrashLog:
    """Records crashes, and claims and clears suspects, for one upstream."""

    def __init__(
        self,
        *,
        settings: GateSettings,
        upstream: str,
        control: ControlPort,
        random: RandomSource,
        suspects: SuspectMemory,
    ) -> None:
        self._settings = settings
        self._upstream = upstream
        self._control = control
        self._random = random
        self._suspects = suspects
        self._claim_ids: dict[str, str] = {}

    async def record(self, unproven: list[Flight]) -> None:
        """Record the unproven requests that were in flight when the upstream broke.

        The first request that sees the break commits for all of them, so that each
        is recorded before its own failure reaches its caller.
        """
        fresh = {f.request.fingerprint: f for f in unproven if f.crash is None}
        if not fresh:
            return
        record = CrashRecord()
        for flight in unproven:
            if flight.crash is None:
                flight.crash = record
                self._suspects.add(flight.request.fingerprint, self._upstream)
        alone = len(unproven) == 1
        with anyio.CancelScope(shield=True):
            async with anyio.create_task_group() as group:
                for fingerprint, flight in fresh.items():
                    command = RecordCrash(
                        fingerprint, self._upstream, flight.incarnation, alone
                    )
                    group.start_soon(self._commit, record, command)
        record.done.set()

    async def _commit(self, record: CrashRecord, command: RecordCrash) -> None:
        fingerprint = command.fingerprint
        logger.warning(
            "event=suspect fingerprint=%s upstream=%s incarnation=%d alone=%s",
            fingerprint,
            command.upstream,
            command.incarnation,
            command.alone,
        )
        try:
            result = await self._propose(command)
        except Exception as error:
            # Whatever went wrong, the crash is not known to be on record.
            record.failed.add(fingerprint)
            logger.error(
                'event=record_crash_failed fingerprint=%s error="%s"',
                fingerprint,
                error,
            )
        else:
            if result.quarantined:
                record.quarantined.add(fingerprint)

    async def verdict(
        self, flight: Flight, failure: UpstreamError
    ) -> RequestFailedError:
        """Wait until a crash is on record and return what to raise for it."""
        record = flight.crash
        if record is None:
            return failure
        with anyio.CancelScope(shield=True):
            await record.done.wait()
        fingerprint = flight.request.fingerprint
        if fingerprint in record.failed:
            return QuarantinedError(
                f"upstream {self._upstream} broke while it ran {fingerprint}, and that "
                "could not be recorded; do not send the request elsewhere",
                run_state=RunState.UNKNOWN,
            )
        if flight.alone or fingerprint in record.quarantined:
            return _refusals.quarantined(fingerprint)
        return failure

    async def claim(self, fingerprint: str) -> None:
        """Commit the claim to the single run of a suspect.

        Raises:
            QuarantinedError: If it is quarantined, or the claim cannot be committed.
            UnavailableError: If the run was granted to another claim.
        """
        claim_id = self._claim_ids.get(fingerprint) or self._new_claim_id()
        self._remember_claim(fingerprint, claim_id)
        command = ClaimSuspectRun(fingerprint, self._upstream, claim_id)
        try:
            result = await self._propose(command)
        except CuminbendError as error:
            raise QuarantinedError(
                f"the run of suspect {fingerprint} could not be claimed ({error}); do "
                "not send the request elsewhere",
                run_state=RunState.NOT_RUN,
            ) from error
        if result.quarantined:
            raise _refusals.quarantined(fingerprint)
        if not result.granted:
            self._claim_ids.pop(fingerprint, None)
            raise _refusals.suspect_busy(fingerprint, self._settings.commit_timeout_ms)

    def use_claim(self, fingerprint: str) -> str:
        """Give up a granted claim, because its single run begins."""
        return self._claim_ids.pop(fingerprint, "")

    def return_claim(self, fingerprint: str, claim_id: str) -> None:
        """Keep a claim for a later run, because the upstream refused to run it.

        A claim that is never resolved would count as a crash.
        """
        self._remember_claim(fingerprint, claim_id)

    def _new_claim_id(self) -> str:
        return f"{self._random.getrandbits(CLAIM_ID_BITS):032x}"

    def _remember_claim(self, fingerprint: str, claim_id: str) -> None:
        self._claim_ids[fingerprint] = claim_id
        if len(self._claim_ids) > self._settings.suspect_memory_size:
            del self._claim_ids[next(iter(self._claim_ids))]

    async def clear(self, fingerprint: str) -> None:
        """Record that a suspect was answered."""
        self._suspects.clear(fingerprint)
        try:
            with anyio.CancelScope(shield=True):
                await self._propose(ClearSuspect(fingerprint))
        except CuminbendError as error:
            # The answer stands; the unresolved claim will count as a crash.
            logger.warning(
                'event=clear_suspect_failed fingerprint=%s error="%s"',
                fingerprint,
                error,
            )

    async def _propose(self, command: Any) -> CrashResult:
        timeout_ms = self._settings.commit_timeout_ms
        # The port is trusted to keep the limit; this one holds under a shield too.
        with anyio.move_on_after(timeout_ms / 1000):
            result: CrashResult = await self._control.propose(command, timeout_ms)
            return result
        raise NoQuorumError(
            f"{command.kind} was not committed within {timeout_ms:.0f} ms; check that "
            "a majority of voters runs"
        )
