"""Combines the pieces of an answer's body into parts of a size worth sending."""

from godwitrack_node.pacing import PART_BYTES


class PartCollector:
    """Combines small pieces of an answer's body into parts of PART_BYTES.

    An answer that fits one part reaches the sink in a single call.

    Attributes:
        status: HTTP status, or 0 before the head.
        headers: Headers of the answer without the dropped ones.
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
    def is_fully_buffered(self):
        """Whether no part of the body was passed to the sink yet."""
        return not self._is_started

    def get_buffered_body(self):
        """Return the buffered part of the body, which stays buffered."""
        return b"".join(self._pieces)

    def receive_head(self, status, headers, length):
        """Store the head of the answer, without the headers to drop."""
        self.status = status
        self.headers = [
            item for item in headers if item[0].lower() not in self._drop_headers
        ]
        self._length = length

    def receive_body(self, data):
        """Buffer a piece of the body; writes a part to the sink once it is full."""
        self._pieces.append(data)
        self._size += len(data)
        if self._size >= PART_BYTES:
            self._flush(True)

    def finish(self):
        """Write the buffered rest to the sink as the last part."""
        self._flush(False)

    def _flush(self, more):
        body = b"".join(self._pieces)
        self._pieces, self._size = [], 0
        if self._is_started:
            self._sink.write(body, more)
            return
        self._is_started = True
        self._sink.start(self.status, self.headers, self._length, body, more)
