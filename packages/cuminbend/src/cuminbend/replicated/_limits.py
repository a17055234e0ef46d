"""Bounds of the state machine."""

from dataclasses import dataclass

__all__ = ["StateLimits"]


@dataclass(frozen=True, slots=True)
class StateLimits:
    """Bounds of tables and times.

    They are part of the state machine: all voters need the same values, so the daemon
    uses the defaults and offers no setting. Tests use smaller ones.

    Attributes:
        verdicts: Applies whose verdict is kept for a resend.
        summaries: Versions listed in the history.
        past_texts: Versions whose text is kept.
        problems: Problems kept per refused file; each resend returns them.
        future_ms: How far a key may be ahead, for the clock error of callers.
        in_progress_ms: Age from which a claim without an outcome answers ``unknown``
            to others. Longer than the request budget (2000) plus a lease (3000), so
            that its holder can no longer be waiting for the reply.
        claims: Claims kept. A claim in excess is refused, because dropping a claim
            before its key expires would let the key run again. A claim takes about
            0.8 KB, so a full table stays below the 256 MB that a node has for control.
        freed_ids: Times a key can be freed; each freed claim id is kept until the
            key expires, so the count needs a bound.
        refused_ids: Refused claim ids kept per key, oldest dropped first.
        body_chars: Length of a recorded reply that is kept.
        bodies_chars: Length of all recorded replies together, oldest dropped first.
        suspects: Suspects and quarantined fingerprints kept, oldest dropped first.
        suspect_run_ms: Age from which an unresolved run of a suspect counts as a
            crash. Longer than budget plus lease, like ``in_progress_ms``.
    """

    verdicts: int = 10_000
    summaries: int = 200
    past_texts: int = 20
    problems: int = 20
    future_ms: int = 60_000
    in_progress_ms: int = 10_000
    claims: int = 200_000
    freed_ids: int = 64
    refused_ids: int = 16
    body_chars: int = 16 * 1024
    bodies_chars: int = 32 * 1024 * 1024
    suspects: int = 10_000
    suspect_run_ms: int = 10_000
