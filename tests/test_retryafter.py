"""Tests of godwitrack_node.retryafter: the load of callers refused together."""

import random

import pytest

from godwitrack_node.retryafter import MAX_REMAINING_SHARE, RetryAfterChooser

# Seconds until a caller has to be back for an answer in time; none are left to LATE.
IN_TIME, LATE = 0.4, 0.0


@pytest.mark.parametrize("spare", [IN_TIME, LATE])
@pytest.mark.parametrize("remaining", [0.0, 0.1, 0.5, 2.0])
def test_callers_can_heed_the_time(remaining, spare):
    chooser = RetryAfterChooser(random.Random(1))
    for _ in range(100):
        seconds = chooser.choose(remaining, spare)
        assert 0.0 <= seconds <= max(remaining, 0.0) * MAX_REMAINING_SHARE


@pytest.mark.parametrize(("spare", "most"), [(IN_TIME, 35), (LATE, 25)])
def test_callers_refused_together_return_apart(spare, most):
    chooser = RetryAfterChooser(random.Random(1))
    times = sorted(chooser.choose(3.0, spare) for _ in range(100))
    busiest = max(sum(start <= t < start + 0.05 for t in times) for start in times)
    assert busiest <= most


def test_late_callers_return_when_the_burst_may_be_over():
    """Seen as callers that used up all of their tries within a burst of seconds."""
    chooser = RetryAfterChooser(random.Random(1))
    remaining = 3.0
    times = [chooser.choose(remaining, LATE) for _ in range(100)]
    half = remaining * MAX_REMAINING_SHARE / 2
    assert sum(seconds > half for seconds in times) > 35
    assert min(times) < half
