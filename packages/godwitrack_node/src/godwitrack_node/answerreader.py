"""Parser of the backend server's answers, which bounds what they take in memory."""

import httptools

from godwitrack.answerhead import check_status
from godwitrack.bytebudget import SMALL_BYTES
from godwitrack.exceptions import ErrorKind, HeadError, RequestError
from godwitrack.numbers import parse_whole_number
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.heldbody import HeldBody

# A body of this size is read even if others have used up the budget.
MIN_BODY_BYTES = SMALL_BYTES
# A smaller body is not worth memory of its own, and fits the buffer of its caller's
# connection.
MIN_HELD_BYTES = 64 * 1024
# A body that no one needs is read up to this size, so that the connection can go on.
MAX_DROPPED_BYTES = 256 * 1024
# For this time, a body that does not fit in the budget stays with its sender.
ROOM_WAIT_SECONDS = 1.0
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Heads, trailers and informational answers of one exchange.
MAX_HEAD_BYTES = 256 * 1024
# Each takes many times its bytes in memory.
MAX_HEADERS = 1000
# Bytes of framing for each byte of a body that is sent in chunks.
MAX_CHUNK_OVERHEAD = 1
# The parser also takes answers of HTTP/0.9, HTTP/2.0, RTSP and ICE.
VERSIONS = ("1.1", "1.0")
PROTOCOL_START = b"H"


class AnswerReader:
    """Parses bytes into answers; the parser calls the `on_` methods.

    Attributes:
        must_close: Whether the connection can't be reused, because it ended or held
            anything but the expected answer.
    """

    def __init__(self, method, budget, keeps_body=True, compute_remaining=None):
        """Create a reader for one exchange.

        Args:
            method: HTTP method of the request.
            budget: ByteBudget that all exchanges share.
            keeps_body: Whether the bodies of answers are needed; if not, answers have
                an empty body.
            compute_remaining: Function that returns the seconds until the exchange
                must end, or None if there is no deadline.
        """
        self._method = method
        self._compute_remaining = compute_remaining
        self._budget = budget
        self._max_bytes = budget.max_bytes
        self._keeps_body = keeps_body
        self._received_bytes = 0
        self._body_bytes = 0
        self._small_bytes = 0
        self._counted_bytes = 0
        self._answers = []
        self._failure_detail = ""
        self._awaits_start = True
        self._begin()
        self.must_close = False

    def pop_answer(self):
        """Return the next complete HttpAnswer, or None.

        Raises:
            RequestError: No further answer can follow.
        """
        if self._answers:
            return self._answers.pop(0)
        if self._failure_detail:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, self._failure_detail)
        return None

    def feed(self, data):
        """Parse bytes from the backend server; bytes without end are an error."""
        if self._awaits_start:
            self._check_start(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the answer is not HTTP: {error}")
        self._received_bytes += len(data)
        # A small answer that came at once is popped before it would be counted.
        if not self._answers or self._body_bytes > MIN_BODY_BYTES:
            self._count_bodies()
        other_bytes = self._received_bytes - self._body_bytes
        if other_bytes > MAX_HEAD_BYTES + MAX_CHUNK_OVERHEAD * self._body_bytes:
            self._fail("the head of the answer is too large")

    def close(self):
        """Free what was not popped."""
        if self._counted_bytes:
            self._budget.release(self._counted_bytes)
            self._counted_bytes = 0
        # The exchange refers to its reader, and may have a large request.
        self._compute_remaining = None
        # The parser refers back to the reader, so that both would stay in memory until
        # the garbage collector runs.
        self._parser = self._held = None
        self._answers = []

    def feed_eof(self):
        """Handle the end of the connection, which ends an answer of unstated length."""
        if self._has_head and not self._is_framed:
            self._complete()
        self._fail("the answer broke off")

    def on_message_begin(self):
        """Start an answer; called by the parser."""
        self._awaits_start = False
        if self._answers:
            self.must_close = True
        self._reset()

    def on_header(self, name, value):
        """Record a header; called by the parser."""
        if len(self._headers) >= MAX_HEADERS:
            self._fail("the answer has too many headers")
            return
        name, value = name.decode("latin-1"), value.decode("latin-1")
        self._headers.append([name, value])
        lower_name = name.lower()
        if lower_name == "transfer-encoding":
            self._is_framed = True
        elif lower_name == "content-length":
            self._is_framed = True
            self._length = parse_whole_number(value.strip())

    def on_headers_complete(self):
        """Check the first line after the last header; called by the parser."""
        self._has_head = True
        self._status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if version not in VERSIONS:
            self._fail(f"the answer has the version {version} of HTTP")
        try:
            # The parser takes any three digits.
            check_status(self._status)
        except HeadError as error:
            self._fail(str(error))
        if self._failure_detail:
            return
        if self._method == "HEAD" and self._status >= 200:
            self._complete()
        elif self._length and self._length > MIN_HELD_BYTES:
            self._prepare_body(self._length)

    def on_body(self, body):
        """Record a part of the body; called by the parser."""
        self._body_bytes += len(body)
        if self._failure_detail:
            return
        if not self._keeps_body:
            if self._body_bytes > MAX_DROPPED_BYTES:
                self._fail("a body that is not needed is too large")
            return
        size = len(self._body) + len(body)
        if self._held is None and size <= MIN_HELD_BYTES:
            self._small_bytes += len(body)
            if size == len(body):
                self._body = body
            else:
                self._join(body)
        else:
            self._hold(body)

    def on_message_complete(self):
        """Complete the answer; called by the parser."""
        self._awaits_start = True
        if self._has_head and self._method != "HEAD":
            self._complete()

    def _begin(self):
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def _check_start(self, data):
        """Check the first byte of an answer, as the parser knows other protocols."""
        start = data.lstrip(b"\r\n")[:1]
        if start and start != PROTOCOL_START:
            self._fail(f"the answer is not HTTP: it begins with {start!r}")

    def _count_bodies(self):
        """Count the small bodies; fail if all bodies are too large."""
        fits = self._budget.reserve(self._small_bytes - self._counted_bytes)
        self._counted_bytes = self._small_bytes
        is_large = self._body_bytes > MIN_BODY_BYTES and not self._held
        if self._body_bytes > self._max_bytes or (is_large and not fits):
            self._fail("the bodies of the answers are too large")

    def _reset(self):
        self._status = 0
        self._headers = []
        self._body = b""
        self._held = None
        self._length = None
        self._has_head = False
        self._is_framed = False

    def _prepare_body(self, length):
        """Set memory aside for a body of a stated length, or fail."""
        if self._status < 200 or self._status in STATUSES_WITHOUT_BODY:
            return
        if not self._keeps_body:
            if length > MAX_DROPPED_BYTES:
                self._fail(f"a body that is not needed has {length} bytes")
        elif not self._budget.reserve_whole(length, self._compute_room_wait()):
            self._fail(f"no memory is left for a body of {length} bytes")
        else:
            self._held = self._create_body(length)

    def _compute_room_wait(self):
        """Return the seconds for which a body may wait for memory."""
        if self._compute_remaining is None:
            return ROOM_WAIT_SECONDS
        return min(ROOM_WAIT_SECONDS, self._compute_remaining())

    def _create_body(self, length):
        """Return the HeldBody of a reserved length."""
        try:
            return HeldBody(self._budget, length)
        except OSError:
            self._budget.release(length)
            raise

    def _join(self, body):
        """Append to a body of several small parts."""
        if type(self._body) is bytes:
            self._body = bytearray(self._body)
        self._body += body

    def _hold(self, body):
        """Append to a body with memory of its own."""
        if self._held is None:
            self._held = HeldBody(self._budget, -1)
            self._small_bytes -= len(self._body)
            body, self._body = bytes(self._body) + body, b""
        if not self._held.append(body):
            self._held = None
            self._fail("the bodies of the answers are too large")

    def _complete(self):
        if self._failure_detail:
            return
        body = bytes(self._body) if self._held is None else self._held.finish()
        self._answers.append(HttpAnswer(self._status, self._headers, body))
        # What follows belongs to no answer until the next one begins.
        self._has_head = False
        self._headers = []
        self._body, self._held = b"", None

    def _fail(self, detail):
        self.must_close = True
        self._failure_detail = self._failure_detail or detail
