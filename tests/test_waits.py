"""Tests that waits end by one deadline, and that callers are watched until then."""

import socket
import threading
import time

import pytest

from godwitrack.clock import SystemClock
from godwitrack.exceptions import CallerDisconnected, LinkTimeout, RequestError
from godwitrack.link import Authenticator, accept_link, open_link
from godwitrack.watch import Watch
from godwitrack_node.attempt import RemoteAttempt
from test_attempt import Sink, make_call

WAIT_SECONDS = 0.4
# Time for a thread to notice that its wait has ended.
MARGIN_SECONDS = 0.25
SECRET = "a secret that both nodes share"


class SilentNode:
    """Accepts links and sends nothing on them."""

    def __init__(self):
        self._authenticator = Authenticator(SECRET, SystemClock())
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self._links = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._socket.close()
        for link in self._links:
            link.abort()

    def _accept(self):
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            link = accept_link(sock, "caller", self._authenticator, WAIT_SECONDS)
            self._links.append(link)


class OpenPool:
    """A pool that opens a link for each use."""

    def __init__(self):
        self._authenticator = Authenticator(SECRET, SystemClock())

    def open(self, address, timeout):
        return open_link(address, self._authenticator, timeout)

    acquire = open


@pytest.fixture
def node():
    node = SilentNode()
    yield node
    node.close()


@pytest.fixture
def caller():
    """Both ends of a caller's connection."""
    near, far = socket.socketpair()
    yield near, far
    near.close()
    far.close()


def test_a_wait_for_a_silent_node_ends_at_its_timeout(node, caller):
    """Guards against a wait that lasts twice as long as asked for (CONFIG)."""
    link = OpenPool().open(node.address, WAIT_SECONDS)
    started = time.monotonic()
    with pytest.raises(LinkTimeout):
        link.receive(WAIT_SECONDS, Watch(caller[0]))
    assert time.monotonic() - started < WAIT_SECONDS + MARGIN_SECONDS
    link.abort()


# Shares of the wait after which the caller leaves.
@pytest.mark.parametrize("share", [0.1, 0.9])
def test_a_caller_that_leaves_ends_the_wait(node, caller, share):
    link = OpenPool().open(node.address, WAIT_SECONDS)
    leaver = threading.Timer(share * WAIT_SECONDS, caller[1].close)
    started = time.monotonic()
    leaver.start()
    with pytest.raises(CallerDisconnected):
        link.receive(WAIT_SECONDS, Watch(caller[0]))
    assert time.monotonic() - started < share * WAIT_SECONDS + MARGIN_SECONDS
    link.abort()


@pytest.mark.parametrize("deadline_ms", [300.0, 700.0, 1500.0])
@pytest.mark.parametrize("silence_seconds", [0.1, 0.4])
def test_a_call_to_a_silent_node_ends_at_its_deadline(
    node, caller, deadline_ms, silence_seconds
):
    """Guards against waits and queries that add up beyond the deadline (CONFIG)."""
    attempt = RemoteAttempt(
        SystemClock(),
        OpenPool(),
        node.address,
        silence_seconds,
        lambda load: None,
        watch=Watch(caller[0]),
    )
    call = make_call(idempotent=False)
    call.deadline_ms = deadline_ms
    started = time.monotonic()
    with pytest.raises(RequestError):
        attempt.run(call, None, Sink())
    assert time.monotonic() - started < deadline_ms / 1000 + MARGIN_SECONDS


@pytest.mark.parametrize("left_after", [0.2, 0.7, 1.2])
def test_a_caller_is_watched_during_waits_and_queries(node, caller, left_after):
    """Guards against a request that goes on after its caller has left (GONE)."""
    attempt = RemoteAttempt(
        SystemClock(),
        OpenPool(),
        node.address,
        0.1,
        lambda load: None,
        watch=Watch(caller[0]),
    )
    call = make_call(idempotent=False)
    call.deadline_ms = 4000.0
    leaver = threading.Timer(left_after, caller[1].close)
    started = time.monotonic()
    leaver.start()
    with pytest.raises(CallerDisconnected):
        attempt.run(call, None, Sink())
    assert time.monotonic() - started < left_after + MARGIN_SECONDS
