"""Table of claims on idempotency keys."""

from collections import deque
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from operator import attrgetter
from sys import intern
from typing import Any

from pydantic_core import from_json, to_json

from cuminbend.replicated._commands import (
    ClaimOutcome,
    ClaimResult,
    ClaimStatus,
    ClaimSubmit,
    RecordOutcome,
    RecordResult,
    RefusedResult,
)
from cuminbend.replicated._keys import key_creation_ms
from cuminbend.replicated._limits import StateLimits

__all__ = ["ClaimTable"]

# Member, service and idempotency key.
Scope = tuple[str, str, str]


@dataclass(slots=True)
class _Claim:
    """State of one idempotency key of a member at a service.

    Attributes:
        digest: Digest of the body of the first claim.
        holder: Claim id that holds the key, or empty while the key is free.
        instance: Entry instance of the holder, or empty while the key is free.
        claimed_at_ms: State machine time at which the holder got the key.
        outcome: None while the holder is in progress, or while the key is free.
        freed: Claim ids that freed the key; they never hold it again.
        refused: Claim ids that were refused because another claim held the key. A
            duplicate of such a proposal can be committed after the key was freed. It
            must not get the key: its entry instance has answered the caller already
            and would never dispatch the submit or free the key.
    """

    digest: str
    holder: str = ""
    instance: str = ""
    claimed_at_ms: float = 0.0
    outcome: ClaimOutcome | None = None
    body: str = ""
    upstream: str = ""
    body_dropped: bool = False
    ran: bool = False
    freed: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


# Snapshot rows contain the fields in this order.
_CLAIM_FIELDS = tuple(_Claim.__slots__)
_field_values = attrgetter(*_CLAIM_FIELDS)


def _encode_row(scope: Scope, claim: _Claim) -> bytes:
    return to_json((scope, _field_values(claim)))


def _decode_row(row: bytes) -> tuple[Scope, _Claim]:
    (member, service, key), values = from_json(row)
    claim = _Claim(**dict(zip(_CLAIM_FIELDS, values, strict=True)))
    if claim.outcome is not None:
        claim.outcome = ClaimOutcome(claim.outcome)
    claim.freed = tuple(claim.freed)
    claim.refused = tuple(claim.refused)
    return (intern(member), intern(service), key), claim


class ClaimTable:
    """Claims on all keys created within the retention time.

    A claim with an outcome is kept as its encoded snapshot row. Nearly all claims have
    an outcome, and encoding all of them for a snapshot could block the event loop of a
    voter for longer than an election timeout.

    Attributes:
        horizon_ms: Oldest creation time that is accepted, in ms since the epoch. Keys
            created earlier are refused and their claims are dropped. The horizon never
            decreases, so raising the retention does not accept keys whose claims were
            dropped under a shorter retention.
    """

    def __init__(self, *, limits: StateLimits) -> None:
        self._limits = limits
        self.horizon_ms = 0.0
        self._claims: dict[Scope, _Claim | bytes] = {}
        self._creation_heap: list[tuple[int, Scope]] = []
        self._scopes_with_body: deque[Scope] = deque()
        self._total_body_chars = 0

    def expire(self, horizon_ms: float) -> None:
        """Raise the horizon and drop the claims on keys created before it."""
        self.horizon_ms = max(self.horizon_ms, horizon_ms)
        while self._creation_heap and self._creation_heap[0][0] < self.horizon_ms:
            _, scope = heappop(self._creation_heap)
            claim_or_row = self._claims.pop(scope)
            if isinstance(claim_or_row, bytes):
                self._total_body_chars -= len(_decode_row(claim_or_row)[1].body)
        # A dropped key is never accepted again, so an expired scope may stay in the
        # queue behind an unexpired one.
        while self._scopes_with_body and self._scopes_with_body[0] not in self._claims:
            self._scopes_with_body.popleft()

    def _find_claim(self, scope: Scope) -> _Claim | None:
        claim_or_row = self._claims.get(scope)
        return (
            _decode_row(claim_or_row)[1]
            if isinstance(claim_or_row, bytes)
            else claim_or_row
        )

    def claim(self, command: ClaimSubmit, now_ms: float) -> ClaimResult | RefusedResult:
        """Grant the key to the claim if the key is free.

        Returns:
            The claim's status, with the recorded reply if the key has one, or
            :class:`RefusedResult` if the claim is invalid or the table is full.
        """
        creation_ms = key_creation_ms(command.key)
        if creation_ms is None:
            return RefusedResult("the key is not a UUIDv7; send one in lower case")
        if not command.claim_id:
            return RefusedResult("the claim has no claim id; send one")
        if creation_ms < self.horizon_ms:
            return ClaimResult(ClaimStatus.TOO_OLD)
        if creation_ms > now_ms + self._limits.max_clock_skew_ms:
            return ClaimResult(ClaimStatus.FROM_FUTURE)
        # Many claims share the same few member and service names.
        scope = (intern(command.member), intern(command.service), command.key)
        claim = self._find_claim(scope)
        if claim is None:
            if len(self._claims) >= self._limits.claims:
                return RefusedResult("the table of claims is full; try again later")
            claim = self._claims[scope] = _Claim(digest=command.digest)
            heappush(self._creation_heap, (creation_ms, scope))
        return self._grant_or_refuse(claim, command, now_ms)

    def _grant_or_refuse(
        self, claim: _Claim, command: ClaimSubmit, now_ms: float
    ) -> ClaimResult | RefusedResult:
        if claim.digest != command.digest:
            return ClaimResult(ClaimStatus.OTHER_BODY)
        if claim.holder == command.claim_id and claim.outcome is None:
            return ClaimResult(ClaimStatus.GRANTED, command.claim_id)
        if claim.holder:
            if claim.outcome is None and claim.holder != command.claim_id:
                refused = (*claim.refused, command.claim_id)
                claim.refused = refused[-self._limits.refused_ids :]
            return self._held_key_result(claim, now_ms)
        if command.claim_id in claim.freed or command.claim_id in claim.refused:
            return ClaimResult(ClaimStatus.IN_PROGRESS)
        if len(claim.freed) >= self._limits.freed_ids:
            return RefusedResult(
                f"the key was freed {self._limits.freed_ids} times without a run; "
                "use a new key"
            )
        claim.holder = command.claim_id
        claim.instance = intern(command.instance)
        claim.claimed_at_ms = now_ms
        return ClaimResult(ClaimStatus.GRANTED, command.claim_id)

    def _held_key_result(self, claim: _Claim, now_ms: float) -> ClaimResult:
        if claim.outcome is None:
            is_lost = now_ms - claim.claimed_at_ms > self._limits.in_progress_timeout_ms
            status = ClaimStatus.UNKNOWN if is_lost else ClaimStatus.IN_PROGRESS
            return ClaimResult(status, claim.holder)
        return ClaimResult(
            ClaimStatus(claim.outcome.value),
            claim.holder,
            claim.body,
            upstream=claim.upstream,
            body_dropped=claim.body_dropped,
            ran=claim.ran,
        )

    def record_outcome(self, command: RecordOutcome) -> RecordResult:
        """Record the outcome of the claim that holds the key.

        Only the first outcome is recorded; a delayed duplicate changes nothing.
        """
        scope = (command.member, command.service, command.key)
        claim = self._find_claim(scope)
        if (
            claim is None
            or not command.claim_id
            or claim.holder != command.claim_id
            or claim.outcome is not None
        ):
            return RecordResult(False)
        if command.outcome is ClaimOutcome.NOT_RUN:
            claim.freed = (*claim.freed, claim.holder)
            claim.holder = claim.instance = ""
            return RecordResult(True)
        claim.outcome = command.outcome
        claim.upstream = intern(command.upstream)
        claim.ran = command.ran or command.outcome is ClaimOutcome.ANSWERED
        if command.outcome is ClaimOutcome.ANSWERED:
            self._store_body(scope, claim, command)
        self._claims[scope] = _encode_row(scope, claim)
        return RecordResult(True)

    def _store_body(self, scope: Scope, claim: _Claim, command: RecordOutcome) -> None:
        body = command.body
        if command.body_dropped or len(body) > self._limits.body_chars:
            claim.body_dropped = True
            return
        claim.body = body
        if not body:
            return
        self._scopes_with_body.append(scope)
        self._total_body_chars += len(body)
        while self._total_body_chars > self._limits.bodies_chars:
            self._drop_body(self._scopes_with_body.popleft())

    def _drop_body(self, scope: Scope) -> None:
        claim = self._find_claim(scope)
        if claim is None:
            return
        self._total_body_chars -= len(claim.body)
        claim.body = ""
        claim.body_dropped = True
        if isinstance(self._claims[scope], bytes):
            self._claims[scope] = _encode_row(scope, claim)

    def status(
        self, member: str, service: str, key: str, now_ms: float
    ) -> ClaimStatus | None:
        """Return the status another claim of the key would get, None if it is free."""
        claim = self._find_claim((member, service, key))
        if claim is None or not claim.holder:
            return None
        return self._held_key_result(claim, now_ms).status

    def snapshot(self) -> dict[str, Any]:
        """Return the table except for its claims, as JSON values."""
        return {
            "horizon_ms": self.horizon_ms,
            "claims": len(self._claims),
            "bodies": [
                scope for scope in self._scopes_with_body if scope in self._claims
            ],
        }

    def rows(self) -> list[bytes]:
        """Return each claim as one encoded line of JSON."""
        return [
            claim_or_row
            if isinstance(claim_or_row, bytes)
            else _encode_row(scope, claim_or_row)
            for scope, claim_or_row in self._claims.items()
        ]

    def restore(self, data: dict[str, Any], rows: list[bytes]) -> None:
        """Replace the table by one that :meth:`snapshot` and :meth:`rows` returned.

        Raises:
            ValueError: If the number of rows differs from the number in ``data``.
        """
        if len(rows) != data["claims"]:
            raise ValueError(
                f"the snapshot has {len(rows)} claim rows but its header counts "
                f"{data['claims']}; it is truncated or damaged"
            )
        self.horizon_ms = data["horizon_ms"]
        self._claims = {}
        self._total_body_chars = 0
        for row in rows:
            scope, claim = _decode_row(row)
            self._total_body_chars += len(claim.body)
            self._claims[scope] = claim if claim.outcome is None else row
        self._creation_heap = [
            (key_creation_ms(scope[2]) or 0, scope) for scope in self._claims
        ]
        heapify(self._creation_heap)
        self._scopes_with_body = deque(
            (member, service, key) for member, service, key in data["bodies"]
        )

    def dump(self) -> dict[str, Any]:
        """Return counts for a state dump."""
        return {
            "claims": len(self._claims),
            "in_progress": sum(
                not isinstance(claim_or_row, bytes) and bool(claim_or_row.holder)
                for claim_or_row in self._claims.values()
            ),
            "bodies_chars": self._total_body_chars,
            "horizon_ms": self.horizon_ms,
        }
