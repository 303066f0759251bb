"""Tests of godwitrack_node.backoff: growing pauses with a random spread."""

import random

import pytest

from godwitrack_node.backoff import (
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    Backoff,
)


class FixedRandom:
    """Random number generator that always returns the same number."""

    def __init__(self, value):
        self._value = value

    def random(self):
        return self._value


@pytest.mark.parametrize(
    ("value", "factor"), [(0.0, 0.5), (0.5, 1.0), (0.99, 1.49)], ids=str
)
def test_pauses_double_up_to_a_limit(value, factor):
    backoff = Backoff(FixedRandom(value))
    pauses = [backoff.draw() for _ in range(6)]
    seconds = [FIRST_PAUSE_SECONDS * 2**number for number in range(4)]
    seconds += [MAX_PAUSE_SECONDS, MAX_PAUSE_SECONDS]
    assert pauses == pytest.approx([factor * item for item in seconds])


def test_reset_starts_again_with_the_first_pause():
    backoff = Backoff(FixedRandom(0.5))
    for _ in range(5):
        backoff.draw()
    backoff.reset()
    assert backoff.draw() == pytest.approx(FIRST_PAUSE_SECONDS)


def test_nodes_retry_at_different_times():
    pauses = {Backoff(random.Random(seed)).draw() for seed in range(20)}
    assert len(pauses) == 20
