"""Tests of godwitrack_node.retries: servers that can't be reached for a moment."""

import pytest

from cluster import Cluster, call
from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.retries import MAX_ATTEMPTS, RetryBudget, RetryRule


class EmptyBudget(RetryBudget):
    """A budget of which everything is spent."""

    def withdraw(self):
        return False


def make_rule(attempts=1, budget=None):
    rule = RetryRule(budget or RetryBudget(), False, 0)
    rule.attempts = attempts
    return rule


@pytest.mark.parametrize(
    ("kind", "attempts", "budget", "allowed"),
    [
        (ErrorKind.BACKEND_UNREACHABLE, 1, RetryBudget(), True),
        (ErrorKind.BACKEND_UNREACHABLE, MAX_ATTEMPTS, RetryBudget(), False),
        (ErrorKind.BACKEND_UNREACHABLE, 1, EmptyBudget(), False),
        (ErrorKind.SERVER_BUSY, 1, RetryBudget(), False),
        (ErrorKind.OUTCOME_UNKNOWN, 1, RetryBudget(), False),
    ],
    ids=str,
)
def test_which_refusals_let_a_request_start_over(kind, attempts, budget, allowed):
    rule = make_rule(attempts, budget)
    assert rule.allows_again(RequestError(kind)) is allowed


def test_a_request_starts_over_once():
    rule = make_rule()
    error = RequestError(ErrorKind.BACKEND_UNREACHABLE)
    assert rule.allows_again(error)
    assert not rule.allows_again(error)


def test_without_an_attempt_nothing_starts_over():
    assert not make_rule(attempts=0).allows_again(None)


@pytest.fixture
def cluster():
    with Cluster(2, ("scenbok-1", "styrning-1")) as cluster:
        yield cluster


@pytest.mark.parametrize(
    ("unopened", "status", "runs"), [(0, 200, 1), (1, 200, 1), (1000, 502, 0)]
)
def test_the_only_server_gets_a_second_connection(cluster, unopened, status, runs):
    """Seen as a refusal while its region's other server was taken out."""
    entry = next(item for item in cluster.members if item.place.service == "scenbok")
    cluster.network.failing_opens = unopened
    path = "/styrning/scenes/7/apply"
    answer = call(entry.callers, "POST", path, operation="apply")
    assert answer[0] == status
    assert cluster.count_runs()["apply"] == runs
