"""Tests of how often a request may be sent."""

import pytest

from cuminbend.forwarding import AttemptCounts


@pytest.mark.parametrize(
    (
        "possibly_run_count",
        "rejected_count",
        "running_count",
        "is_idempotent",
        "allowed",
        "is_extra",
    ),
    [
        pytest.param(0, 0, 0, True, True, False, id="the first"),
        pytest.param(0, 0, 1, True, True, True, id="a hedge"),
        pytest.param(1, 0, 0, True, True, True, id="after a failure"),
        pytest.param(1, 0, 1, True, False, True, id="both are used"),
        pytest.param(2, 0, 0, True, False, True, id="both have run"),
        pytest.param(0, 2, 0, True, True, True, id="rejected twice"),
        pytest.param(0, 3, 0, True, False, True, id="rejected too often"),
        pytest.param(0, 1, 0, False, True, True, id="not repeatable, not run"),
        pytest.param(1, 0, 0, False, False, True, id="not repeatable, may have run"),
    ],
)
def test_limits_of_two_attempts(
    possibly_run_count: int,
    rejected_count: int,
    running_count: int,
    is_idempotent: bool,
    allowed: bool,
    is_extra: bool,
) -> None:
    """Guards against a third run, and against a second one of what must not repeat."""
    counts = AttemptCounts(
        possibly_run_count=possibly_run_count, rejected_count=rejected_count
    )
    found = counts.allows_another_attempt(
        running_count=running_count, max_attempts=2, is_idempotent=is_idempotent
    )
    assert found == allowed
    assert counts.is_extra_attempt(running_count=running_count) == is_extra
