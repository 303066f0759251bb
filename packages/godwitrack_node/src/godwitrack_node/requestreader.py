"""Parser of HTTP requests, which bounds what one connection holds in memory."""

import collections

import httptools

from godwitrack.exceptions import ErrorKind, RequestError

# Lines of one head, since each takes far more memory than its bytes.
MAX_HEADER_LINES = 1024
# Bytes of a start line and of the end of a head, which count only in unfinished heads.
START_LINE_BYTES = 128
# Chunk sizes, extensions and trailers may take these bytes for each chunk, and for each
# byte of the body, beyond what a head may take.
FRAMING_BYTES_PER_CHUNK = 32
FRAMING_BYTES_PER_BODY_BYTE = 2
# The parser gets this much at once, so that a piece holds few pipelined requests.
PIECE_BYTES = 8 * 1024
# Memory of a parsed request and of a parsed header beside their bytes.
REQUEST_BYTES = 600
HEADER_BYTES = 200


class HttpRequest:
    """Head of a caller's request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: List of pairs of lower-case name and value.
        length: Bytes of the body, or -1 if it is sent in chunks.
        keep_alive: Whether the connection may serve another request.
        held_bytes: Estimated memory of the head.
    """

    __slots__ = ("headers", "held_bytes", "keep_alive", "length", "method", "target")

    def __init__(self, method, target, headers, length, keep_alive):
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.keep_alive = keep_alive
        self.held_bytes = 0

    def get(self, name, default=""):
        """Return the first value of a header.

        Args:
            name: Lower-case name.
            default: Value where the header is missing.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default


class RequestReader:
    """Parses bytes into requests and bodies; the parser calls the `on_` methods.

    Bytes without end are an error, whichever part of a request they belong to.

    Attributes:
        head_bytes: Bytes of an unfinished head, 0 where there is none.
        failure: RequestError that follows the last event, or None.
        is_in_body: Whether the next bytes belong to a body.
    """

    def __init__(self, header_bytes):
        """Create a reader for one connection.

        Args:
            header_bytes: Largest size of a head, and of trailers.
        """
        self._header_bytes = header_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._events = collections.deque()
        self._unparsed = b""
        self._head_count = 0
        self.head_bytes = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self._chunks = 0
        self._target = b""
        self._headers = []
        self.is_in_body = False
        self.failure = None

    @property
    def held_bytes(self):
        """Estimated memory of unread requests and of unfinished or unparsed bytes."""
        size = len(self._unparsed) + self.head_bytes
        if self.head_bytes:
            size += HEADER_BYTES * len(self._headers)
        for event in self._events:
            size += event.held_bytes if type(event) is HttpRequest else len(event)
        return size

    def pop(self):
        """Return the next event, or None if more bytes are needed.

        Returns:
            An HttpRequest, bytes of its body, or empty bytes for the end of the body.

        Raises:
            RequestError: The bytes after the last event are no acceptable request.
        """
        if self._events:
            return self._events.popleft()
        if self._unparsed:
            self._parse()
            return self.pop()
        if self.failure is not None:
            raise self.failure
        return None

    def feed(self, data):
        """Parse bytes, once `pop` has returned None.

        What follows the piece with a complete head waits until that head was read.

        Args:
            data: Bytes.
        """
        if len(data) <= PIECE_BYTES:
            self._feed_piece(data)
            return
        self._unparsed = data
        self._parse()

    def close(self):
        """Drop all bytes, and the cycles of references with parser and traceback."""
        self._parser = None
        self.failure = None
        self._events.clear()
        self._unparsed = b""

    def on_message_begin(self):
        """Start a request; called by the parser."""
        self._target = b""
        self._headers = []

    def on_url(self, url):
        """Append a part of the target; called by the parser."""
        self._target += url

    def on_header(self, name, value):
        """Record a header, but no trailer; called by the parser."""
        if not self.is_in_body:
            self._headers.append(
                (name.decode("latin-1").lower(), value.decode("latin-1"))
            )

    def on_headers_complete(self):
        """Enqueue the head of the request; called by the parser."""
        self.is_in_body = True
        self._head_count += 1
        self.head_bytes = 0
        self._framing_bytes = 0
        if self.failure is not None:
            return
        size, length = len(self._target), 0
        for name, value in self._headers:
            size += len(name) + len(value) + 4
            if name == "transfer-encoding":
                length = -1
            elif name == "content-length" and length == 0:
                length = int(value)
        if size > self._header_bytes or len(self._headers) > MAX_HEADER_LINES:
            self._fail(ErrorKind.HEAD_TOO_LARGE)
            return
        request = HttpRequest(
            self._parser.get_method().decode(),
            self._target.decode("latin-1"),
            self._headers,
            length,
            self._parser.should_keep_alive(),
        )
        request.held_bytes = size + REQUEST_BYTES + HEADER_BYTES * len(self._headers)
        self._events.append(request)

    def on_chunk_header(self):
        """Count a chunk; called by the parser."""
        self._chunks += 1

    def on_body(self, body):
        """Enqueue a part of the body, joined with an unread one; called by the parser.

        Small parts take far more memory than their bytes.
        """
        if self.failure is not None:
            return
        self._body_bytes += len(body)
        events = self._events
        if not events or type(events[-1]) is HttpRequest or not events[-1]:
            events.append(body)
        elif type(events[-1]) is bytearray:
            events[-1] += body
        else:
            events[-1] = bytearray(events[-1]) + body

    def on_message_complete(self):
        """Enqueue the end of the body; called by the parser."""
        self.is_in_body = False
        if self.failure is None:
            self._events.append(b"")

    def _parse(self):
        """Parse the bytes that wait, up to the end of the piece with a request."""
        view, offset, head_count = memoryview(self._unparsed), 0, self._head_count
        while offset < len(view) and head_count == self._head_count:
            piece = view[offset : offset + PIECE_BYTES]
            offset += len(piece)
            self._feed_piece(piece)
        self._unparsed = self._unparsed[offset:] if self.failure is None else b""

    def _feed_piece(self, data):
        if self.failure is not None:
            return
        was_in_body, head_count = self.is_in_body, self._head_count
        if was_in_body:
            self._body_bytes = self._chunks = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(ErrorKind.BAD_REQUEST, "upgrades are not served")
        except (httptools.HttpParserError, ValueError) as error:
            self._fail(ErrorKind.BAD_REQUEST, f"not HTTP: {error}")
        if head_count != self._head_count:
            return
        if was_in_body:
            self._count_framing(len(data) - self._body_bytes)
        else:
            # The head is still incomplete, so that all of the data belongs to it.
            self.head_bytes += len(data)
            if (
                self.head_bytes > self._header_bytes + START_LINE_BYTES
                or len(self._headers) > MAX_HEADER_LINES
            ):
                self._fail(ErrorKind.HEAD_TOO_LARGE)

    def _count_framing(self, count):
        """Count bytes after a head that belong to no body."""
        if not self.is_in_body:
            return
        allowed = (
            FRAMING_BYTES_PER_CHUNK * self._chunks
            + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        )
        self._framing_bytes = max(self._framing_bytes + count - allowed, 0)
        if self._framing_bytes > self._header_bytes:
            self._fail(
                ErrorKind.BODY_TOO_LARGE,
                f"more than {self._header_bytes} bytes of chunk framing or trailers",
            )

    def _fail(self, kind, detail=""):
        if self.failure is None:
            self.failure = RequestError(kind, detail)
