"""Sources of request bodies and sinks of answers, over HTTP and over links."""

import abc
import time

from godwitrack.callmessages import Answer, Chunk, Proceed
from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    LinkError,
    RequestError,
)
from godwitrack_node.pacing import PART_BYTES, REGIONAL_FIRST_BYTES

BODY_TIMEOUT_SECONDS = 20.0
NO_BODY_STATUSES = (204, 304)


class BodySource(abc.ABC):
    """Reads the parts of a request's body that follow the first one.

    Attributes:
        watch: Watch of the connection on which the request came, or None.
    """

    watch = None

    @abc.abstractmethod
    def read(self):
        """Return the next part, or empty bytes at the end.

        Raises:
            RequestError: The body is malformed or too large.
            CallerDisconnected: The connection ended before the body did.
        """

    def proceed(self):
        """Ask the sender for the rest of the body; does nothing by default."""

    def check_sender(self):
        """Check that the sender of the request still waits for its answer.

        A process that stood still reads requests whose senders gave up meanwhile.

        Raises:
            CallerDisconnected: The sender closed the connection.
        """
        if self.watch is not None and self.watch.is_disconnected():
            raise CallerDisconnected("the sender of the request left")


class AnswerSink(abc.ABC):
    """Writes an answer part by part.

    Attributes:
        is_started: Whether the head was sent, so that no other answer can follow.
    """

    is_started = False

    @abc.abstractmethod
    def start(self, status, headers, length, body, more):
        """Write the head and the first part of the body.

        Args:
            status: HTTP status.
            headers: List of pairs of texts.
            length: Length of the whole body in bytes, or -1 if not known.
            body: First part.
            more: Whether parts follow.
        """

    @abc.abstractmethod
    def write(self, body, more):
        """Write a further part of the body."""


class CallerSource(BodySource):
    """Reads a body that a caller sends over HTTP.

    Attributes:
        is_consumed: Whether a part was read that is not kept, so that the body can't
            be sent again.
    """

    def __init__(self, connection, limit):
        """Create a source for the body of one request.

        Args:
            connection: HttpConnection.
            limit: Maximum length of the body in bytes.
        """
        self._connection = connection
        self._remaining_bytes = limit
        self.watch = connection.watch
        self.is_consumed = False

    def keep(self, count):
        """Count bytes of a part that is kept.

        Raises:
            RequestError: NO_ROOM; bodies of other requests fill their budget.
        """
        self._connection.keep_body(count)

    def finish_keeping(self):
        """Note that no more parts are kept.

        Raises:
            RequestError: NO_ROOM; the body had to make room for others.
        """
        self._connection.finish_keeping()

    def read(self):
        """Return the next part of the caller's body; see BodySource.read."""
        self.is_consumed = True
        part = self._connection.read_body()
        self._remaining_bytes -= len(part)
        if self._remaining_bytes < 0:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        return part


class CallerSink(AnswerSink):
    """Writes an answer to a caller over HTTP and checks its length.

    A complete answer that a further attempt may replace is held back, and sent to
    the caller if no attempt gets a better one.

    Attributes:
        status: HTTP status sent to the caller, or 0.
    """

    def __init__(self, connection, request, request_id_header, may_replace):
        """Create a sink for the answer to one request.

        Args:
            connection: HttpConnection.
            request: HttpRequest.
            request_id_header: Pair of name and value to add, or None.
            may_replace: Function of a status that returns whether a further attempt
                may replace the answer.
        """
        self._may_replace = may_replace
        self._held_answer = None
        self._connection = connection
        self._request = request
        self._request_id_header = request_id_header
        self._remaining_bytes = None
        self.status = 0

    @property
    def is_started(self):
        """Whether the head was sent, so that no other answer can follow."""
        return self._connection.is_answered

    def start(self, status, headers, length, body, more):
        """Send the head and the first part, or hold a complete answer back.

        Raises:
            RequestError: BACKEND_FAILED; the answer is held back. ANSWER_LOST; its head
                is not valid or its body was cut short, and nothing was sent.
        """
        if not more and self._may_replace(status):
            self._held_answer = (status, headers, length, body)
            raise RequestError(ErrorKind.BACKEND_FAILED)
        self._send_head(status, headers, length, body, more)

    def send_held(self):
        """Send the answer that was held back; returns whether there was one."""
        if self._held_answer is None:
            return False
        self._send_head(*self._held_answer, False)
        self.drop_held()
        return True

    def drop_held(self):
        """Free the answer that was held back, if any."""
        self._held_answer = None

    def _send_head(self, status, headers, length, body, more):
        if self._request_id_header is not None:
            headers = [*headers, self._request_id_header]
        if self._request.method == "HEAD" or status in NO_BODY_STATUSES:
            if length >= 0 and status != 204:
                headers.append(("Content-Length", str(length)))
            self._start_answer(status, headers, None, b"")
            return
        if not more:
            if length >= 0 and length != len(body):
                raise RequestError(ErrorKind.ANSWER_LOST, "the answer was cut short")
            length = len(body)
        elif length >= 0:
            self._remaining_bytes = length - len(body)
        self._start_answer(status, headers, length, body)

    def write(self, body, more):
        """Send a further part; the last one must complete the announced length."""
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(body)
            if self._remaining_bytes < 0 or (not more and self._remaining_bytes > 0):
                raise RequestError(ErrorKind.ANSWER_LOST, "the answer was cut short")
        self._connection.write_answer(body)
        if not more:
            self._connection.end_answer()

    def _start_answer(self, status, headers, length, body):
        keep_alive = self._request.keep_alive
        # A long first part is sent apart from the head, so that it is not copied.
        first, rest = (body, b"") if len(body) <= PART_BYTES else (b"", body)
        self._connection.start_answer(status, headers, length, first, keep_alive)
        self.status = status
        if rest:
            self._connection.write_answer(rest)


class LinkSource(BodySource):
    """Reads the rest of a body that another node sends over a link."""

    def __init__(self, link):
        self._link = link
        self.watch = link.watch
        self._is_complete = False
        self._is_requested = False

    @property
    def is_open(self):
        """Whether the body was requested and not read to its end."""
        return self._is_requested and not self._is_complete

    def proceed(self):
        """Request the rest of the body from the other node."""
        self._is_requested = True
        self._link.send(Proceed(), BODY_TIMEOUT_SECONDS)

    def read(self):
        """Return the next part that the other node sends; see BodySource.read."""
        if self._is_complete:
            return b""
        try:
            message = self._link.receive(BODY_TIMEOUT_SECONDS)
        except LinkError as error:
            raise CallerDisconnected(str(error)) from None
        if type(message) is not Chunk:
            raise CallerDisconnected("the body broke off")
        self._is_complete = not message.more
        if message.more:
            self._acknowledge_part()
        return message.data

    def drop(self, message):
        """Drop a message if it is a part of the body that no one waits for any more.

        Returns:
            Whether it was dropped.
        """
        if type(message) is not Chunk or not self.is_open:
            return False
        self._is_complete = not message.more
        return True

    def drop_rest(self, timeout):
        """Read and drop what is left of a body that was answered before its end.

        The other node closes the link instead where it does not send the whole body.

        Args:
            timeout: Seconds to wait at most.

        Raises:
            LinkError: The link ended, or the end of the body did not come in time.
            CallerDisconnected: Something else came.
        """
        deadline = time.monotonic() + timeout
        while self.is_open:
            message = self._link.receive(max(deadline - time.monotonic(), 0.0))
            if not self.drop(message):
                raise CallerDisconnected("the body broke off")

    def _acknowledge_part(self):
        try:
            self._link.send(Proceed(), BODY_TIMEOUT_SECONDS)
        except LinkError as error:
            raise CallerDisconnected(str(error)) from None


class LinkSink(AnswerSink):
    """Sends an answer over a link."""

    def __init__(self, link, call, read_load, sender, clock):
        """Create a sink for the answer to one call.

        Args:
            link: Link on which the call came.
            call: Call.
            read_load: Function that returns the Load of the backend server.
            sender: PartSender for the parts after the first.
            clock: Clock.
        """
        self._link = link
        self._request_id = call.request_id
        self._first_bytes = REGIONAL_FIRST_BYTES if call.is_regional else PART_BYTES
        self._read_load = read_load
        self._sender = sender
        self._clock = clock
        self._due_at = clock.read_monotonic() + call.deadline_ms / 1000.0
        self.is_started = False

    def start(self, status, headers, length, body, more):
        """Send the head and the first part."""
        self.is_started = True
        load = self._read_load().to_data()
        first, rest = body[: self._first_bytes], body[self._first_bytes :]
        has_next = more or bool(rest)
        answer = Answer(
            self._request_id, status, headers, load, length, bytes(first), has_next
        )
        self._link.send(answer, BODY_TIMEOUT_SECONDS)
        if rest:
            self.write(rest, more)

    def write(self, body, more):
        """Send a further part."""
        deadline = self._clock.read_monotonic() + BODY_TIMEOUT_SECONDS
        message = self._sender.send(body, more, deadline, self._due_at)
        if message is None and not more:
            message = self._sender.finish(deadline)
        if message is not None:
            raise CallerDisconnected("the other node sent something else")


def read_first_part(source, request, limit=PART_BYTES):
    """Return the first part of a body and whether more may follow.

    Args:
        source: CallerSource.
        request: HttpRequest.
        limit: Bytes after which no more is read; the rest can be read later.

    Raises:
        RequestError: The body is malformed or too large, or NO_ROOM.
    """
    if request.length == 0:
        return b"", False
    # A list of small parts would take far more memory than their bytes.
    body, more = bytearray(), True
    while more and len(body) < limit:
        part = source.read()
        body += part
        source.keep(len(part))
        more = bool(part) and len(body) != request.length
    source.finish_keeping()
    return bytes(body), more
