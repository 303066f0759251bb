"""Tests of godwitrack_node.retryafter: the load of callers refused together."""

import random

import pytest

from godwitrack_node.retryafter import MAX_SHARE_OF_TIME_LEFT, RetryAfterChooser

# Seconds until a caller has to be back for an answer in time; none are left to LATE.
IN_TIME, LATE = 0.4, 0.0


@pytest.mark.parametrize("spare", [IN_TIME, LATE])
@pytest.mark.parametrize("left", [0.0, 0.1, 0.5, 2.0])
def test_callers_can_heed_the_time(left, spare):
    timer = RetryAfterChooser(random.Random(1))
    for _ in range(100):
        seconds = timer.choose(left, spare)
        assert 0.0 <= seconds <= max(left, 0.0) * MAX_SHARE_OF_TIME_LEFT


@pytest.mark.parametrize(("spare", "most"), [(IN_TIME, 35), (LATE, 25)])
def test_callers_refused_together_return_apart(spare, most):
    timer = RetryAfterChooser(random.Random(1))
    times = sorted(timer.choose(3.0, spare) for _ in range(100))
    busiest = max(sum(start <= t < start + 0.05 for t in times) for start in times)
    assert busiest <= most


def test_late_callers_return_when_the_burst_may_be_over():
    """Seen as callers that used up all of their tries within a burst of seconds."""
    timer = RetryAfterChooser(random.Random(1))
    left = 3.0
    times = [timer.choose(left, LATE) for _ in range(100)]
    half = left * MAX_SHARE_OF_TIME_LEFT / 2
    assert sum(seconds > half for seconds in times) > 35
    assert min(times) < half
