"""Tests of answers that come before the whole request was sent, by how they end."""

import socket
import time

import pytest

from godwitrack.clock import SystemClock
from godwitrack.exceptions import ErrorKind, RequestError, StoreError
from godwitrack.store import HttpClient
from godwitrack_node.backend import BackendClient, TimedRequest
from godwitrack_node.instance import InstanceClient, InstanceRequest
from hostedfleet import RESOURCES, list_runs
from operatorsrows import make_config
from test_instance import RESET, ScriptedServer
from testcaller import Caller, make_request_headers, wait_for

WAIT_SECONDS = 5.0
PART_BYTES = 64 * 1024
PARTS = 64
PART_SECONDS = 0.004
# Long enough for an answer to come while later parts are being sent.
ANSWER_SECONDS = 0.05
BODY = b"a" * 3000
OWN_LINES = b"Godwitrack-Request-Id: r1\r\nGodwitrack-Server-Signature: signed\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + OWN_LINES
LENGTH = HEAD + b"Content-Length: 3000\r\n\r\n" + BODY
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\nbb8\r\n" + BODY + b"\r\n"
NO_LENGTH = HEAD + b"\r\n" + BODY
NO_LENGTH_CLOSE = HEAD + b"Connection: close\r\n\r\n" + BODY
OLD_VERSION = NO_LENGTH.replace(b"HTTP/1.1", b"HTTP/1.0")
# Input that the server has not read makes the kernel reset a connection that it closes.
CUT_ANSWERS = {
    "no length, reset": [NO_LENGTH, "reset"],
    "no length, reset later": [NO_LENGTH, ANSWER_SECONDS, "reset"],
    "no length, input unread": [NO_LENGTH, ANSWER_SECONDS, "close"],
    "no length but close, reset": [NO_LENGTH_CLOSE, "reset"],
    "no length but close, input unread": [NO_LENGTH_CLOSE, ANSWER_SECONDS, "close"],
    "HTTP/1.0, reset": [OLD_VERSION, "reset"],
    "no body yet, reset": [HEAD + b"\r\n", "reset"],
    "length, reset": [LENGTH[:-1], "reset"],
    "length, half-close": [LENGTH[:-1], "half-close"],
    "chunks, reset": [CHUNKS, "reset"],
    "chunks, half-close": [CHUNKS, "half-close"],
    "head, reset": [HEAD, "reset"],
    "head, half-close": [HEAD, "half-close"],
}
WHOLE_ANSWERS = {
    "no length, half-close": [NO_LENGTH, "half-close"],
    "no length but close, half-close": [NO_LENGTH_CLOSE, "half-close"],
    "HTTP/1.0, half-close": [OLD_VERSION, "half-close"],
    "length, half-close": [LENGTH, "half-close"],
    "chunks, half-close": [CHUNKS + b"0\r\n\r\n", "half-close"],
}
# libcurl may lose these; both are safe.
RESET_WHOLE_ANSWERS = {
    "length, reset": [LENGTH, "reset"],
    "length, input unread": [LENGTH, ANSWER_SECONDS, "close"],
    "chunks, reset": [CHUNKS + b"0\r\n\r\n", "reset"],
    "no length, end and reset": [NO_LENGTH, "end", "reset"],
}


class SlowUpload:
    """Parts of a body; all but the first come after the server ended its side."""

    def __init__(self, server):
        self._server = server
        self._parts = PARTS

    def read_more(self):
        assert self._server.closed.wait(WAIT_SECONDS)
        time.sleep(PART_SECONDS)
        self._parts -= 1
        return b"x" * PART_BYTES if self._parts >= 0 else b""


def upload_with_instance_client(server):
    """Return the body of the answer as the guard of a hosted node reads it."""
    client = InstanceClient(SystemClock(), server.address, 1)
    parts = SlowUpload(server)
    request = InstanceRequest(
        "POST", "/x", [], b"x" * PART_BYTES, -1, parts.read_more, False
    )
    deadline = SystemClock().read_monotonic() + WAIT_SECONDS
    return client.send(request, lambda item, is_first: True, deadline).body


def upload_with_backend_client(server):
    """Return the body of the answer as the guard of a stand-alone node reads it."""
    received = []
    parts = SlowUpload(server)
    request = TimedRequest(
        "POST", "/x", [], b"x" * PART_BYTES, -1, parts.read_more, WAIT_SECONDS
    )
    BackendClient(server.address, 1).send(request, lambda *head: None, received.append)
    return b"".join(received)


def upload_with_http_client(server):
    """Return the body of the answer as clients of the store read it."""
    client = HttpClient(WAIT_SECONDS)
    body = b"x" * PART_BYTES * PARTS
    return client.fetch("POST", f"http://{server.address}/x", body).body


UPLOADS = [
    upload_with_instance_client,
    upload_with_backend_client,
    upload_with_http_client,
]
LIBCURL_UPLOADS = UPLOADS[1:]


@pytest.mark.parametrize("script", CUT_ANSWERS.values(), ids=CUT_ANSWERS)
@pytest.mark.parametrize("upload", UPLOADS)
def test_an_early_answer_that_is_cut_is_no_answer(upload, script):
    """Guards against a part of an answer that callers get as a whole one (MIXED)."""
    server = ScriptedServer([script])
    with pytest.raises((RequestError, StoreError)) as caught:
        upload(server)
    if isinstance(caught.value, RequestError):
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize("script", WHOLE_ANSWERS.values(), ids=WHOLE_ANSWERS)
@pytest.mark.parametrize("upload", UPLOADS)
def test_an_early_answer_that_ends_well_is_whole(upload, script):
    assert upload(ScriptedServer([script])) == BODY


@pytest.mark.parametrize(
    "script", RESET_WHOLE_ANSWERS.values(), ids=RESET_WHOLE_ANSWERS
)
def test_an_early_answer_is_whole_although_a_reset_follows(script):
    assert upload_with_instance_client(ScriptedServer([script])) == BODY


@pytest.mark.parametrize(
    "script", RESET_WHOLE_ANSWERS.values(), ids=RESET_WHOLE_ANSWERS
)
@pytest.mark.parametrize("upload", LIBCURL_UPLOADS)
def test_an_early_answer_before_a_reset_is_whole_or_none(upload, script):
    try:
        assert upload(ScriptedServer([script])) == BODY
    except (RequestError, StoreError):
        pass


@pytest.fixture
def uploading_fleet(fleet):
    """A fleet that takes bodies too long to be held by the node that gets them."""
    size = PART_BYTES * PARTS
    fleet.store.put("op", "config", make_config(5, *RESOURCES, max_body_bytes=size))
    wait_for(
        lambda: all(
            machine.find("configurations").limits.body_bytes == size
            for machine in fleet.machines
        )
    )
    return fleet


def answer_and_end(answer, end):
    """Return a behave function of a FakeBackendServer for an early answer.

    Args:
        answer: Bytes to send.
        end: Function that ends the server's side of its socket.
    """

    def behave(request_id, connection, sock):
        sock.sendall(answer)
        time.sleep(ANSWER_SECONDS)
        end(sock)
        return False

    return behave


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def leave_input_unread(sock):
    sock.close()


def half_close(sock):
    sock.shutdown(socket.SHUT_WR)
    while sock.recv(PART_BYTES):
        pass


def upload(machine):
    """Send a long body slowly to a machine's node; return the Answer."""
    caller = Caller(machine.settings.callers)
    lines = ["POST /lamp/1 HTTP/1.1", "Host: h.example"]
    lines += [f"{name}: {value}" for name, value in make_request_headers("r1")]
    lines.append(f"Content-Length: {PART_BYTES * PARTS}")
    try:
        caller.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        for _ in range(PARTS):
            caller.sock.sendall(bytes(PART_BYTES))
            time.sleep(PART_SECONDS)
        return caller.read()
    finally:
        caller.close()


# Answer, end of the server's side, and the status that the caller gets.
EARLY_ANSWERS = {
    "no length, reset": (NO_LENGTH, reset, 502),
    "no length, input unread": (NO_LENGTH, leave_input_unread, 502),
    "no length but close, reset": (NO_LENGTH_CLOSE, reset, 502),
    "length, cut by a reset": (LENGTH[:-1], reset, 502),
    "chunks, cut by a reset": (CHUNKS, reset, 502),
    "no length, half-close": (NO_LENGTH, half_close, 200),
    "length, reset": (LENGTH, reset, 200),
}


@pytest.mark.parametrize("number", [1, 0], ids=["own node", "another node"])
@pytest.mark.parametrize(
    ("answer", "end", "status"), EARLY_ANSWERS.values(), ids=EARLY_ANSWERS
)
def test_a_caller_gets_an_early_answer_only_if_it_is_whole(
    uploading_fleet, answer, end, status, number
):
    """Guards against a part of an answer that callers get as a whole one (MIXED)."""
    fleet = uploading_fleet
    app = fleet.machines[1].app
    app.answers_early = True
    app.behave = answer_and_end(answer, end)
    found = upload(fleet.machines[number])
    assert found.status == status
    assert status != 200 or found.body == BODY
    assert list_runs(fleet, "r1") == ["i-1"]
