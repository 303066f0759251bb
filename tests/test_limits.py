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

KINDS = {"read": 0.07, "write": 0.3, "call": 0.017}
SPREAD = 0.3
KNEE = 0.8


def draw_changing_fill(rng, step):
    return rng.random() if step % 2 else 1.0


def draw_full(rng, step):
    return 1.0


def play(
    finder, knee_factor, seconds=10, seed=1, start=0.0, draw_fill=draw_changing_fill
):
    """Replay requests, a quarter of them at a fifth of the speed."""
    rng = random.Random(seed)
    for step in range(int(seconds * 50)):
        fill = min(draw_fill(rng, step), finder.share)
        kind = rng.choice(sorted(KINDS))
        slowness = 500 if rng.random() < 0.25 else 100
        work = KINDS[kind] * math.exp(rng.gauss(0.0, SPREAD)) * slowness / 100
        if fill > KNEE:
            work *= knee_factor
        finder.record(kind, work, (fill, fill), slowness, start + step / 50)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("knee_factor", "expected"), [(1.7, REDUCED_SHARE), (1.0, FULL_SHARE)]
)
def test_the_kind_of_server_shows_within_seconds(knee_factor, expected, seed):
    finder = LimitFinder()
    play(finder, knee_factor, seed=seed)
    assert finder.share == expected


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("knee_factor", "expected"), [(1.7, REDUCED_SHARE), (1.0, FULL_SHARE)]
)
def test_it_shows_also_where_the_server_is_always_full(knee_factor, expected, seed):
    """Seen as a server that started into an overload and slowed down to the end."""
    finder = LimitFinder()
    play(finder, knee_factor, seed=seed, draw_fill=draw_full)
    assert finder.share == expected


@pytest.mark.parametrize(
    "utilizations", [(1.0, 0.7), (0.7, 1.0), (0.85, 0.85)], ids=str
)
def test_runs_that_were_full_for_a_part_only_decide_nothing(utilizations):
    finder = LimitFinder()
    for _ in range(10):
        finder.record("read", 0.07, (0.5, 0.5), 100, 0.0)
    for _ in range(10 * MIN_FULL_SAMPLES):
        finder.record("read", 7.0, utilizations, 100, 0.0)
    assert finder.share == FULL_SHARE


def test_it_looks_again_after_a_while():
    finder = LimitFinder()
    play(finder, 1.7)
    assert finder.share == REDUCED_SHARE
    play(finder, 1.0, seed=2, start=100.0 + DECISION_SECONDS)
    assert finder.share == FULL_SHARE


def test_few_slow_answers_decide_nothing():
    finder = LimitFinder()
    for _ in range(10):
        finder.record("read", 0.07, (0.5, 0.5), 100, 0.0)
    for _ in range(MIN_FULL_SAMPLES - 1):
        finder.record("read", 7.0, (1.0, 1.0), 100, 0.0)
    assert finder.share == FULL_SHARE
