"""HTTP connections of callers: requests and bodies are read and sent in parts."""

import socket
import time
from http import HTTPStatus

from godwitrack.answerhead import check_head
from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    HeadError,
    RequestError,
)
from godwitrack.routetable import CallerLimits
from godwitrack.watch import Watch
from godwitrack_node.requestbudget import BodyShare, BudgetShare, RequestBudget
from godwitrack_node.requestreader import PIECE_BYTES, RequestReader

SHORT_RECEIVE_BYTES = PIECE_BYTES
BODY_RECEIVE_BYTES = 64 * 1024
IO_TIMEOUT_SECONDS = 20.0
# Time for the client to read its last answer and to close its side.
LINGER_SECONDS = 2.0
MAX_DISCARD_BYTES = 256 * 1024
# Heads that arrive in one part of at most this size need no share of the budget.
SMALL_BYTES = 512
BUDGET_RETRY_SECONDS = 1.0

HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)

DEFAULT_LIMITS = CallerLimits()

_REASONS = {status.value: status.phrase for status in HTTPStatus}


class HttpConnection:
    """One caller's connection; used by one thread.

    Attributes:
        remote_host: IP address of the caller, or "" if it is not known.
    """

    def __init__(self, sock, limits=DEFAULT_LIMITS, remote="", budget=None):
        """Wrap an accepted socket.

        Args:
            sock: The socket.
            limits: CallerLimits for the requests.
            remote: "host:port" of the caller.
            budget: RequestBudget of all connections; by default one of its own.
        """
        self._budget = budget or RequestBudget()
        self._head_share = BudgetShare(self._budget.heads)
        self._body_share = BodyShare(self._budget.bodies, sock)
        self._kept_bytes = 0
        self._must_count = False
        self._is_refused = False
        self.remote_host = remote.rpartition(":")[0]
        self._socket = sock
        self._limits = limits
        self._reader = RequestReader(limits.header_bytes)
        self._body_done = True
        self._expects_continue = False
        self._chunked = False
        self._answer_started = False

    @property
    def watch(self):
        """A new Watch that detects when the caller disconnects."""
        return Watch(self._socket)

    @property
    def is_answered(self):
        """Whether the head of the current request's answer was sent."""
        return self._answer_started

    @property
    def is_broken(self):
        """Whether no further request can follow on the connection."""
        return (
            self._reader.failure is not None
            or self._is_refused
            or self._body_share.is_withdrawn
        )

    def read_request(self):
        """Return the next HttpRequest, or None if the connection ended or stayed idle.

        Raises:
            RequestError: The head is malformed, too large or too slow, or others hold
                all bytes of the budget.
        """
        self._answer_started = False
        self._body_done = False
        if self._kept_bytes:
            self._release_body()
        timeout = self._limits.idle_seconds
        deadline = None
        while (request := self._reader.pop()) is None:
            if not self._receive(timeout):
                if deadline is not None and time.monotonic() >= deadline:
                    raise RequestError(ErrorKind.HEAD_TIMEOUT)
                return None
            if deadline is None:
                deadline = time.monotonic() + self._limits.header_seconds
            timeout = max(deadline - time.monotonic(), 0.001)
            if self._reader.head_bytes:
                self._hold_heads(0)
        if self._must_count:
            self._hold_heads(request.held_bytes)
        self._expects_continue = (
            request.length != 0 and request.get("expect").lower() == "100-continue"
        )
        return request

    def read_body(self):
        """Return the next part of the body, or empty bytes at its end.

        Raises:
            CallerDisconnected: The connection ended, or sent nothing for
                IO_TIMEOUT_SECONDS, before the end of the body.
            RequestError: The body is malformed, has too much framing, or must make room
                for others.
        """
        if self._body_done:
            return b""
        if self._expects_continue:
            self._expects_continue = False
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        while (part := self._reader.pop()) is None:
            if not self._receive(IO_TIMEOUT_SECONDS):
                if self._body_share.is_withdrawn:
                    self._refuse_body()
                raise CallerDisconnected("the body is shorter than announced")
        if not part:
            self._body_done = True
        return bytes(part)

    def keep_body(self, count):
        """Count bytes of the body that stay in memory until the next request is read.

        Args:
            count: Bytes of a part that was read.

        Raises:
            RequestError: NO_ROOM; the connection must be closed.
        """
        self._kept_bytes += count
        if not self._budget.hold_body(self._body_share, self._kept_bytes):
            self._is_refused = True
            self._refuse_body()

    def finish_keeping(self):
        """Note that no more of the body is kept, so that it is not refused any more.

        Raises:
            RequestError: NO_ROOM; the connection must be closed.
        """
        if self._kept_bytes:
            self._budget.finish_body(self._body_share)
            if self._body_share.is_withdrawn:
                self._refuse_body()

    def _refuse_body(self):
        raise RequestError(
            ErrorKind.NO_ROOM,
            "other requests fill the memory for bodies",
            BUDGET_RETRY_SECONDS,
        )

    def skip_body(self):
        """Discard the rest of a short body; return whether all of it was read."""
        if self._expects_continue and not self._body_done:
            # The caller still waits for 100 Continue before it sends the body.
            return False
        discarded = 0
        while not self._body_done:
            try:
                discarded += len(self.read_body())
            except (CallerDisconnected, RequestError):
                return False
            if discarded > MAX_DISCARD_BYTES:
                return False
        return True

    def start_answer(self, status, headers, length, body=b"", keep_alive=True):
        """Send the head of an answer, with the first part of its body.

        Args:
            status: HTTP status.
            headers: List of pairs of name and value, without hop-by-hop headers.
            length: Bytes of the whole body, -1 to send it in chunks, or None for an
                answer that has no body at all, such as one to HEAD.
            body: First part of the body.
            keep_alive: Whether the connection stays open afterwards.

        Raises:
            RequestError: ANSWER_LOST; the head is not valid, and nothing was sent.
            CallerDisconnected: The caller closed the connection.
        """
        try:
            check_head(status, headers)
        except HeadError as error:
            raise RequestError(ErrorKind.ANSWER_LOST, str(error)) from None
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        self._chunked = length == -1
        if self._chunked:
            lines.append("Transfer-Encoding: chunked")
        elif length is not None:
            lines.append(f"Content-Length: {length}")
        if not keep_alive:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        self._answer_started = True
        self._send(head + self._encode_part(body))

    def write_answer(self, body):
        """Send a further part of the body."""
        self._send(self._encode_part(body))

    def end_answer(self):
        """Send the end of the body."""
        if self._chunked:
            self._send(b"0\r\n\r\n")

    def close(self):
        """Drop what was received; the socket stays open."""
        self._release_body()
        self._head_share.hold(0)
        self._reader.close()

    def end(self):
        """End the connection after its last answer, so that the client gets that."""
        self.close()
        self._linger()

    def _linger(self):
        """Read on for a while after the last answer.

        Closing a socket with unread bytes resets the connection, which takes along what
        the client has not read yet. So what the client still sends is read and dropped.
        """
        if not self._answer_started:
            return
        deadline = time.monotonic() + LINGER_SECONDS
        try:
            self._socket.shutdown(socket.SHUT_WR)
            while (remaining := deadline - time.monotonic()) > 0:
                self._socket.settimeout(remaining)
                if not self._socket.recv(BODY_RECEIVE_BYTES):
                    return
        except OSError:
            return

    def _release_body(self):
        self._kept_bytes = 0
        self._budget.drop_body(self._body_share)

    def _hold_heads(self, request_bytes):
        """Count what is held of heads in the budget.

        Args:
            request_bytes: Estimated memory of the head that was read.

        Raises:
            RequestError: NO_ROOM; the connection must be closed.
        """
        unread_bytes = self._reader.held_bytes
        has_room = self._head_share.hold(request_bytes + unread_bytes)
        self._must_count = unread_bytes > 0 or self._head_share.reserved_bytes > 0
        if not has_room:
            raise RequestError(
                ErrorKind.NO_ROOM,
                "other requests fill the memory for heads",
                BUDGET_RETRY_SECONDS,
            )

    def _receive(self, timeout):
        """Read the next bytes; return False if none came before the timeout or end."""
        # Connections without a share of the budget hold little.
        has_share = self._body_share.reserved_bytes > 0
        size = BODY_RECEIVE_BYTES if has_share else SHORT_RECEIVE_BYTES
        try:
            self._socket.settimeout(timeout)
            data = self._socket.recv(size)
        except OSError:
            return False
        if not data:
            return False
        if len(data) > SMALL_BYTES:
            self._must_count = True
        self._reader.feed(data)
        return True

    def _encode_part(self, body):
        if not self._chunked or not body:
            return body
        return b"%x\r\n%b\r\n" % (len(body), body)

    def _send(self, data):
        try:
            self._socket.settimeout(IO_TIMEOUT_SECONDS)
            self._socket.sendall(data)
        except OSError as error:
            raise CallerDisconnected(str(error)) from None
