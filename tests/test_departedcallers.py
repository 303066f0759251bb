"""Tests that requests whose callers left while a node stood still do not run."""

import socket
import threading

import pytest

from godwitrack.callmessages import Chunk, RoutedCall
from godwitrack.clock import SystemClock
from godwitrack.exceptions import CallerDisconnected
from godwitrack.link import Authenticator, accept_link, open_link
from godwitrack_node import hostedentry
from godwitrack_node.bodystreams import read_first_part
from godwitrack_node.linkserver import serve_call
from hostedfleet import ask, list_runs
from testcaller import Caller, make_request_headers, wait_for

SECRET = "a secret that both nodes share"
TIMEOUT_SECONDS = 5.0


@pytest.fixture
def links():
    """Both ends of a link: the calling node's and the called node's."""
    authenticator = Authenticator(SECRET, SystemClock())
    accepted = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()

        def accept():
            sock, _ = server.accept()
            accepted.append(accept_link(sock, "caller", authenticator, TIMEOUT_SECONDS))

        thread = threading.Thread(target=accept)
        thread.start()
        calling = open_link(f"{host}:{port}", authenticator, TIMEOUT_SECONDS)
        thread.join()
    yield calling, accepted[0]
    calling.abort()
    accepted[0].abort()


def make_routed_call(incarnation, more):
    return RoutedCall(
        "n-1.0",
        "r1",
        incarnation,
        0,
        "styrning",
        "scenbok",
        "POST",
        "/lamp/1",
        [],
        False,
        False,
        False,
        False,
        [],
        0,
        1000.0,
        0.0,
        2000.0,
        False,
        -1 if more else 2,
        b"on",
        more,
    )


@pytest.mark.parametrize("more", [False, True], ids=["whole", "body unread"])
def test_a_call_of_a_node_that_gave_up_does_not_run(fleet, links, more):
    """Guards against runs for callers that were answered during a freeze (GONE)."""
    calling, called = links
    guard = fleet.machines[1].find("guard")
    calling.send(make_routed_call(guard._identity.incarnation, more), TIMEOUT_SECONDS)
    if more:
        calling.send(Chunk(b"!", False), TIMEOUT_SECONDS)
    message = called.receive(TIMEOUT_SECONDS)
    calling.abort()
    wait_for(called.has_input)
    # A server whose speed is known starts requests without a wait.
    assert ask(fleet.machines[1], "/lamp/0", "r0", "POST").status == 200
    with pytest.raises(CallerDisconnected):
        serve_call(guard, called, message)
    # Its server has taken what was sent to it before.
    assert ask(fleet.machines[1], "/lamp/2", "r2", "POST").status == 200
    assert list_runs(fleet, "r1") == []
    assert guard.admission.in_flight == 0


@pytest.mark.parametrize("entry", [0, 1], ids=["remote", "local"])
def test_a_request_of_a_caller_that_left_does_not_run(fleet, monkeypatch, entry):
    """Guards against runs of requests that a node reads after a freeze (GONE)."""
    machine = fleet.machines[entry]
    caller = Caller(machine.settings.callers)
    is_read = threading.Event()

    def read_after_close(source, *values):
        caller.close()
        wait_for(source.watch.is_disconnected)
        is_read.set()
        return read_first_part(source, *values)

    monkeypatch.setattr(hostedentry, "read_first_part", read_after_close)
    caller.send("POST", "/lamp/1", headers=make_request_headers("r1"))
    assert is_read.wait(TIMEOUT_SECONDS)
    wait_for(lambda: not machine.find("metrics").active)
    assert list_runs(fleet, "r1") == []
