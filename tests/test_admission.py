"""Tests of admission: short stalls, slow uploads, slow readers and queueing."""

import pytest

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.admission import MAX_WAIT_SECONDS, Admission
from godwitrack_node.admissionrequest import AdmissionRequest

SLOTS = 13
SERVICE_SECONDS = 0.002
DEADLINE_SECONDS = 10.0
KIND = ("GET", "interactive")


@pytest.fixture
def admission(clock):
    """An Admission whose server has warmed up to all its slots."""
    admission = Admission(clock, 1, 1)
    admission.announce(False, SLOTS)
    while admission.limit < SLOTS:
        run(admission, clock, SERVICE_SECONDS)
    return admission


def offer(admission, clock, kind=KIND, depth=1):
    deadline = clock.read_monotonic() + DEADLINE_SECONDS
    request = AdmissionRequest(
        "brand-ask", 1e6, 0, deadline, kind, on_decision=lambda _: None, depth=depth
    )
    admission.offer(request)
    return request


def run(admission, clock, seconds, kind=KIND):
    request = offer(admission, clock, kind)
    clock.advance(seconds)
    admission.release(request, False)


def test_short_stall_refuses_no_request(admission, clock):
    running = [offer(admission, clock) for _ in range(3)]
    clock.advance(0.020)
    waiting = [offer(admission, clock) for _ in range(5)]
    assert not any(request.is_decided for request in waiting)
    for request in running[:2]:
        admission.release(request, False)
    assert all(request.granted_at is not None for request in waiting)
    assert admission.limit > 1


def test_server_that_turns_cold_gets_no_request_until_it_answers(admission, clock):
    running = [offer(admission, clock) for _ in range(4)]
    clock.advance(0.020)
    waiting = [offer(admission, clock) for _ in range(2)]
    assert not any(request.is_decided for request in waiting)
    for request in running:
        clock.advance(0.005)
        admission.release(request, False)
    assert admission.limit == 1
    assert sum(request.granted_at is not None for request in waiting) == 1


@pytest.mark.parametrize("count", [2, 6])
def test_slow_uploads_do_not_delay_other_requests(admission, clock, count):
    uploads = [offer(admission, clock, kind=None) for _ in range(count)]
    clock.advance(5.0)
    for _ in range(20):
        run(admission, clock, SERVICE_SECONDS)
    for request in uploads:
        admission.release(request, False)
    assert admission.limit == SLOTS


def test_slow_readers_do_not_delay_other_requests(admission, clock):
    answers = [offer(admission, clock) for _ in range(3)]
    clock.advance(SERVICE_SECONDS)
    for request in answers:
        request.answered_at = clock.read_monotonic()
    clock.advance(5.0)
    run(admission, clock, SERVICE_SECONDS)
    for request in answers:
        admission.release(request, False)
    assert admission.limit == SLOTS


def test_waiting_for_nested_calls_does_not_delay_other_requests(admission, clock):
    outer = [offer(admission, clock) for _ in range(3)]
    for request in outer:
        admission.begin_nested(request)
    clock.advance(1.0)
    run(admission, clock, SERVICE_SECONDS)
    for request in outer:
        admission.end_nested(request)
        admission.release(request, False)
    assert admission.limit == SLOTS


def test_deepest_nested_call_starts_first(admission, clock):
    running = [offer(admission, clock) for _ in range(SLOTS)]
    waiting = [offer(admission, clock, depth=depth) for depth in (1, 3, 2)]
    admission.release(running[0], False)
    assert [request.granted_at is not None for request in waiting] == [
        False,
        True,
        False,
    ]


@pytest.mark.parametrize(
    ("left", "kind"),
    [
        (DEADLINE_SECONDS, ErrorKind.SERVER_BUSY),
        (MAX_WAIT_SECONDS / 2, ErrorKind.DEADLINE_EXPIRED),
    ],
)
def test_request_that_waits_too_long_is_refused_as_not_run(
    admission, clock, left, kind
):
    running = [offer(admission, clock, kind=None) for _ in range(SLOTS)]
    deadline = clock.read_monotonic() + left
    waiting = AdmissionRequest("brand-ask", 1e6, 0, deadline, KIND, lambda _: None)
    admission.offer(waiting)
    clock.advance(MAX_WAIT_SECONDS + 0.001)
    admission.release(running[0], False)
    assert waiting.granted_at is None
    assert waiting.refusal.kind is kind
    assert waiting.refusal.answer.not_run


def test_request_is_refused_at_once_if_its_expected_wait_is_too_long(admission, clock):
    for _ in range(200):
        run(admission, clock, 0.080)
    offer(admission, clock)
    with pytest.raises(RequestError) as caught:
        for _ in range(2):
            offer(admission, clock)
    assert caught.value.kind is ErrorKind.SERVER_BUSY
