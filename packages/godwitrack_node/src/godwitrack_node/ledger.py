"""Ledger of the requests that started here, so that none runs twice."""

import collections
import enum
import threading

from godwitrack.exceptions import DuplicateRequest, ErrorKind, RequestError

RETENTION_SECONDS = 600
MAX_KEPT_BODY_BYTES = 64 * 1024
MAX_KEPT_TOTAL_BYTES = 32 * 2**20


class OutcomeState(enum.Enum):
    """State of a request, as a node reports it.

    Attributes:
        FENCED: It did not run and can't start any more.
        RUNNING: It was claimed and has not ended.
        FINISHED: The backend server answered it.
        BROKEN: It may have run, but no answer came.
        UNKNOWN: It may have run in an earlier process of the node.
    """

    FENCED = "fenced"
    RUNNING = "running"
    FINISHED = "finished"
    BROKEN = "broken"
    UNKNOWN = "unknown"


class LedgerEntry:
    """State and answer of one request.

    Attributes:
        state: OutcomeState.
        created: Monotonic time at which it was inserted or last renewed, in seconds.
        answer: HttpAnswer kept for queries, or None.
    """

    __slots__ = ("answer", "created", "state")

    def __init__(self, state, created):
        self.state = state
        self.created = created
        self.answer = None


class Ledger:
    """Records each request that must not run twice, for RETENTION_SECONDS.

    A request is claimed (running), then finished or broken. A query for a request
    that was not claimed fences it, so that it can't be claimed any more.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._entries = collections.OrderedDict()
        self._kept_bytes = 0

    def __len__(self):
        return len(self._entries)

    def claim(self, request_id):
        """Mark a request as started, before any of it goes to the backend server.

        Raises:
            RequestError: FENCED; the request was fenced and did not run.
            DuplicateRequest: The request was claimed before.
        """
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None:
                self._insert(request_id, OutcomeState.RUNNING)
            elif entry.state is OutcomeState.FENCED:
                raise RequestError(ErrorKind.FENCED)
            else:
                raise DuplicateRequest

    def withdraw(self, request_id):
        """Fence a claimed request that did not run."""
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is not None and entry.state is OutcomeState.RUNNING:
                entry.state = OutcomeState.FENCED

    def fence(self, request_id):
        """Fence a refused request, so that a second copy of it can't run later.

        Raises:
            DuplicateRequest: Another copy has started, so that an answer of "not
                run" would be false.
        """
        if self.query(request_id).state is not OutcomeState.FENCED:
            raise DuplicateRequest

    def finish(self, request_id, answer):
        """Record that a request finished.

        Args:
            request_id: Id of a claimed request.
            answer: HttpAnswer to keep, or None if it is too large or not needed.
        """
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None:
                return
            entry.state = OutcomeState.FINISHED
            if answer is not None and self._can_keep(answer):
                entry.answer = answer
                self._kept_bytes += len(answer.body)

    def fail(self, request_id):
        """Record that a request may have run, but got no answer.

        One whose answer is kept has finished, though the answer was not sent. One that
        was withdrawn did not run.
        """
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None or entry.state is OutcomeState.FENCED:
                return
            if entry.answer is None:
                entry.state = OutcomeState.BROKEN

    def query(self, request_id):
        """Return the LedgerEntry of a request; fence a request that is not known."""
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None:
                entry = self._insert(request_id, OutcomeState.FENCED)
            return entry

    def _insert(self, request_id, state):
        now = self._clock.read_monotonic()
        self._expire(now)
        entry = self._entries[request_id] = LedgerEntry(state, now)
        return entry

    def _expire(self, now):
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if now - entry.created <= RETENTION_SECONDS:
                return
            if entry.state is OutcomeState.RUNNING:
                # Renewed, so that a second copy of a running request is still refused.
                entry.created = now
                self._entries.move_to_end(request_id)
                continue
            if entry.answer is not None:
                self._kept_bytes -= len(entry.answer.body)
            del self._entries[request_id]

    def _can_keep(self, answer):
        if len(answer.body) > MAX_KEPT_BODY_BYTES:
            return False
        return self._kept_bytes + len(answer.body) <= MAX_KEPT_TOTAL_BYTES
