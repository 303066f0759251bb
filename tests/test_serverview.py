"""Tests of godwitrack_node.serverview, which many threads use at once."""

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
def frequent_switches():
    before = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_SECONDS)
    yield
    sys.setswitchinterval(before)


def test_concurrent_updates_keep_counts_right(view, frequent_switches):
    """Requests that end at the same time raise no error and are all counted."""
    errors = []

    def update():
        try:
            for number in range(ROUNDS):
                now = float(number)
                view.record_sent(now)
                view.estimate_latency(now)
                view.estimate_utilization(now)
                view.record_answer(0.5, now + 0.5)
        except Exception as error:
            errors.append(error)

    threads = [threading.Thread(target=update) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert errors == []
    assert view.in_flight == 0
    assert len(view.sent_times) == 0


def test_expected_latency_is_at_least_the_median_age_in_flight(view):
    for moment in (0.0, 1.0, 2.0, 3.0):
        view.record_sent(moment)
    assert view.estimate_latency(5.0) >= 3.0
    view.record_refusal(0.0)
    view.record_refusal(1.0)
    assert view.estimate_latency(5.0) < 3.0
