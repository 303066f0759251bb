"""Answers that are held until they are complete."""

MAX_HELD_ANSWER_BYTES = 2**20


class HeldAnswer:
    """Collects the parts of one answer and writes it to a sink once it is complete.

    While nothing was written, another attempt or an error can take the place of an
    answer that breaks off; afterwards, its connection can only be closed. An answer
    that is too long is written in parts. Used in a `with` block.
    """

    __slots__ = ("_budget", "_head", "_parts", "_size", "_sink")

    def __init__(self, sink, budget, status, headers, length, body):
        """Start with the first part of an answer.

        Args:
            sink: AnswerSink.
            budget: ByteBudget of all held answers.
            status: HTTP status.
            headers: List of pairs of texts.
            length: Length of the whole body in bytes, or -1 if not known.
            body: First part.
        """
        self._sink = sink
        self._budget = budget
        self._head = (status, headers, length)
        self._parts = []
        self._size = 0
        self._hold(body)

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self._release()

    def write(self, body, more):
        """Hold or write a further part.

        Args:
            body: The part.
            more: Whether parts follow.
        """
        if self._head is None:
            self._sink.write(body, more)
            return
        fits = self._hold(body)
        if more and fits:
            return
        head, self._head = self._head, None
        body = b"".join(self._parts)
        self._release()
        self._sink.start(*head, body, more)

    def _hold(self, body):
        """Hold a part; return whether the answer may be held for longer."""
        self._parts.append(body)
        self._size += len(body)
        fits = self._budget.reserve(len(body))
        return fits and self._size <= MAX_HELD_ANSWER_BYTES

    def _release(self):
        self._budget.release(self._size)
        self._parts, self._size = [], 0
