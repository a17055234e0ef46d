"""Tests of the request counts per member."""

import pytest

from cuminbend.accounts import LATENCY_BOUNDS_MS, MemberAccounts
from cuminbend.exceptions import (
    OverloadedError,
    RunState,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import WorkKind

MEMBER_AND_SERVICE = {"member": "coulisse", "service": "hire-desk"}


def single_report(accounts):
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
def test_latency_bucket_and_deadline(latency_ms, late, bucket):
    # Guards against an answer counted in the wrong bucket or on the wrong side of its
    # deadline.
    accounts = MemberAccounts()
    accounts.count_search(
        **MEMBER_AND_SERVICE, latency_ms=latency_ms, deadline_ms=300, coverage=1
    )
    accounts.count_submit(**MEMBER_AND_SERVICE, latency_ms=latency_ms, deadline_ms=300)
    total = single_report(accounts).total
    assert (total.answers_in_time, total.answers_late) == (2 - 2 * late, 2 * late)
    assert total.latency_ms.counts[bucket] == total.latency_ms.count == 2
    assert len(total.latency_ms.counts) == len(LATENCY_BOUNDS_MS) + 1
    assert total.latency_ms.total == 2 * latency_ms


@pytest.mark.parametrize("coverage", [0.0, 0.98, 0.9990, 99_999 / 100_000])
def test_partial_coverage_never_counts_as_full(coverage):
    # Guards against a histogram in which an answer without one of many shards counts
    # as complete.
    accounts = MemberAccounts()
    accounts.count_search(
        **MEMBER_AND_SERVICE, latency_ms=1, deadline_ms=1, coverage=coverage
    )
    counts = single_report(accounts).total.coverage.counts
    assert (sum(counts), counts[-2:]) == (1, (0, 0))
    accounts.count_search(
        **MEMBER_AND_SERVICE, latency_ms=1, deadline_ms=1, coverage=1.0
    )
    assert single_report(accounts).total.coverage.counts[-2:] == (1, 0)


def test_submits_have_no_coverage():
    # Guards against submits that raise the coverage reported for a member.
    accounts = MemberAccounts()
    accounts.count_submit(
        **MEMBER_AND_SERVICE, latency_ms=1, deadline_ms=1, replayed=True
    )
    total = single_report(accounts).total
    assert (total.replays, total.coverage.count) == (1, 0)


def test_extra_load_counts_hedges_and_retries_only():
    # Guards against canaries or submits that are counted as load caused by hedging.
    accounts = MemberAccounts()
    assert accounts.report() == ()
    for kind in [*WorkKind, WorkKind.SEARCH]:
        accounts.count_attempt(**MEMBER_AND_SERVICE, kind=kind)
    total = single_report(accounts).total
    assert (total.first_attempts, total.hedges, total.retries) == (5, 1, 1)
    assert total.extra_load == 2 / 5


def test_failures_are_counted_by_kind_and_run_state():
    # Guards against failures of different kinds or run states counted together.
    accounts = MemberAccounts()
    reset = {"kind": UpstreamErrorKind.RESET}
    for error in (
        OverloadedError("full"),
        OverloadedError("full"),
        UpstreamError("reset", **reset, run_state=RunState.UNKNOWN),
        UpstreamError("reset", **reset, run_state=RunState.RAN),
    ):
        accounts.count_failure(**MEMBER_AND_SERVICE, error=error)
    refusals = single_report(accounts).total.refusals
    assert [
        (refusal.kind, refusal.run_state, refusal.count) for refusal in refusals
    ] == [
        ("OverloadedError", "not_run", 2),
        ("UpstreamError.reset", "ran", 1),
        ("UpstreamError.reset", "unknown", 1),
    ]


def test_borrowed_and_lent_slot_time_add_up():
    # Guards against lent slot time that is not counted as borrowed by any member.
    accounts = MemberAccounts()
    for lender in (None, "coulisse", "tresscommon"):
        accounts.count_slot_time(**MEMBER_AND_SERVICE, slot_ms=5, lender=lender)
    accounts.count_slot_time(member="coulisse", service="fitroom", slot_ms=1)
    coulisse, tresscommon = accounts.report()
    assert (coulisse.total.slot_ms, coulisse.total.borrowed_slot_ms) == (16, 5)
    assert (tresscommon.total.slot_ms, tresscommon.total.lent_slot_ms) == (0, 5)
    assert [(report.service, report.slot_ms) for report in coulisse.services] == [
        ("fitroom", 1),
        ("hire-desk", 15),
    ]


def test_number_of_rows_is_limited():
    # Guards against unbounded memory when callers send names that do not exist.
    accounts = MemberAccounts(max_rows=3)
    for number in range(100):
        accounts.count_failure(
            member=f"m{number}", service="s", error=OverloadedError("full")
        )
    reports = accounts.report()
    assert [report.member for report in reports] == ["(other)", "m0", "m1", "m2"]
    assert sum(report.total.refusals[0].count for report in reports) == 100
