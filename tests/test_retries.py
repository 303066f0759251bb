"""Tests of godwitrack_node.retries: servers that can't be reached for a short time."""

import pytest

from cluster import Cluster, call
from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.retries import MAX_ATTEMPTS, RetryBudget, RetryRule


class EmptyBudget(RetryBudget):
    """A budget without any retries left."""

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
def test_which_errors_allow_a_restart(kind, attempts, budget, allowed):
    rule = make_rule(attempts, budget)
    assert rule.allows_restart(RequestError(kind)) is allowed


def test_request_restarts_only_once():
    rule = make_rule()
    error = RequestError(ErrorKind.BACKEND_UNREACHABLE)
    assert rule.allows_restart(error)
    assert not rule.allows_restart(error)


def test_no_restart_before_any_attempt():
    assert not make_rule(attempts=0).allows_restart(None)


@pytest.fixture
def cluster():
    with Cluster(2, ("scenbok-1", "styrning-1")) as cluster:
        yield cluster


@pytest.mark.parametrize(
    ("unopened", "status", "runs"), [(0, 200, 1), (1, 200, 1), (1000, 502, 0)]
)
def test_only_server_is_tried_again_after_a_failed_connection(
    cluster, unopened, status, runs
):
    """Guards against a refusal because the only server can't be reached at first.

    This was seen while the other server of its region was taken out of service.
    """
    entry = next(item for item in cluster.members if item.spec.service == "scenbok")
    cluster.network.failing_opens = unopened
    path = "/styrning/scenes/7/apply"
    answer = call(entry.callers, "POST", path, operation="apply")
    assert answer[0] == status
    assert cluster.count_runs()["apply"] == runs
