"""Tests of godwitrack_node.backend against a scripted raw server."""

import socket
import threading

import pytest

from godwitrack.address import Address
from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack_lab.deployment import find_ports
from godwitrack_node.backend import BackendClient, TimedRequest

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawServer:
    """Answers each request as scripted; None closes without an answer.

    Attributes:
        requests: Number of requests received.
    """

    def __init__(self, script):
        self._script = list(script)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.requests = 0
        self.address = Address(*self._socket.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._socket.close()

    def _serve(self):
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            with sock:
                self._serve_connection(sock)

    def _serve_connection(self, sock):
        while self._script and sock.recv(65536):
            self.requests += 1
            answer = self._script.pop(0)
            if answer is None:
                return
            sock.sendall(answer)
            if not answer.endswith(b"ok"):
                return


@pytest.fixture
def make_server():
    servers = []

    def make(*script):
        servers.append(RawServer(script))
        return servers[-1]

    yield make
    for server in servers:
        server.close()


def send(client, claims=None, body=b""):
    parts = []
    request = TimedRequest("POST", "/x", [], body, len(body), None, 5.0)
    client.send(
        request,
        lambda status, headers, length: parts.append(status),
        parts.append,
        lambda: claims.append(1) if claims is not None else None,
    )
    return parts


def test_connections_are_reused(make_server):
    server = make_server(GOOD, GOOD, GOOD)
    client = BackendClient(server.address, 4)
    for _ in range(3):
        assert send(client) == [200, b"ok"]
    assert server.requests == 3


def test_a_request_on_a_dead_connection_is_not_sent_twice(make_server):
    """Guards against libcurl, which resends a request of any method by itself."""
    server = make_server(GOOD, None, GOOD)
    client = BackendClient(server.address, 4)
    claims = []
    send(client, claims)
    with pytest.raises(RequestError) as caught:
        send(client, claims)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert server.requests == 2
    assert len(claims) == 2


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
            ErrorKind.OUTCOME_UNKNOWN,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nshort",
            ErrorKind.OUTCOME_UNKNOWN,
        ),
        (b"garbage that is no HTTP\r\n\r\n", ErrorKind.OUTCOME_UNKNOWN),
        (None, ErrorKind.OUTCOME_UNKNOWN),
    ],
)
def test_an_incomplete_answer_is_an_error(make_server, answer, kind):
    client = BackendClient(make_server(answer).address, 4)
    with pytest.raises(RequestError) as caught:
        send(client)
    assert caught.value.kind is kind
    assert not caught.value.answer.not_run


def test_a_request_that_was_not_sent_is_reported_as_not_run():
    client = BackendClient(Address("127.0.0.1", find_ports(1)[0]), 4)
    with pytest.raises(RequestError) as caught:
        send(client)
    assert caught.value.kind is ErrorKind.BACKEND_UNREACHABLE
    assert caught.value.answer.not_run


@pytest.mark.parametrize(
    ("error_class", "cause"),
    [(RequestError, ErrorKind.STALE_INCARNATION), (CallerDisconnected, "left")],
)
def test_a_request_that_may_not_be_sent_is_not_sent(make_server, error_class, cause):
    server = make_server(GOOD)
    client = BackendClient(server.address, 4)

    def refuse():
        raise error_class(cause)

    request = TimedRequest("POST", "/x", [], b"", 0, None, 5.0)
    with pytest.raises(error_class):
        client.send(request, lambda *head: None, lambda body: None, refuse)
    assert server.requests == 0
