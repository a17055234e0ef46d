"""Tests of the counts per member."""

import pytest

from cuminbend.accounts import LATENCY_BOUNDS_MS, MemberAccounts
from cuminbend.exceptions import (
    OverloadedError,
    RunState,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import WorkKind

AT = {"member": "coulisse", "service": "hire-desk"}


def only_report(accounts):
    (report,) = accounts.report()
    return report


@pytest.mark.parametrize(
    ("latency_ms", "late", "bucket"),
    [
        (0.0, 0, 0),
        (1.0, 0, 0),
        (1.1, 0, 1),
        (300.0, 0, 12),
        (300.1, 1, 13),
        (9e9, 1, 19),
    ],
)
def test_latency(latency_ms, late, bucket):
    # Guards against an answer counted in the wrong bucket or on the wrong side of its
    # deadline.
    accounts = MemberAccounts()
    accounts.count_search(**AT, latency_ms=latency_ms, deadline_ms=300, coverage=1)
    accounts.count_submit(**AT, latency_ms=latency_ms, deadline_ms=300)
    total = only_report(accounts).total
    assert (total.answers_in_time, total.answers_late) == (2 - 2 * late, 2 * late)
    assert total.latency_ms.counts[bucket] == total.latency_ms.count == 2
    assert len(total.latency_ms.counts) == len(LATENCY_BOUNDS_MS) + 1
    assert total.latency_ms.total == 2 * latency_ms


@pytest.mark.parametrize("coverage", [0.0, 0.98, 0.9990, 99_999 / 100_000])
def test_partial_coverage_never_counts_as_full(coverage):
    # Guards against a histogram that shows one missing shard of many as none.
    accounts = MemberAccounts()
    accounts.count_search(**AT, latency_ms=1, deadline_ms=1, coverage=coverage)
    counts = only_report(accounts).total.coverage.counts
    assert (sum(counts), counts[-2:]) == (1, (0, 0))
    accounts.count_search(**AT, latency_ms=1, deadline_ms=1, coverage=1.0)
    assert only_report(accounts).total.coverage.counts[-2:] == (1, 0)


def test_submits_have_no_coverage():
    # Guards against submits that raise the coverage a member is shown.
    accounts = MemberAccounts()
    accounts.count_submit(**AT, latency_ms=1, deadline_ms=1, replayed=True)
    total = only_report(accounts).total
    assert (total.replays, total.coverage.count) == (1, 0)


def test_extra_load_counts_hedges_and_retries_only():
    # Guards against canaries or submits that look like load caused by hedging.
    accounts = MemberAccounts()
    assert accounts.report() == ()
    for kind in [*WorkKind, WorkKind.SEARCH]:
        accounts.count_attempt(**AT, kind=kind)
    total = only_report(accounts).total
    assert (total.first_attempts, total.hedges, total.retries) == (5, 1, 1)
    assert total.extra_load == 2 / 5


def test_refusals_by_kind_and_run_state():
    # Guards against failures of different kinds or run states in one count.
    accounts = MemberAccounts()
    reset = {"kind": UpstreamErrorKind.RESET}
    for error in (
        OverloadedError("full"),
        OverloadedError("full"),
        UpstreamError("reset", **reset, run_state=RunState.UNKNOWN),
        UpstreamError("reset", **reset, run_state=RunState.RAN),
    ):
        accounts.count_failure(**AT, error=error)
    refusals = only_report(accounts).total.refusals
    assert [(item.kind, item.run_state, item.count) for item in refusals] == [
        ("OverloadedError", "not_run", 2),
        ("UpstreamError.reset", "ran", 1),
        ("UpstreamError.reset", "unknown", 1),
    ]


def test_shares_used_and_lent_add_up():
    # Guards against lent time that no member is shown to have borrowed.
    accounts = MemberAccounts()
    for lender in (None, "coulisse", "tresscommon"):
        accounts.slot_used(**AT, slot_ms=5, lender=lender)
    accounts.slot_used(member="coulisse", service="fitroom", slot_ms=1)
    coulisse, tresscommon = accounts.report()
    assert (coulisse.total.slot_ms, coulisse.total.borrowed_slot_ms) == (16, 5)
    assert (tresscommon.total.slot_ms, tresscommon.total.lent_slot_ms) == (0, 5)
    assert [(item.service, item.slot_ms) for item in coulisse.services] == [
        ("fitroom", 1),
        ("hire-desk", 15),
    ]


def test_rows_are_bounded():
    # Guards against memory that callers fill with names that do not exist.
    accounts = MemberAccounts(max_rows=3)
    for number in range(100):
        accounts.count_failure(
            member=f"m{number}", service="s", error=OverloadedError("full")
        )
    reports = accounts.report()
    assert [report.member for report in reports] == ["(other)", "m0", "m1", "m2"]
    assert sum(report.total.refusals[0].count for report in reports) == 100
