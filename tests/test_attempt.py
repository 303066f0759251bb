"""Tests of godwitrack_node.attempt: silent and unreachable nodes, on a manual clock."""

import pytest

from godwitrack.callmessages import Answer, Outcome, RoutedCall
from godwitrack.exceptions import ErrorKind, LinkError, LinkTimeout, RequestError
from godwitrack.load import Load
from godwitrack_node.attempt import RemoteAttempt
from godwitrack_node.attempterrors import NoTimeToConnect, SilentNode
from godwitrack_node.ledger import OutcomeState
from godwitrack_node.silencetimeout import compute_silence_timeout

SILENCE_SECONDS = 0.2
DEADLINE_MS = 1000.0
BUSY_SECONDS = 0.7


def make_call(idempotent=True):
    return RoutedCall(
        "n.1.0",
        "r1",
        1,
        1,
        "scenbok",
        "styrning",
        "GET",
        "/read/1",
        [],
        idempotent,
        False,
        False,
        False,
        [],
        1,
        500.0,
        0.0,
        DEADLINE_MS,
        False,
        0,
        b"",
        False,
    )


class DelayedLink:
    """A link that answers after a delay, while its node accepts no other link."""

    def __init__(self, clock, seconds):
        self._clock = clock
        self._answered_at = clock.read_monotonic() + seconds
        self.is_aborted = False

    def send(self, message, timeout=None):
        assert type(message) is RoutedCall

    def receive(self, timeout, watch=None):
        left = self._answered_at - self._clock.read_monotonic()
        self._clock.advance(min(timeout, max(left, 0.0)))
        if left > timeout:
            raise LinkTimeout("silent")
        load = Load(1, 0, 10, 1, 100).to_data()
        return Answer("n.1.0", 200, [], load, 2, b"ok", False)

    def abort(self):
        self.is_aborted = True


class SilentPool:
    """A pool that has one open link and can open no other."""

    def __init__(self, clock, link):
        self._clock = clock
        self._link = link
        self.is_released = False
        self.queries = 0

    def acquire(self, address, timeout):
        return self._link

    def open(self, address, timeout):
        self.queries += 1
        self._clock.advance(timeout)
        raise LinkError("no connection")

    def release(self, link):
        self.is_released = True


class Sink:
    """A sink that stores the status of the answer."""

    is_started = False
    status = 0

    def start(self, status, headers, length, body, more):
        self.is_started, self.status = True, status


def make_attempt(clock, pool, can_retry):
    return RemoteAttempt(
        clock,
        pool,
        "10.0.0.1:7620",
        SILENCE_SECONDS,
        lambda load: None,
        query_timeout=SILENCE_SECONDS,
        can_retry=can_retry,
    )


def run_attempt(clock, answer_seconds, can_retry):
    pool = SilentPool(clock, DelayedLink(clock, answer_seconds))
    sink = Sink()
    make_attempt(clock, pool, can_retry).run(make_call(), None, sink)
    return sink.status


@pytest.mark.parametrize("is_resumed", [True, False])
def test_an_attempt_at_a_silent_node_is_resumed_or_closed(clock, is_resumed):
    """Guards against a call that is cut off before another one is answered (LOST)."""
    link = DelayedLink(clock, BUSY_SECONDS)
    pool, sink = SilentPool(clock, link), Sink()
    with pytest.raises(SilentNode) as caught:
        make_attempt(clock, pool, lambda: True).run(make_call(), None, sink)
    assert not link.is_aborted
    if is_resumed:
        caught.value.attempt.resume()
    else:
        caught.value.attempt.close()
    assert (sink.status, link.is_aborted) == ((200, False) if is_resumed else (0, True))
    assert pool.is_released is is_resumed


def test_silent_node_is_awaited_if_no_retry_is_possible(clock):
    """Guards against giving up a call that its server still works on (LOST)."""
    assert run_attempt(clock, BUSY_SECONDS, lambda: False) == 200


def test_silent_node_is_given_up_if_a_retry_is_possible(clock):
    started = clock.read_monotonic()
    with pytest.raises(RequestError) as caught:
        run_attempt(clock, BUSY_SECONDS, lambda: True)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
    passed = clock.read_monotonic() - started
    assert passed == pytest.approx(2 * SILENCE_SECONDS)


def test_silent_node_is_awaited_no_longer_than_the_deadline(clock):
    started = clock.read_monotonic()
    with pytest.raises(RequestError):
        run_attempt(clock, 9.0, lambda: False)
    assert clock.read_monotonic() - started <= DEADLINE_MS / 1000 + SILENCE_SECONDS


class UnreachablePool:
    """A pool that connects to no node within the timeout.

    Attributes:
        connect_timeout: Connect timeout of a new link in seconds.
    """

    connect_timeout = 0.3

    def acquire(self, address, timeout):
        raise LinkTimeout("nothing arrived in time")


@pytest.mark.parametrize(("deadline_ms", "is_short"), [(80.0, True), (400.0, False)])
def test_connect_failure_near_the_deadline_is_reported_as_no_time_to_connect(
    clock, deadline_ms, is_short
):
    attempt = RemoteAttempt(
        clock, UnreachablePool(), "10.0.0.1:7620", 0.2, lambda load: None
    )
    call = make_call()
    call.deadline_ms = deadline_ms
    with pytest.raises(RequestError) as caught:
        attempt.run(call, None, Sink())
    assert caught.value.kind is ErrorKind.BACKEND_UNREACHABLE
    assert isinstance(caught.value, NoTimeToConnect) is is_short


@pytest.mark.parametrize(
    ("is_regional", "answer_seconds", "queries"),
    [(False, 0.17, 0), (False, 0.3, 1), (True, 0.3, 0), (True, 0.4, 0), (True, 0.5, 1)],
)
def test_queries_leave_a_crowded_link_between_regions_alone(
    clock, is_regional, answer_seconds, queries
):
    """Guards against queries that crowd out the answers which they ask for."""
    pool = SilentPool(clock, DelayedLink(clock, answer_seconds))
    timeout = compute_silence_timeout(0.3, is_regional)
    attempt = RemoteAttempt(
        clock,
        pool,
        "10.0.0.1:7620",
        timeout,
        lambda load: None,
        query_timeout=0.01,
        can_retry=lambda: False,
    )
    attempt.run(make_call(), None, Sink())
    assert pool.queries == queries


class InvalidLink:
    """A link that answers each message with the same one."""

    def __init__(self, answer):
        self._answer = answer
        self.is_aborted = False

    def send(self, message, timeout=None):
        pass

    def receive(self, timeout, watch=None):
        return self._answer

    def abort(self):
        self.is_aborted = True


def make_answer(status=200, headers=(), load=None):
    load = Load(1, 0, 10, 1, 100).to_data() if load is None else load
    return Answer("n.1.0", status, list(headers), load, 2, b"ok", False)


@pytest.mark.parametrize(
    "message",
    [
        make_answer(0),
        make_answer(-1),
        make_answer(99),
        make_answer(101),
        make_answer(600),
        make_answer(headers=[["X Y", "a"]]),
        make_answer(headers=[["X", "a\r\nY: b"]]),
        make_answer(headers=[["X", "\u0100"]]),
        make_answer(headers=[["X", 1]]),
        make_answer(headers=["XY"]),
        make_answer(load=["x"]),
        Outcome(OutcomeState.FINISHED.value, 99, [], b"ok"),
        Outcome(OutcomeState.FINISHED.value, 200, [["X Y", "a"]], b"ok"),
    ],
    ids=range(13),
)
def test_an_invalid_answer_of_another_node_is_no_answer(clock, message):
    """Guards against what a node of an earlier build passes on (MIXED)."""
    link, sink = InvalidLink(message), Sink()
    attempt = make_attempt(clock, SilentPool(clock, link), lambda: False)
    with pytest.raises(RequestError) as caught:
        attempt.run(make_call(), None, sink)
    assert caught.value.kind is ErrorKind.ANSWER_LOST
    assert not sink.is_started
    assert link.is_aborted
