"""Tests of godwitrack_node.limits: bursts that fill two kinds of backend servers."""

import math
import random

import pytest

from godwitrack_node.limits import (
    DECISION_SECONDS,
    FULL_SHARE,
    MIN_FULL_SAMPLES,
    REDUCED_SHARE,
    LimitFinder,
)

USUAL_SECONDS = {"read": 0.07, "write": 0.3, "call": 0.017}
# Standard deviation of the logarithm of run times.
SPREAD = 0.3
SLOWDOWN_UTILIZATION = 0.8


def draw_changing_utilization(rng, step):
    return rng.random() if step % 2 else 1.0


def draw_full(rng, step):
    return 1.0


def play(
    finder,
    slowdown,
    seconds=10,
    seed=1,
    start=0.0,
    draw_utilization=draw_changing_utilization,
):
    """Record runs in a LimitFinder, a quarter of them at a fifth of the speed."""
    rng = random.Random(seed)
    for step in range(int(seconds * 50)):
        utilization = min(draw_utilization(rng, step), finder.share)
        kind = rng.choice(sorted(USUAL_SECONDS))
        slowness = 500 if rng.random() < 0.25 else 100
        work = USUAL_SECONDS[kind] * math.exp(rng.gauss(0.0, SPREAD)) * slowness / 100
        if utilization > SLOWDOWN_UTILIZATION:
            work *= slowdown
        finder.record(
            kind, work, (utilization, utilization), slowness, start + step / 50
        )


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("slowdown", "expected"), [(1.7, REDUCED_SHARE), (1.0, FULL_SHARE)]
)
def test_the_better_limit_is_found_within_seconds(slowdown, expected, seed):
    finder = LimitFinder()
    play(finder, slowdown, seed=seed)
    assert finder.share == expected


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("slowdown", "expected"), [(1.7, REDUCED_SHARE), (1.0, FULL_SHARE)]
)
def test_the_better_limit_is_found_at_a_server_that_is_always_full(
    slowdown, expected, seed
):
    """Guards against a server that stays slow as it is overloaded from its start."""
    finder = LimitFinder()
    play(finder, slowdown, seed=seed, draw_utilization=draw_full)
    assert finder.share == expected


@pytest.mark.parametrize(
    "utilizations", [(1.0, 0.7), (0.7, 1.0), (0.85, 0.85)], ids=str
)
def test_runs_at_a_partly_full_server_decide_nothing(utilizations):
    finder = LimitFinder()
    for _ in range(10):
        finder.record("read", 0.07, (0.5, 0.5), 100, 0.0)
    for _ in range(10 * MIN_FULL_SAMPLES):
        finder.record("read", 7.0, utilizations, 100, 0.0)
    assert finder.share == FULL_SHARE


def test_a_decision_expires():
    finder = LimitFinder()
    play(finder, 1.7)
    assert finder.share == REDUCED_SHARE
    play(finder, 1.0, seed=2, start=100.0 + DECISION_SECONDS)
    assert finder.share == FULL_SHARE


def test_too_few_slow_runs_decide_nothing():
    finder = LimitFinder()
    for _ in range(10):
        finder.record("read", 0.07, (0.5, 0.5), 100, 0.0)
    for _ in range(MIN_FULL_SAMPLES - 1):
        finder.record("read", 7.0, (1.0, 1.0), 100, 0.0)
    assert finder.share == FULL_SHARE
