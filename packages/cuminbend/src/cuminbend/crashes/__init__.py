"""Requests that crash the upstreams that run them."""

from cuminbend.crashes._attempts import allows_another_attempt
from cuminbend.crashes._fingerprints import compute_fingerprint
from cuminbend.crashes._suspects import (
    AnsweredRequest,
    CrashReport,
    CrashSettings,
    CrashSuspects,
)
from cuminbend.crashes._table import Crash, CrashHistory, CrashTable, Verdict

__all__ = [
    "AnsweredRequest",
    "Crash",
    "CrashHistory",
    "CrashReport",
    "CrashSettings",
    "CrashSuspects",
    "CrashTable",
    "Verdict",
    "allows_another_attempt",
    "compute_fingerprint",
]
