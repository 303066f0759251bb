"""Tests of godwitrack_node.returning: the load of callers refused together."""

import random

import pytest

from godwitrack_node.returning import MAX_SHARE_OF_TIME_LEFT, ReturnTimer


@pytest.mark.parametrize("left", [0.0, 0.1, 0.5, 2.0])
def test_callers_can_heed_the_time(left):
    timer = ReturnTimer(random.Random(1))
    for _ in range(100):
        assert 0.0 <= timer.choose(left) <= max(left, 0.0) * MAX_SHARE_OF_TIME_LEFT


def test_callers_refused_together_return_apart():
    timer = ReturnTimer(random.Random(1))
    times = sorted(timer.choose(3.0) for _ in range(100))
    busiest = max(sum(start <= t < start + 0.05 for t in times) for start in times)
    assert busiest <= 35
