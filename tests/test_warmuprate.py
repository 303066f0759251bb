"""Tests of godwitrack_node.warmuprate: rates of cold servers, delayed arrivals."""

import pytest

from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from godwitrack_node.warmuprate import WarmupRateLimiter

COLD_RATE = 37.0


def make_started_request(started_at, ended_at):
    request = HostedAdmissionRequest(1, 1.0, started_at + 5.0)
    request.started_at, request.ended_at = started_at, ended_at
    return request


@pytest.mark.parametrize("seconds", [1, 5])
def test_a_cold_server_gets_at_most_its_rate_in_any_second(seconds):
    limiter, starts, now = WarmupRateLimiter(), [], 100.0
    while now < 100.0 + seconds:
        if limiter.allows(COLD_RATE, now):
            limiter.record_start(make_started_request(now, now))
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
        # A request that runs for long arrived well before its end.
        (102.0, 101.4, False),
        (102.0, 101.5, True),
        (None, 101.4, False),
        (None, 101.5, True),
    ],
)
def test_a_request_counts_for_a_second_after_its_latest_arrival(ended_at, now, allowed):
    """Guards against 22 arrivals in a second at a cold server that takes 20.

    This happened on a busy VM, where requests reached the server after a delay.
    """
    limiter = WarmupRateLimiter()
    limiter.record_start(make_started_request(100.0, ended_at))
    assert limiter.allows(1.0, now) is allowed


@pytest.mark.parametrize(
    ("starts", "ahead", "now", "expected"),
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
def test_the_wait_ends_when_earlier_requests_leave_the_window(
    starts, ahead, now, expected
):
    limiter = WarmupRateLimiter()
    for start in starts:
        limiter.record_start(make_started_request(start, start))
    assert limiter.compute_wait(3.0, ahead, now) == pytest.approx(expected)


def test_the_wait_lasts_at_least_until_the_hold_ends():
    limiter = WarmupRateLimiter()
    limiter.hold(100.5)
    assert limiter.compute_wait(3.0, 0, 100.2) == pytest.approx(0.3)
