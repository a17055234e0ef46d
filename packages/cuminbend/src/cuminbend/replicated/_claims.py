"""Claims on idempotency keys."""

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

Scope = tuple[str, str, str]


@dataclass(slots=True)
class _Claim:
    """What is known of one (member, service, key).

    Attributes:
        holder: Claim id that holds the key, or empty while it is free.
        outcome: None while the holder is in progress, or while the key is free.
        freed: Claim ids that freed the key; they never hold it again.
        refused: Claim ids that were refused. A duplicate of such a proposal that is
            committed after the key was freed must not take it: its entry instance has
            answered its caller and would never dispatch or free it.
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


_FIELDS = tuple(_Claim.__slots__)
_values = attrgetter(*_FIELDS)


def _encode(scope: Scope, claim: _Claim) -> bytes:
    return to_json((scope, _values(claim)))


def _decode(row: bytes) -> tuple[Scope, _Claim]:
    (member, service, key), values = from_json(row)
    claim = _Claim(**dict(zip(_FIELDS, values, strict=True)))
    if claim.outcome is not None:
        claim.outcome = ClaimOutcome(claim.outcome)
    claim.freed = tuple(claim.freed)
    claim.refused = tuple(claim.refused)
    return (intern(member), intern(service), key), claim


class ClaimTable:
    """All claims younger than the retention.

    ``horizon_ms`` is the greatest expiry time so far. Keys before it are refused and
    their claims dropped. It never goes back, so raising the retention does not accept
    keys whose claims were dropped under the shorter one.

    A claim with an outcome is kept as its row of the snapshot: nearly all claims have
    one, and a snapshot must not hold up the event loop of a voter for longer than an
    election timeout.
    """

    def __init__(self, *, limits: StateLimits) -> None:
        self._limits = limits
        self.horizon_ms = 0.0
        self._claims: dict[Scope, _Claim | bytes] = {}
        self._by_age: list[tuple[int, Scope]] = []
        self._bodies: deque[Scope] = deque()
        self._bodies_chars = 0

    def expire(self, horizon_ms: float) -> None:
        """Raise the horizon and drop the claims before it."""
        self.horizon_ms = max(self.horizon_ms, horizon_ms)
        while self._by_age and self._by_age[0][0] < self.horizon_ms:
            _, scope = heappop(self._by_age)
            entry = self._claims.pop(scope)
            if isinstance(entry, bytes):
                self._bodies_chars -= len(_decode(entry)[1].body)
        # Expired scopes never come back, so an old one can stay behind a younger one.
        while self._bodies and self._bodies[0] not in self._claims:
            self._bodies.popleft()

    def _get(self, scope: Scope) -> _Claim | None:
        entry = self._claims.get(scope)
        return _decode(entry)[1] if isinstance(entry, bytes) else entry

    def claim(self, command: ClaimSubmit, now_ms: float) -> ClaimResult | RefusedResult:
        """Grant the key to a claim, or say why not."""
        created_ms = key_creation_ms(command.key)
        if created_ms is None:
            return RefusedResult("the key is not a UUIDv7; send one in lower case")
        if not command.claim_id:
            return RefusedResult("the claim has no claim id; send one")
        if created_ms < self.horizon_ms:
            return ClaimResult(ClaimStatus.TOO_OLD)
        if created_ms > now_ms + self._limits.future_ms:
            return ClaimResult(ClaimStatus.FROM_FUTURE)
        # Few names stand in very many claims.
        scope = (intern(command.member), intern(command.service), command.key)
        claim = self._get(scope)
        if claim is None:
            if len(self._claims) >= self._limits.claims:
                return RefusedResult("the table of claims is full; try again later")
            claim = self._claims[scope] = _Claim(digest=command.digest)
            heappush(self._by_age, (created_ms, scope))
        return self._grant(claim, command, now_ms)

    def _grant(
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
            return self._standing(claim, now_ms)
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

    def _standing(self, claim: _Claim, now_ms: float) -> ClaimResult:
        if claim.outcome is None:
            lost = now_ms - claim.claimed_at_ms > self._limits.in_progress_ms
            status = ClaimStatus.UNKNOWN if lost else ClaimStatus.IN_PROGRESS
            return ClaimResult(status, claim.holder)
        return ClaimResult(
            ClaimStatus(claim.outcome.value),
            claim.holder,
            claim.body,
            upstream=claim.upstream,
            body_dropped=claim.body_dropped,
            ran=claim.ran,
        )

    def record(self, command: RecordOutcome) -> RecordResult:
        """Record the outcome of the claim that holds the key.

        The first outcome stands: a delayed duplicate changes nothing.
        """
        scope = (command.member, command.service, command.key)
        claim = self._get(scope)
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
            self._keep_body(scope, claim, command)
        self._claims[scope] = _encode(scope, claim)
        return RecordResult(True)

    def _keep_body(self, scope: Scope, claim: _Claim, command: RecordOutcome) -> None:
        body = command.body
        if command.body_dropped or len(body) > self._limits.body_chars:
            claim.body_dropped = True
            return
        claim.body = body
        if not body:
            return
        self._bodies.append(scope)
        self._bodies_chars += len(body)
        while self._bodies_chars > self._limits.bodies_chars:
            self._drop_body(self._bodies.popleft())

    def _drop_body(self, scope: Scope) -> None:
        claim = self._get(scope)
        if claim is None:
            return
        self._bodies_chars -= len(claim.body)
        claim.body = ""
        claim.body_dropped = True
        if isinstance(self._claims[scope], bytes):
            self._claims[scope] = _encode(scope, claim)

    def status(
        self, member: str, service: str, key: str, now_ms: float
    ) -> ClaimStatus | None:
        """Return what another claim of the key would get, or None if it is free."""
        claim = self._get((member, service, key))
        if claim is None or not claim.holder:
            return None
        return self._standing(claim, now_ms).status

    def snapshot(self) -> dict[str, Any]:
        """Return the table without its claims as JSON values."""
        return {
            "horizon_ms": self.horizon_ms,
            "claims": len(self._claims),
            "bodies": [scope for scope in self._bodies if scope in self._claims],
        }

    def rows(self) -> list[bytes]:
        """Return each claim as one line of JSON."""
        return [
            entry if isinstance(entry, bytes) else _encode(scope, entry)
            for scope, entry in self._claims.items()
        ]

    def restore(self, data: dict[str, Any], rows: list[bytes]) -> None:
        """Replace the table by one that :meth:`snapshot` and :meth:`rows` returned.

        Raises:
            ValueError: If rows are missing.
        """
        if len(rows) != data["claims"]:
            raise ValueError(f"{len(rows)} claims instead of {data['claims']}")
        self.horizon_ms = data["horizon_ms"]
        self._claims = {}
        self._bodies_chars = 0
        for row in rows:
            scope, claim = _decode(row)
            self._bodies_chars += len(claim.body)
            self._claims[scope] = claim if claim.outcome is None else row
        self._by_age = [
            (key_creation_ms(scope[2]) or 0, scope) for scope in self._claims
        ]
        heapify(self._by_age)
        self._bodies = deque((m, s, k) for m, s, k in data["bodies"])

    def dump(self) -> dict[str, Any]:
        """Return counts for a state dump."""
        return {
            "claims": len(self._claims),
            "in_progress": sum(
                not isinstance(entry, bytes) and bool(entry.holder)
                for entry in self._claims.values()
            ),
            "bodies_chars": self._bodies_chars,
            "horizon_ms": self.horizon_ms,
        }
