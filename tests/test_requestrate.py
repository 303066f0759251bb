"""Tests of godwitrack_node.requestrate and of its use by the admission."""

import random

import pytest

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.hostedadmission import HostedAdmission
from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from loads import SLOTS

# The platform's bound: in any window, one and a half times the limit and a few more.
WINDOW_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_SLACK = 5


def make_request(clock, objective=1.0, remaining=3.0):
    return HostedAdmissionRequest(1, objective, clock.read_monotonic() + remaining)


def try_start(admission, clock):
    """Return whether a new request starts at once; one that waits is taken back."""
    request = make_request(clock)
    try:
        is_started = admission.offer(request)
    except RequestError as error:
        assert error.kind is ErrorKind.SERVER_BUSY
        return False
    if not is_started:
        admission._dequeue(request)
        return False
    admission.release(request, True)
    return True


def check_windows(starts, rate):
    allowed = BOUND_FACTOR * rate * WINDOW_SECONDS + BOUND_SLACK
    for start in starts:
        assert sum(start <= at < start + WINDOW_SECONDS for at in starts) <= allowed


@pytest.mark.parametrize("rate", [0.0, 0.4, 5.3, 15.1, 60.0])
def test_a_server_gets_no_more_than_the_limit_that_it_names(clock, rate):
    """Guards against 49 requests in 4 s at a server that takes 5.3 a second (LIMIT)."""
    admission = HostedAdmission(clock, SLOTS)
    rng = random.Random(7)
    assert try_start(admission, clock)
    admission.set_rate_limit(rate)
    starts, began_at = [], clock.read_monotonic()
    while clock.read_monotonic() - began_at < 20.0:
        clock.advance(rng.expovariate(120.0))
        if try_start(admission, clock):
            starts.append(clock.read_monotonic())
    check_windows(starts, rate)
    assert len(starts) == pytest.approx(20.0 * rate, abs=1.0 + rate)
    # Without the limit, it is used like any other again.
    admission.set_rate_limit(None)
    assert all(try_start(admission, clock) for _ in range(SLOTS))


@pytest.mark.parametrize("restart_gap", [0.5, 1.5, 3.0])
def test_restarts_of_the_guard_do_not_add_to_the_limit(clock, restart_gap):
    """A new process of the guard knows nothing of what the last one sent."""
    rate, starts = 8.0, []
    for _ in range(6):
        admission = HostedAdmission(clock, SLOTS)
        admission.set_rate_limit(rate)
        for _ in range(round(restart_gap * 100)):
            clock.advance(0.01)
            if try_start(admission, clock):
                starts.append(clock.read_monotonic())
    check_windows(starts, rate)


def test_a_request_beyond_the_limit_is_refused_on_arrival(clock):
    admission = HostedAdmission(clock, SLOTS)
    admission.set_rate_limit(2.0)
    with pytest.raises(RequestError) as caught:
        admission.offer(make_request(clock, objective=0.4))
    assert caught.value.kind is ErrorKind.SERVER_BUSY


def test_entries_see_how_much_of_the_limit_is_used(clock):
    """Entries choose other servers while the limit leaves no room here."""
    admission = HostedAdmission(clock, 10)
    admission.set_rate_limit(5.0)
    assert admission.count_effective_in_flight() == admission.limit
    clock.advance(10.0)
    assert admission.count_effective_in_flight() == 0
    for _ in range(5):
        assert try_start(admission, clock)
    assert admission.count_effective_in_flight() == admission.limit
