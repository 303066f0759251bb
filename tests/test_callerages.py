"""Tests of godwitrack_node.callerages: callers that come back."""

import random

import pytest

from godwitrack_node.callerages import PERIOD_SECONDS, CallerAges

ROUTE = "scenes"
TOTAL_SECONDS = 2.0


def test_a_caller_that_comes_back_shows_by_the_time_left(clock):
    ages = CallerAges(clock)
    assert ages.estimate(ROUTE, TOTAL_SECONDS) == 0.0
    assert ages.estimate(ROUTE, 1.6) == pytest.approx(0.4)
    assert ages.estimate("other", 1.6) == 0.0


@pytest.mark.parametrize("seed", range(5))
def test_most_callers_may_have_come_back(clock, seed):
    """A burst: three of four requests come for a further time."""
    rng, ages = random.Random(seed), CallerAges(clock)
    ages.estimate(ROUTE, TOTAL_SECONDS)
    for step in range(2000):
        clock.advance(0.01)
        left = rng.uniform(0.1, 1.9) if step % 4 else TOTAL_SECONDS
        age = ages.estimate(ROUTE, left)
        # The first few requests may look like callers with times of their own.
        assert step < 100 or age == pytest.approx(TOTAL_SECONDS - left)


@pytest.mark.parametrize("seed", range(5))
def test_callers_with_unlike_times_are_not_taken_for_late(clock, seed):
    rng, ages = random.Random(seed), CallerAges(clock)
    found = [ages.estimate(ROUTE, rng.uniform(0.5, 3.0)) for _ in range(500)]
    assert found[50:] == [0.0] * 450


def test_a_longer_time_of_the_past_is_forgotten(clock):
    ages = CallerAges(clock)
    for _ in range(10):
        ages.estimate(ROUTE, 10.0)
    for _ in range(30):
        clock.advance(PERIOD_SECONDS / 10)
        ages.estimate(ROUTE, TOTAL_SECONDS)
    assert ages.estimate(ROUTE, TOTAL_SECONDS) == 0.0
