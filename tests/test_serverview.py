"""Tests of what an entry knows of a server's load, used by many threads."""

import sys
import threading

import pytest

from godwitrack_node.directory import ServerRecord, ServerState
from godwitrack_node.serverview import ServerView

THREADS = 8
ROUNDS = 3000
SWITCH_SECONDS = 1e-6


@pytest.fixture
def view():
    record = ServerRecord(
        "server-1", "s", "r", "d", "10.0.0.1:1", 13, ServerState.WARM, 1, 1
    )
    return ServerView(record)


@pytest.fixture
def many_switches():
    before = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_SECONDS)
    yield
    sys.setswitchinterval(before)


def test_many_threads_count_right(view, many_switches):
    """Requests that end at the same time neither fail nor get lost."""
    errors = []

    def use():
        try:
            for number in range(ROUNDS):
                now = float(number)
                view.record_sent(now)
                view.estimate_latency(now)
                view.estimate_use(now)
                view.record_answer(0.5, now + 0.5)
        except Exception as error:
            errors.append(error)

    threads = [threading.Thread(target=use) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert errors == []
    assert view.in_flight == 0
    assert len(view.sent_at) == 0


def test_the_latency_is_at_least_the_age_of_the_older_half(view):
    for moment in (0.0, 1.0, 2.0, 3.0):
        view.record_sent(moment)
    assert view.estimate_latency(5.0) >= 3.0
    view.record_refusal(0.0)
    view.record_refusal(1.0)
    assert view.estimate_latency(5.0) < 3.0
