"""Tests that writes run at most once and callers get true answers despite faults.

Frames are lost, delayed, duplicated and cut; nodes are killed and paused.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_lab.inmemory import InMemoryCluster

HISTORIES = 1500
DISTURBANCES = ("nothing", "nothing", "release", "kill", "kill unseen", "pause", "run")


def disturb(choose):
    def act(cluster):
        what = choose(DISTURBANCES)
        server = cluster.servers[choose(range(len(cluster.servers)))]
        if what == "release" and cluster.delayed:
            cluster.release_frame(choose(range(len(cluster.delayed))))
        elif what in ("kill", "kill unseen"):
            server.restart()
            if what == "kill":
                server.announce()
        elif what == "pause":
            server.pause()
        elif what == "run" and server.is_paused:
            server.resume()

    return act


def check(cluster, results):
    """Compare the results that callers got with what the backend servers ran."""
    for operation, (idempotent, result) in results.items():
        runs = cluster.runs[operation]
        if not idempotent:
            assert runs <= 1, operation
        if isinstance(result, RequestError):
            if result.answer.not_run:
                assert runs == 0, (operation, result.kind)
        else:
            assert runs >= 1, operation
            assert result.body == operation.encode()


@settings(max_examples=HISTORIES)
@given(st.data())
def test_no_history_doubles_or_lies(data):
    def choose(options):
        return data.draw(st.sampled_from(list(options)))

    world = InMemoryCluster(lambda point, fates: choose(fates), disturb=disturb(choose))
    told = {}
    for number in range(choose(range(1, 5))):
        idempotent = choose([False, False, True])
        operation = f"operation-{number}"
        told[operation] = (idempotent, world.send(operation, idempotent))
    check(world, told)
    world.release_all()
    check(world, told)


def make_decider(script):
    """Return a function that follows the script at each point, then avoids faults."""
    remaining = {point: list(outcomes) for point, outcomes in script.items()}

    def decide(point, outcomes):
        return remaining[point].pop(0) if remaining.get(point) else outcomes[0]

    return decide


@pytest.mark.parametrize(
    ("script", "kind", "runs"),
    [
        ({}, None, 1),
        # The call is lost: the query fences it, and another server runs it.
        ({"frame": ["lose"]}, None, 1),
        # The answer is lost: the query fetches the kept answer.
        ({"answer": ["lose"]}, None, 1),
        ({"answer": ["cut before"]}, None, 1),
        ({"frame": ["cut after"]}, None, 1),
        ({"frame": ["cut before"]}, None, 1),
        ({"frame": ["duplicate"]}, None, 1),
        ({"backend": ["run then break"]}, ErrorKind.OUTCOME_UNKNOWN, 1),
        ({"backend": ["unreachable"]}, None, 1),
        ({"backend": ["shed"]}, None, 1),
        ({"backend": ["unreachable"] * 9}, ErrorKind.BACKEND_UNREACHABLE, 0),
    ],
)
def test_a_write_runs_at_most_once(script, kind, runs):
    cluster = InMemoryCluster(make_decider(script))
    result = cluster.send("write", False)
    assert getattr(result, "kind", None) is kind
    cluster.release_all()
    assert cluster.runs["write"] == runs


def test_a_late_call_does_not_run_after_it_was_fenced():
    cluster = InMemoryCluster(make_decider({"frame": ["delay"]}), count=1)
    result = cluster.send("write", False)
    assert result.kind is ErrorKind.FENCED
    assert result.answer.not_run
    cluster.release_all()
    assert cluster.runs["write"] == 0


def test_a_node_killed_after_the_call_leaves_the_outcome_unknown():
    killed = []

    def kill(cluster):
        if not killed:
            killed.append(True)
            cluster.servers[0].restart()

    cluster = InMemoryCluster(make_decider({"answer": ["lose"]}), count=1, disturb=kill)
    result = cluster.send("write", False)
    assert result.kind is ErrorKind.OUTCOME_UNKNOWN
    assert not result.answer.not_run
    assert cluster.runs["write"] == 1


def test_a_resumed_node_refuses_calls_sent_during_its_pause():
    cluster = InMemoryCluster(make_decider({}), count=1)
    cluster.servers[0].pause()
    result = cluster.send("write", False)
    assert not result.answer.not_run
    cluster.servers[0].resume()
    cluster.release_all()
    assert cluster.runs["write"] == 0


def test_reads_are_retried_only_as_often_as_their_plan_allows():
    cluster = InMemoryCluster(make_decider({"backend": ["run then break"] * 9}))
    result = cluster.send("read", True)
    assert result.kind is ErrorKind.OUTCOME_UNKNOWN
    assert cluster.runs["read"] == 2
