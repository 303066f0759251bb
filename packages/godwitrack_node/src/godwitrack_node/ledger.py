"""The ledger: which requests started here, so that none runs twice."""

import collections
import enum
import threading

from godwitrack.exceptions import DuplicateRequest, ErrorKind, RequestError

RETENTION_SECONDS = 600
KEPT_BODY_BYTES = 64 * 1024
KEPT_TOTAL_BYTES = 32 * 2**20


class OutcomeState(enum.Enum):
    """What a node can say of a request."""

    FENCED = "fenced"
    RUNNING = "running"
    FINISHED = "finished"
    BROKEN = "broken"
    UNKNOWN = "unknown"


class LedgerEntry:
    """What the node remembers of one request.

    Attributes:
        state: OutcomeState.
        created: Monotonic time at which it was entered, in seconds.
        answer: HttpAnswer, or None.
    """

    __slots__ = ("answer", "created", "state")

    def __init__(self, state, created):
        self.state = state
        self.created = created
        self.answer = None


class Ledger:
    """Remembers each request that must not run twice, for RETENTION_SECONDS.

    A request goes from claimed (running) to finished or broken. A request that
    is asked about before it was claimed is fenced and can't be claimed any more.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._entries = collections.OrderedDict()
        self._kept_bytes = 0

    def __len__(self):
        return len(self._entries)

    def claim(self, request_id):
        """Mark a request as started, before its first byte goes further.

        Raises:
            RequestError: FENCED; it was withdrawn and did not run.
            DuplicateRequest: It was claimed before.
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
        """Turn a claimed request that did not run into a fenced one."""
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is not None and entry.state is OutcomeState.RUNNING:
                entry.state = OutcomeState.FENCED

    def fence(self, request_id):
        """Make sure that a refused request can't run later, from a second copy.

        Raises:
            DuplicateRequest: Another copy has started, so that "not run" would be
                false.
        """
        if self.query(request_id).state is not OutcomeState.FENCED:
            raise DuplicateRequest

    def finish(self, request_id, answer):
        """Record that a request finished.

        Args:
            request_id: Id of a claimed request.
            answer: HttpAnswer, or None where it was too large to keep.
        """
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is None:
                return
            entry.state = OutcomeState.FINISHED
            if answer is not None and self._has_room(answer):
                entry.answer = answer
                self._kept_bytes += len(answer.body)

    def fail(self, request_id):
        """Record that a request was sent to the backend server without an answer."""
        with self._lock:
            entry = self._entries.get(request_id)
            if entry is not None:
                entry.state = OutcomeState.BROKEN

    def query(self, request_id):
        """Return the LedgerEntry of a request; one never seen is fenced by this."""
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
                # A request still running is entered anew, so that it stays known.
                entry.created = now
                self._entries.move_to_end(request_id)
                continue
            if entry.answer is not None:
                self._kept_bytes -= len(entry.answer.body)
            del self._entries[request_id]

    def _has_room(self, answer):
        if len(answer.body) > KEPT_BODY_BYTES:
            return False
        return self._kept_bytes + len(answer.body) <= KEPT_TOTAL_BYTES
