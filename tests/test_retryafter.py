"""Tests of godwitrack_node.retryafter: callers that are refused together."""

import random

import pytest

from godwitrack_node.retryafter import MAX_REMAINING_SHARE, RetryAfterChooser

# Seconds within which a caller has to retry to meet its objective.
SOME_TIME, NO_TIME = 0.4, 0.0


@pytest.mark.parametrize("spare", [SOME_TIME, NO_TIME])
@pytest.mark.parametrize("remaining", [0.0, 0.1, 0.5, 2.0])
def test_the_time_is_at_most_a_share_of_the_remaining_time(remaining, spare):
    chooser = RetryAfterChooser(random.Random(1))
    for _ in range(100):
        seconds = chooser.choose(remaining, spare)
        assert 0.0 <= seconds <= max(remaining, 0.0) * MAX_REMAINING_SHARE


@pytest.mark.parametrize(("spare", "most"), [(SOME_TIME, 35), (NO_TIME, 25)])
def test_callers_refused_together_retry_at_different_times(spare, most):
    chooser = RetryAfterChooser(random.Random(1))
    times = sorted(chooser.choose(3.0, spare) for _ in range(100))
    busiest = max(sum(start <= t < start + 0.05 for t in times) for start in times)
    assert busiest <= most


def test_late_callers_retry_when_the_burst_may_be_over():
    """Guards against callers that use up all retries within a burst of seconds."""
    chooser = RetryAfterChooser(random.Random(1))
    remaining = 3.0
    times = [chooser.choose(remaining, NO_TIME) for _ in range(100)]
    half = remaining * MAX_REMAINING_SHARE / 2
    assert sum(seconds > half for seconds in times) > 35
    assert min(times) < half
