"""Tests of godwitrack_node.warmuprate: cold servers and requests that arrive late."""

import pytest

from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from godwitrack_node.warmuprate import WarmupRateLimiter

COLD_RATE = 37.0


def make_started(started_at, ended_at):
    request = HostedAdmissionRequest(1, 1.0, started_at + 5.0)
    request.started_at, request.ended_at = started_at, ended_at
    return request


@pytest.mark.parametrize("seconds", [1, 5])
def test_a_cold_server_gets_no_more_than_it_bears_in_any_second(seconds):
    limiter, starts, now = WarmupRateLimiter(), [], 100.0
    while now < 100.0 + seconds:
        if limiter.allows(COLD_RATE, now):
            limiter.record_start(make_started(now, now))
            starts.append(now)
        now += 0.001
    for start in starts:
        assert sum(start <= moment < start + 1.0 for moment in starts) <= COLD_RATE
    assert len(starts) >= 0.8 * COLD_RATE * seconds


@pytest.mark.parametrize(
    ("ended_at", "now", "allowed"),
    [
        (100.3, 101.29, False),
        (100.3, 101.3, True),
        # One that runs for long has arrived long before its end.
        (102.0, 101.4, False),
        (102.0, 101.5, True),
        (None, 101.4, False),
        (None, 101.5, True),
    ],
)
def test_a_slow_arrival_counts_for_a_second_after_it(ended_at, now, allowed):
    """Seen as 22 arrivals in a second at a cold server that bears 20, on a busy VM."""
    limiter = WarmupRateLimiter()
    limiter.record_start(make_started(100.0, ended_at))
    assert limiter.allows(1.0, now) is allowed


@pytest.mark.parametrize(
    ("starts", "ahead", "now", "wait"),
    [
        ((100.0, 100.1), 0, 100.2, 0.0),
        ((100.0, 100.1), 1, 100.2, 0.8),
        ((100.0, 100.1, 100.2), 0, 100.2, 0.8),
        ((100.0, 100.1, 100.2), 1, 100.2, 0.9),
        ((100.0, 100.1, 100.2), 2, 101.05, 0.15),
        ((100.0, 100.1, 100.2), 3, 100.2, 1.0 + 1 / 3),
        ((), 2, 100.0, 0.0),
        ((), 3, 100.0, 1 / 3),
    ],
)
def test_the_wait_of_the_next_is_until_earlier_ones_leave_the_window(
    starts, ahead, now, wait
):
    limiter = WarmupRateLimiter()
    for start in starts:
        limiter.record_start(make_started(start, start))
    assert limiter.compute_wait(3.0, ahead, now) == pytest.approx(wait)


def test_nothing_starts_while_it_is_held():
    limiter = WarmupRateLimiter()
    limiter.hold(100.5)
    assert limiter.compute_wait(3.0, 0, 100.2) == pytest.approx(0.3)
