"""Tests of admission: hiccups, slow uploads, slow readers and waits."""

import pytest

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.admission import MAX_WAIT_SECONDS, Admission
from godwitrack_node.tickets import Ticket

SLOTS = 13
SERVICE_SECONDS = 0.002
DEADLINE_SECONDS = 10.0
KIND = ("GET", "interactive")


@pytest.fixture
def admission(clock):
    """An admission before a server that has shown to bear all its slots."""
    admission = Admission(clock, 1, 1)
    admission.announce(False, SLOTS)
    while admission.limit < SLOTS:
        run(admission, clock, SERVICE_SECONDS)
    return admission


def offer(admission, clock, kind=KIND, depth=1):
    deadline = clock.read_monotonic() + DEADLINE_SECONDS
    ticket = Ticket(
        "brand-ask", 1e6, 0, deadline, kind, on_decision=lambda _: None, depth=depth
    )
    admission.offer(ticket)
    return ticket


def run(admission, clock, seconds, kind=KIND):
    ticket = offer(admission, clock, kind)
    clock.advance(seconds)
    admission.release(ticket, False)


def test_a_hiccup_of_the_machine_refuses_nobody(admission, clock):
    running = [offer(admission, clock) for _ in range(3)]
    clock.advance(0.020)
    waiting = [offer(admission, clock) for _ in range(5)]
    assert not any(ticket.is_decided for ticket in waiting)
    for ticket in running[:2]:
        admission.release(ticket, False)
    assert all(ticket.granted_at is not None for ticket in waiting)
    assert admission.limit > 1


def test_a_server_that_turned_cold_gets_nothing_until_it_answers(admission, clock):
    running = [offer(admission, clock) for _ in range(4)]
    clock.advance(0.020)
    waiting = [offer(admission, clock) for _ in range(2)]
    assert not any(ticket.is_decided for ticket in waiting)
    for ticket in running:
        clock.advance(0.005)
        admission.release(ticket, False)
    assert admission.limit == 1
    assert sum(ticket.granted_at is not None for ticket in waiting) == 1


@pytest.mark.parametrize("count", [2, 6])
def test_slow_uploads_hold_nobody_up(admission, clock, count):
    uploads = [offer(admission, clock, kind=None) for _ in range(count)]
    clock.advance(5.0)
    for _ in range(20):
        run(admission, clock, SERVICE_SECONDS)
    for ticket in uploads:
        admission.release(ticket, False)
    assert admission.limit == SLOTS


def test_callers_that_read_slowly_hold_nobody_up(admission, clock):
    answers = [offer(admission, clock) for _ in range(3)]
    clock.advance(SERVICE_SECONDS)
    for ticket in answers:
        ticket.answered_at = clock.read_monotonic()
    clock.advance(5.0)
    run(admission, clock, SERVICE_SECONDS)
    for ticket in answers:
        admission.release(ticket, False)
    assert admission.limit == SLOTS


def test_nested_calls_hold_nobody_up(admission, clock):
    outer = [offer(admission, clock) for _ in range(3)]
    for ticket in outer:
        admission.begin_nested(ticket)
    clock.advance(1.0)
    run(admission, clock, SERVICE_SECONDS)
    for ticket in outer:
        admission.end_nested(ticket)
        admission.release(ticket, False)
    assert admission.limit == SLOTS


def test_the_deepest_call_starts_first(admission, clock):
    running = [offer(admission, clock) for _ in range(SLOTS)]
    waiting = [offer(admission, clock, depth=depth) for depth in (1, 3, 2)]
    admission.release(running[0], False)
    assert [ticket.granted_at is not None for ticket in waiting] == [False, True, False]


@pytest.mark.parametrize(
    ("left", "kind"),
    [
        (DEADLINE_SECONDS, ErrorKind.SERVER_BUSY),
        (MAX_WAIT_SECONDS / 2, ErrorKind.DEADLINE_EXPIRED),
    ],
)
def test_a_wait_in_vain_ends_as_not_run(admission, clock, left, kind):
    running = [offer(admission, clock, kind=None) for _ in range(SLOTS)]
    deadline = clock.read_monotonic() + left
    waiting = Ticket("brand-ask", 1e6, 0, deadline, KIND, lambda _: None)
    admission.offer(waiting)
    clock.advance(MAX_WAIT_SECONDS + 0.001)
    admission.release(running[0], False)
    assert waiting.granted_at is None
    assert waiting.refusal.kind is kind
    assert waiting.refusal.answer.not_run


def test_a_wait_too_long_to_begin_is_refused_at_once(admission, clock):
    for _ in range(200):
        run(admission, clock, 0.080)
    offer(admission, clock)
    with pytest.raises(RequestError) as caught:
        for _ in range(2):
            offer(admission, clock)
    assert caught.value.kind is ErrorKind.SERVER_BUSY
