"""Tests of godwitrack_node.refusedcallers: retries of refused callers."""

import pytest

from godwitrack_node.refusedcallers import MAX_CALLERS, CallerKey, RefusedCallers

REMOTE, HOST = "10.0.0.1", "a.example"


def make_key(target="/scenes/7", remote=REMOTE, method="GET"):
    return CallerKey(remote, method, HOST, target)


@pytest.mark.parametrize(
    ("key", "after", "waited"),
    [
        (make_key(), 0.4, 0.5),
        # The timeout of the first request has expired.
        (make_key(), 2.5, 0.0),
        (make_key("/scenes/8"), 0.4, 0.0),
        (make_key(remote="10.0.0.2"), 0.4, 0.0),
        (make_key(method="POST"), 0.4, 0.0),
    ],
)
def test_a_retry_has_waited_since_the_first_attempt(clock, key, after, waited):
    refused = RefusedCallers(clock)
    now = clock.read_monotonic()
    refused.record(make_key(), now - 0.1, now + 2.0)
    clock.advance(after)
    assert refused.pop_waited_seconds(key) == pytest.approx(waited)


def test_a_caller_is_forgotten_after_one_retry(clock):
    refused = RefusedCallers(clock)
    now = clock.read_monotonic()
    refused.record(make_key(), now - 0.1, now + 2.0)
    assert refused.pop_waited_seconds(make_key()) > 0.0
    assert refused.pop_waited_seconds(make_key()) == 0.0


def test_the_oldest_caller_is_forgotten_first(clock):
    refused = RefusedCallers(clock)
    now = clock.read_monotonic()
    for number in range(MAX_CALLERS + 1):
        refused.record(make_key(f"/{number}"), now - 0.1, now + 2.0)
    assert refused.pop_waited_seconds(make_key("/0")) == 0.0
    assert refused.pop_waited_seconds(make_key("/1")) > 0.0
    assert refused.pop_waited_seconds(make_key(f"/{MAX_CALLERS}")) > 0.0
