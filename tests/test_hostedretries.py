"""Tests of godwitrack_node.hostedretries: which failed attempts are repeated."""

import pytest

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.routetable import HostRoute, SplitPart
from godwitrack_node.hostedretries import MAX_MOVES, MAX_REFUSALS, HostedRetryRule
from godwitrack_node.hostedretrybudget import HostedRetryBudget, RetryLimits


def make_rule(clock, idempotent, max_attempts=2, slack=100.0):
    route = HostRoute(
        "r",
        "h",
        "/",
        [SplitPart("scenbok", 1)],
        idempotent=idempotent,
        timeout=1.0,
        objective=0.5,
        max_attempts=max_attempts,
    )
    budget = HostedRetryBudget(clock, RetryLimits(0.2, 10.0, slack), lambda: 1)
    return HostedRetryRule(budget, "scenbok", route)


@pytest.mark.parametrize(
    ("kind", "idempotent", "expected"),
    [
        (ErrorKind.SERVER_BUSY, False, True),
        (ErrorKind.STOPPING, False, True),
        (ErrorKind.SERVER_SHED, False, True),
        (ErrorKind.OUTCOME_UNKNOWN, True, True),
        (ErrorKind.OUTCOME_UNKNOWN, False, False),
        (ErrorKind.BACKEND_FAILED, True, True),
        (ErrorKind.TIMEOUT, True, False),
        (ErrorKind.NO_ROOM, True, False),
    ],
    ids=lambda value: getattr(value, "value", value),
)
def test_an_attempt_is_repeated_only_if_that_is_safe(clock, kind, idempotent, expected):
    rule = make_rule(clock, idempotent)
    error = RequestError(kind)
    rule.record_error(error)
    assert rule.allows(error) is expected


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_no_more_attempts_run_than_the_route_allows(clock, max_attempts):
    rule = make_rule(clock, True, max_attempts)
    error = RequestError(ErrorKind.OUTCOME_UNKNOWN)
    attempts = 1
    rule.record_error(error)
    while rule.allows(error):
        attempts += 1
        rule.record_error(error)
    assert attempts == max_attempts


def test_a_retry_after_shedding_is_charged_to_the_budget(clock):
    """Guards against too many retries while servers shed half of their requests.

    A day with such servers exceeded the retry budget (check BUDGET).
    """
    rule = make_rule(clock, True, max_attempts=3, slack=0.0)
    error = RequestError(ErrorKind.SERVER_SHED)
    rule.record_error(error)
    assert not rule.allows(error)
    refusal = RequestError(ErrorKind.SERVER_BUSY)
    rule.record_error(refusal)
    assert rule.allows(refusal)


def test_moves_from_slow_servers_do_not_count_as_refusals(clock):
    rule = make_rule(clock, False)
    moves = 0
    while rule.may_move:
        slow = RequestError(ErrorKind.SERVER_SLOW)
        rule.record_error(slow)
        assert rule.allows(slow)
        moves += 1
    assert moves == rule.attempts == MAX_MOVES
    busy = RequestError(ErrorKind.SERVER_BUSY)
    for refused in range(1, MAX_REFUSALS + 1):
        rule.record_error(busy)
        assert rule.allows(busy) is (refused < MAX_REFUSALS)


def test_a_refused_request_does_not_move(clock):
    rule = make_rule(clock, True)
    assert rule.may_move
    rule.record_error(RequestError(ErrorKind.SERVER_BUSY))
    assert rule.was_refused
    assert not rule.may_move
