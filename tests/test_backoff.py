"""Tests of godwitrack_node.backoff."""

import random

import pytest

from godwitrack_node.backoff import (
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    Backoff,
)


class FixedRandom:
    """Gives the same number always."""

    def __init__(self, value):
        self._value = value

    def random(self):
        return self._value


@pytest.mark.parametrize(
    ("value", "factor"), [(0.0, 0.5), (0.5, 1.0), (0.99, 1.49)], ids=str
)
def test_pauses_double_up_to_a_limit(value, factor):
    pause = Backoff(FixedRandom(value))
    drawn = [pause.draw() for _ in range(6)]
    seconds = [FIRST_PAUSE_SECONDS * 2**number for number in range(4)]
    seconds += [MAX_PAUSE_SECONDS, MAX_PAUSE_SECONDS]
    assert drawn == pytest.approx([factor * item for item in seconds])


def test_a_try_that_worked_begins_anew():
    pause = Backoff(FixedRandom(0.5))
    for _ in range(5):
        pause.draw()
    pause.reset()
    assert pause.draw() == pytest.approx(FIRST_PAUSE_SECONDS)


def test_nodes_do_not_come_together():
    drawn = {Backoff(random.Random(seed)).draw() for seed in range(20)}
    assert len(drawn) == 20
