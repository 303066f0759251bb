"""Tests of the ledger of started requests."""

import pytest

from godwitrack.exceptions import DuplicateRequest, ErrorKind, RequestError
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.ledger import (
    MAX_KEPT_BODY_BYTES,
    RETENTION_SECONDS,
    Ledger,
    OutcomeState,
)


def test_a_request_queried_before_its_claim_can_never_start(clock):
    ledger = Ledger(clock)
    assert ledger.query("a").state is OutcomeState.FENCED
    with pytest.raises(RequestError) as caught:
        ledger.claim("a")
    assert caught.value.kind is ErrorKind.FENCED
    assert caught.value.answer.not_run


def test_a_second_copy_is_refused_but_not_reported_as_not_run(clock):
    ledger = Ledger(clock)
    ledger.claim("a")
    with pytest.raises(DuplicateRequest) as caught:
        ledger.claim("a")
    assert not caught.value.answer.not_run


@pytest.mark.parametrize(
    ("act", "state"),
    [
        (lambda ledger: None, OutcomeState.RUNNING),
        (lambda ledger: ledger.finish("a", None), OutcomeState.FINISHED),
        (lambda ledger: ledger.fail("a"), OutcomeState.BROKEN),
        (lambda ledger: ledger.withdraw("a"), OutcomeState.FENCED),
    ],
)
def test_a_query_returns_the_state_without_changing_it(clock, act, state):
    ledger = Ledger(clock)
    ledger.claim("a")
    act(ledger)
    assert ledger.query("a").state is state
    assert ledger.query("a").state is state
    with pytest.raises(RequestError):
        ledger.claim("a")


def test_a_kept_answer_that_could_not_be_sent_stays_available(clock):
    """Guards against a 502 to a caller whose request ran and was answered (LOST)."""
    ledger = Ledger(clock)
    answer = HttpAnswer(200, [], b"done")
    ledger.claim("a")
    ledger.finish("a", answer)
    ledger.fail("a")
    assert ledger.query("a").state is OutcomeState.FINISHED
    assert ledger.query("a").answer is answer


def test_answers_are_kept_up_to_the_size_limit(clock):
    ledger = Ledger(clock)
    small = HttpAnswer(200, [], b"x")
    large = HttpAnswer(200, [], b"x" * (MAX_KEPT_BODY_BYTES + 1))
    for name, answer in (("small", small), ("large", large)):
        ledger.claim(name)
        ledger.finish(name, answer)
    assert ledger.query("small").answer is small
    assert ledger.query("large").answer is None


def test_entries_expire_unless_their_request_is_running(clock):
    ledger = Ledger(clock)
    ledger.claim("done")
    ledger.finish("done", None)
    ledger.claim("running")
    clock.advance(RETENTION_SECONDS + 1)
    ledger.claim("new")
    assert len(ledger) == 2
    assert ledger.query("running").state is OutcomeState.RUNNING
