"""Where a request's body comes from and where its answer goes."""

import abc

from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    LinkError,
    RequestError,
)
from godwitrack.messages import Answer, Chunk, Proceed
from godwitrack_node.pacing import PART_BYTES, REGIONAL_FIRST_BYTES

BODY_TIMEOUT_SECONDS = 20.0
NO_BODY_STATUSES = (204, 304)


class BodySource(abc.ABC):
    """Gives the parts of a request's body that follow the first one.

    Attributes:
        watch: Watch of the connection on which the request came, or None.
    """

    watch = None

    @abc.abstractmethod
    def read(self):
        """Return the next part, or empty bytes at the end.

        Raises:
            RequestError: The body broke off.
        """

    def proceed(self):
        """Tell the sender that the rest of the body is wanted now."""


class AnswerSink(abc.ABC):
    """Takes an answer.

    Attributes:
        is_started: Whether the head went out, so that nothing else can be sent.
    """

    is_started = False

    @abc.abstractmethod
    def start(self, status, headers, length, body, more):
        """Take the head and the first part of the body.

        Args:
            status: HTTP status.
            headers: List of pairs of texts.
            length: Bytes of the whole body, or -1 if not known.
            body: First part.
            more: Whether parts follow.
        """

    @abc.abstractmethod
    def write(self, body, more):
        """Take a further part of the body."""


class CallerSource(BodySource):
    """The rest of a body that a caller sends over HTTP.

    Attributes:
        is_touched: Whether any part was read, so that it can't be read again.
    """

    def __init__(self, connection, limit):
        self._connection = connection
        self._left = limit
        self.watch = connection.watch
        self.is_touched = False

    def read(self):
        """Return the next part that the caller sent."""
        self.is_touched = True
        part = self._connection.read_body()
        self._left -= len(part)
        if self._left < 0:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        return part


class CallerSink(AnswerSink):
    """Writes an answer to a caller over HTTP and checks that it is whole.

    A whole answer that a further attempt may replace is held back, and given to
    the caller if no better one comes.
    """

    def __init__(self, connection, request, request_id_header, may_repeat):
        """Prepare for one caller's answer.

        Args:
            connection: HttpConnection.
            request: HttpRequest.
            request_id_header: Pair of name and value to add, or None.
            may_repeat: Function of a status that tells whether a further attempt
                may replace the answer.
        """
        self._may_repeat = may_repeat
        self._held = None
        self._connection = connection
        self._request = request
        self._request_id_header = request_id_header
        self._left = None
        self.is_started = False
        self.status = 0

    def start(self, status, headers, length, body, more):
        """Send the head and the first part, or hold the whole back.

        Raises:
            RequestError: BACKEND_FAILED; the answer is held back.
        """
        if not more and self._may_repeat(status):
            self._held = (status, headers, length, body)
            raise RequestError(ErrorKind.BACKEND_FAILED)
        self._send_first(status, headers, length, body, more)

    def release_held(self):
        """Send the answer that was held back; returns whether there was one."""
        if self._held is None:
            return False
        self._send_first(*self._held, False)
        return True

    def _send_first(self, status, headers, length, body, more):
        self.is_started = True
        self.status = status
        if self._request_id_header is not None:
            headers = [*headers, self._request_id_header]
        if self._request.method == "HEAD" or status in NO_BODY_STATUSES:
            if length >= 0 and status != 204:
                headers.append(("Content-Length", str(length)))
            self._begin(status, headers, None, b"")
            return
        if not more:
            if length >= 0 and length != len(body):
                self.is_started = False
                raise RequestError(ErrorKind.ANSWER_LOST, "the answer was cut short")
            length = len(body)
        elif length >= 0:
            self._left = length - len(body)
        self._begin(status, headers, length, body)

    def write(self, body, more):
        """Send a further part; the last one must complete the length."""
        if self._left is not None:
            self._left -= len(body)
            if self._left < 0 or (not more and self._left > 0):
                raise RequestError(ErrorKind.ANSWER_LOST, "the answer was cut short")
        self._connection.write_answer(body)
        if not more:
            self._connection.end_answer()

    def _begin(self, status, headers, length, body):
        self._connection.start_answer(
            status, headers, length, body, self._request.keep_alive
        )


class LinkSource(BodySource):
    """The rest of a body that another node sends over a link."""

    def __init__(self, link):
        self._link = link
        self.watch = link.watch
        self._is_done = False
        self._is_begun = False

    @property
    def is_open(self):
        """Whether parts that were asked for have not been read."""
        return self._is_begun and not self._is_done

    def proceed(self):
        """Ask the other node for the rest."""
        self._is_begun = True
        self._link.send(Proceed(), BODY_TIMEOUT_SECONDS)

    def read(self):
        """Return the next part that the other node sent."""
        if self._is_done:
            return b""
        try:
            message = self._link.receive(BODY_TIMEOUT_SECONDS)
        except LinkError as error:
            raise CallerDisconnected(str(error)) from None
        if type(message) is not Chunk:
            raise CallerDisconnected("the body broke off")
        self._is_done = not message.more
        if message.more:
            self._confirm_part()
        return message.data

    def _confirm_part(self):
        try:
            self._link.send(Proceed(), BODY_TIMEOUT_SECONDS)
        except LinkError as error:
            raise CallerDisconnected(str(error)) from None


class LinkSink(AnswerSink):
    """Sends an answer over a link."""

    def __init__(self, link, call, read_load, sender, clock):
        """Prepare for one answer.

        Args:
            link: Link on which the call came.
            call: Call.
            read_load: Function that returns the Load of the backend server.
            sender: PartSender for what follows the first part.
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
        if self._sender.send(body, more, deadline, self._due_at) is not None:
            raise CallerDisconnected("the other node sent something else")


class PartCollector:
    """Gathers small pieces of a body into parts of PART_BYTES.

    Where the whole answer fits one part, the sink gets it at once.

    Attributes:
        status: HTTP status, or 0 before the head.
        headers: Headers of the answer without those of the connection.
    """

    def __init__(self, sink, drop_headers):
        self._sink = sink
        self._drop_headers = drop_headers
        self._pieces = []
        self._size = 0
        self._length = -1
        self._is_started = False
        self.status = 0
        self.headers = []

    @property
    def has_whole(self):
        """Whether nothing was handed over yet, so that all parts are here."""
        return not self._is_started

    def peek_whole(self):
        """Return the body as far as it was not handed over."""
        return b"".join(self._pieces)

    def take_head(self, status, headers, length):
        """Take the head of the answer."""
        self.status = status
        self.headers = [
            item for item in headers if item[0].lower() not in self._drop_headers
        ]
        self._length = length

    def take_body(self, data):
        """Take a piece of the body."""
        self._pieces.append(data)
        self._size += len(data)
        if self._size >= PART_BYTES:
            self._flush(True)

    def finish(self):
        """Hand over what is left."""
        self._flush(False)

    def _flush(self, more):
        body = b"".join(self._pieces)
        self._pieces, self._size = [], 0
        if self._is_started:
            self._sink.write(body, more)
            return
        self._is_started = True
        self._sink.start(self.status, self.headers, self._length, body, more)


def read_first_part(source, request, limit=PART_BYTES):
    """Return the first part of a body and whether more may follow.

    Args:
        source: CallerSource.
        request: HttpRequest.
        limit: Bytes after which the rest is left to be read later.
    """
    if request.length == 0:
        return b"", False
    parts, size = [], 0
    while size < limit:
        part = source.read()
        if not part:
            return b"".join(parts), False
        parts.append(part)
        size += len(part)
        if size == request.length:
            return b"".join(parts), False
    return b"".join(parts), True
