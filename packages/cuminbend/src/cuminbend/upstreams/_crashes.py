"""Commits to the control log about requests suspected of crashing an upstream."""

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
from cuminbend.upstreams._admitted import AdmittedRequest, CrashRecord
from cuminbend.upstreams._settings import GateSettings
from cuminbend.upstreams._suspects import SuspectCache

logger = logging.getLogger(__name__)

CLAIM_ID_BITS = 128


class CrashRecorder:
    """Records the crashes of one upstream, and claims and clears its suspects."""

    def __init__(
        self,
        *,
        settings: GateSettings,
        upstream: str,
        control: ControlPort,
        random: RandomSource,
        suspects: SuspectCache,
    ) -> None:
        self._settings = settings
        self._upstream = upstream
        self._control = control
        self._random = random
        self._suspects = suspects
        self._claim_ids: dict[str, str] = {}

    async def record_crash(self, candidates: list[AdmittedRequest]) -> None:
        """Record the unproven requests that were in flight when the upstream crashed.

        The first request that detects the crash commits for all of them, so that each
        request is recorded before its failure reaches its caller.
        """
        unrecorded = {
            admitted.request.fingerprint: admitted
            for admitted in candidates
            if admitted.crash_record is None
        }
        if not unrecorded:
            return
        crash_record = CrashRecord()
        for admitted in candidates:
            if admitted.crash_record is None:
                admitted.crash_record = crash_record
                self._suspects.add(admitted.request.fingerprint, self._upstream)
        was_alone = len(candidates) == 1
        with anyio.CancelScope(shield=True):
            async with anyio.create_task_group() as group:
                for fingerprint, admitted in unrecorded.items():
                    command = RecordCrash(
                        fingerprint, self._upstream, admitted.incarnation, was_alone
                    )
                    group.start_soon(self._commit_crash, crash_record, command)
        crash_record.done.set()

    async def _commit_crash(
        self, crash_record: CrashRecord, command: RecordCrash
    ) -> None:
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
            # After any error it is unknown whether the crash was committed.
            crash_record.failed.add(fingerprint)
            logger.error(
                'event=record_crash_failed fingerprint=%s error="%s"',
                fingerprint,
                error,
            )
        else:
            if result.quarantined:
                crash_record.quarantined.add(fingerprint)

    async def resolve_failure(
        self, admitted: AdmittedRequest, failure: UpstreamError
    ) -> RequestFailedError:
        """Wait until the crash of a request is recorded and return the error to raise.

        Returns:
            ``failure`` if the request may be sent to another upstream, else a
            quarantine error.
        """
        crash_record = admitted.crash_record
        if crash_record is None:
            return failure
        with anyio.CancelScope(shield=True):
            await crash_record.done.wait()
        fingerprint = admitted.request.fingerprint
        if fingerprint in crash_record.failed:
            return QuarantinedError(
                f"upstream {self._upstream} broke while it ran {fingerprint}, and that "
                "could not be recorded; do not send the request elsewhere",
                run_state=RunState.UNKNOWN,
            )
        if admitted.must_run_alone or fingerprint in crash_record.quarantined:
            return _refusals.quarantined_error(fingerprint)
        return failure

    async def claim_run(self, fingerprint: str) -> None:
        """Commit a claim for the single run of a suspect.

        Raises:
            QuarantinedError: If the suspect is quarantined, or the claim cannot be
                committed.
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
            raise _refusals.quarantined_error(fingerprint)
        if not result.granted:
            self._claim_ids.pop(fingerprint, None)
            raise _refusals.suspect_busy_error(
                fingerprint, self._settings.commit_timeout_ms
            )

    def take_claim(self, fingerprint: str) -> str:
        """Remove and return the id of a granted claim, whose single run begins now.

        Returns:
            The claim id, or an empty string without a claim.
        """
        return self._claim_ids.pop(fingerprint, "")

    def keep_claim(self, fingerprint: str, claim_id: str) -> None:
        """Keep a claim for a later run, because the upstream did not run the suspect.

        A claim that is never resolved would count as a crash.
        """
        self._remember_claim(fingerprint, claim_id)

    def _new_claim_id(self) -> str:
        return f"{self._random.getrandbits(CLAIM_ID_BITS):032x}"

    def _remember_claim(self, fingerprint: str, claim_id: str) -> None:
        self._claim_ids[fingerprint] = claim_id
        if len(self._claim_ids) > self._settings.suspect_cache_size:
            del self._claim_ids[next(iter(self._claim_ids))]

    async def clear_suspect(self, fingerprint: str) -> None:
        """Record that a suspect was answered; a failed commit is only logged."""
        self._suspects.remove(fingerprint)
        try:
            with anyio.CancelScope(shield=True):
                await self._propose(ClearSuspect(fingerprint))
        except CuminbendError as error:
            # The answer is still returned; the unresolved claim will count as a crash.
            logger.warning(
                'event=clear_suspect_failed fingerprint=%s error="%s"',
                fingerprint,
                error,
            )

    async def _propose(self, command: Any) -> CrashResult:
        timeout_ms = self._settings.commit_timeout_ms
        # The port should keep to the limit itself. Without this second limit, a fault
        # there would let a caller in a shielded scope wait without bound.
        with anyio.move_on_after(timeout_ms / 1000):
            result: CrashResult = await self._control.propose(command, timeout_ms)
            return result
        raise NoQuorumError(
            f"{command.kind} was not committed within {timeout_ms:.0f} ms; check that "
            "a majority of voters runs"
        )
