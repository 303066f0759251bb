"""Tests of the limits on request heads in godwitrack_node.httpserver."""

import socket
import time

import pytest

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.routetable import CallerLimits
from godwitrack_node.httpserver import HttpConnection

HEADER_BYTES = 200
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


@pytest.mark.parametrize("is_split", [False, True], ids=["one piece", "two pieces"])
def test_a_body_does_not_count_as_head(is_split):
    """Guards against counting bytes of the body as bytes of the head.

    Seen as uploads refused with 431 (DENIED).
    """
    near, far = socket.socketpair()
    connection = HttpConnection(near, CallerLimits(HEADER_BYTES, 2**20, 3.0, 3.0))
    body = b"x" * (10 * HEADER_BYTES)
    for _ in range(3):
        far.sendall(HEAD % len(body) + (b"" if is_split else body))
        assert connection.read_request().length == len(body)
        if is_split:
            far.sendall(body)
        received = b""
        while part := connection.read_body():
            received += part
        assert received == body
    near.close()
    far.close()


@pytest.mark.parametrize("is_split", [False, True], ids=["one piece", "two pieces"])
def test_a_large_head_is_refused(is_split):
    near, far = socket.socketpair()
    connection = HttpConnection(near, CallerLimits(HEADER_BYTES, 2**20, 3.0, 3.0))
    far.sendall(b"GET /x HTTP/1.1\r\nLong: " + b"x" * (2 * HEADER_BYTES))
    if not is_split:
        far.sendall(b"\r\n\r\n")
    time.sleep(0.01)
    with pytest.raises(RequestError) as caught:
        connection.read_request()
    assert caught.value.kind is ErrorKind.HEAD_TOO_LARGE
    near.close()
    far.close()


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (0, []),
        (99, []),
        (101, []),
        (600, []),
        (-200, []),
        (200, [("X Y", "a")]),
        (200, [("", "a")]),
        (200, [("X", "a\r\nY: b")]),
        (200, [("X", "a\0b")]),
        (200, [("X", "\u0100")]),
    ],
)
def test_an_invalid_head_is_not_written(status, headers):
    """Guards against answers of any origin that callers can't read (MIXED)."""
    near, far = socket.socketpair()
    connection = HttpConnection(near)
    with pytest.raises(RequestError) as caught:
        connection.start_answer(status, headers, 2, b"ok")
    assert caught.value.kind is ErrorKind.ANSWER_LOST
    assert not connection.is_answered
    connection.start_answer(502, [("X", "a")], 0)
    assert far.recv(1000).startswith(b"HTTP/1.1 502 ")
    near.close()
    far.close()
