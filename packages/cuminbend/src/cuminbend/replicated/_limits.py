"""Limits of the state machine."""

from dataclasses import dataclass

__all__ = ["StateLimits"]


@dataclass(frozen=True, slots=True)
class StateLimits:
    """Limits on the sizes of tables and on times.

    The limits are part of the state machine: all voters need the same values, so the
    daemon uses the defaults and has no setting for them. Tests use smaller values.

    Attributes:
        apply_results: Number of applies whose result is kept for resends.
        summaries: Number of versions listed in the history.
        texts: Number of versions whose text is kept.
        problems: Number of problems kept per refused file, which each resend returns.
        max_clock_skew_ms: How far the creation time of a key may be in the future,
            because the clocks of callers differ.
        in_progress_timeout_ms: Age from which other claims of a key get ``unknown``
            while the holder has no outcome. Longer than the request budget (2000 ms)
            plus the lease (3000 ms), so that the holder cannot still wait for the
            reply.
        claims: Number of claims kept. Further claims are refused, because dropping
            a claim before its key expires would let the submit run again. A claim
            takes about 0.8 KB, so a full table stays below the 256 MB of memory that
            an instance has for control.
        freed_ids: How often a key can be freed. Each freed claim id is kept until
            the key expires, so their number needs a limit.
        refused_ids: Number of refused claim ids kept per key; the oldest is dropped
            first.
        body_chars: Greatest length of a recorded reply that is kept.
        bodies_chars: Greatest total length of all recorded replies; the oldest
            is dropped first.
        suspects: Number of suspects and quarantined fingerprints kept; the oldest is
            dropped first.
        suspect_run_timeout_ms: Age from which an unresolved run of a suspect counts as
            a crash. Longer than request budget plus lease, like
            ``in_progress_timeout_ms``.
    """

    apply_results: int = 10_000
    summaries: int = 200
    texts: int = 20
    problems: int = 20
    max_clock_skew_ms: int = 60_000
    in_progress_timeout_ms: int = 10_000
    claims: int = 200_000
    freed_ids: int = 64
    refused_ids: int = 16
    body_chars: int = 16 * 1024
    bodies_chars: int = 32 * 1024 * 1024
    suspects: int = 10_000
    suspect_run_timeout_ms: int = 10_000
