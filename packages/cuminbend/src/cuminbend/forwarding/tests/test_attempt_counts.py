"""Tests of the limit on the attempts of a request."""

import pytest

from cuminbend.forwarding import AttemptCounts


@pytest.mark.parametrize(
    (
        "possibly_run_count",
        "rejected_count",
        "running_count",
        "is_idempotent",
        "is_allowed",
        "is_extra",
    ),
    [
        pytest.param(0, 0, 0, True, True, False, id="first attempt"),
        pytest.param(0, 0, 1, True, True, True, id="hedge"),
        pytest.param(1, 0, 0, True, True, True, id="after a failure"),
        pytest.param(1, 0, 1, True, False, True, id="one ended, one running"),
        pytest.param(2, 0, 0, True, False, True, id="two attempts have run"),
        pytest.param(0, 2, 0, True, True, True, id="rejected twice"),
        pytest.param(0, 3, 0, True, False, True, id="rejected too often"),
        pytest.param(0, 1, 0, False, True, True, id="not idempotent, not run"),
        pytest.param(1, 0, 0, False, False, True, id="not idempotent, may have run"),
    ],
)
def test_at_most_two_attempts_may_run(
    possibly_run_count: int,
    rejected_count: int,
    running_count: int,
    is_idempotent: bool,
    is_allowed: bool,
    is_extra: bool,
) -> None:
    """Guards against a third run, and against repeating a non-idempotent request."""
    counts = AttemptCounts(
        possibly_run_count=possibly_run_count, rejected_count=rejected_count
    )
    allows_another = counts.allows_another_attempt(
        running_count=running_count, max_attempts=2, is_idempotent=is_idempotent
    )
    assert allows_another == is_allowed
    assert counts.is_extra_attempt(running_count=running_count) == is_extra
