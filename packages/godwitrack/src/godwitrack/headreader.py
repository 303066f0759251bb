"""Reads the heads of a response from the lines that libcurl passes on.

libcurl joins folded lines and works out where a body ends. It passes on lines that are
no valid fields, and takes the end of a connection for the end of a head.
"""

from godwitrack.answerhead import (
    FINAL_STATUSES,
    parse_field_line,
    parse_status_line,
)
from godwitrack.exceptions import HeadError

# The line that ends a head; a part of it ends nothing.
HEAD_ENDS = (b"\r\n", b"\n")
# Status lines, headers and trailers of all answers to one request.
MAX_HEAD_BYTES = 256 * 1024
MAX_HEAD_LINES = 1000


class HeadReader:
    """Checks and bounds the heads and trailers of all answers to one request.

    Attributes:
        status: Status of the latest head, or 0 before there is one.
        headers: Fields of the latest head, as lists of name and value.
        received_bytes: Bytes of all heads and trailers so far.
        is_complete: Whether the head of the final answer ended.
    """

    __slots__ = (
        "_is_in_head",
        "_lines",
        "headers",
        "is_complete",
        "received_bytes",
        "status",
    )

    def __init__(self):
        self._is_in_head = False
        self._lines = 0
        self.status = 0
        self.headers = []
        self.received_bytes = 0
        self.is_complete = False

    def read_line(self, line):
        """Read the next line of a head or trailer.

        Args:
            line: Bytes with the end of the line.

        Raises:
            HeadError: The line is not valid, or there are too many.
        """
        self.received_bytes += len(line)
        self._lines += 1
        if self.received_bytes > MAX_HEAD_BYTES or self._lines > MAX_HEAD_LINES:
            raise HeadError("the head of the answer is too large")
        if line in HEAD_ENDS:
            self._is_in_head = False
            self.is_complete = self.status in FINAL_STATUSES
        elif self._is_in_head:
            self.headers.append(parse_field_line(line))
        elif self.is_complete:
            # Trailers belong to no head.
            parse_field_line(line)
        else:
            self.status = parse_status_line(line)
            self.headers = []
            self._is_in_head = True

    def get(self, name):
        """Return the value of the last header with a name in lower case, or ""."""
        for found, value in reversed(self.headers):
            if found.lower() == name:
                return value
        return ""
