"""In-memory versions of the platform's services, with injectable faults."""

import collections
import threading

from godwitrack.clock import SystemClock
from godwitrack.exceptions import ConflictError, StoreError
from godwitrack.store import ObjectStore, Row, TableService

MAX_WRITES_PER_SECOND = 400
MAX_READS_PER_SECOND = 2000


class PlatformFaults:
    """Faults that are injected into calls to the platform.

    Attributes:
        outage: Whether every call fails.
        delay: Delay of each call in seconds.
        lost_answers: Number of upcoming writes that take effect but raise an error.
        stale: Whether table reads return old content, as of the first read after this
            was set.
    """

    __slots__ = ("delay", "lost_answers", "outage", "stale")

    def __init__(self):
        self.outage = False
        self.delay = 0.0
        self.lost_answers = 0
        self.stale = False


class MemoryPlatform:
    """State that the in-memory table service and object store share.

    Attributes:
        clock: Clock.
        lock: Lock that protects the counters and the tables.
        faults: PlatformFaults.
        reads: Reads served.
        writes: Writes served.
        refused: Calls refused because they exceeded the rate limit.
    """

    def __init__(self, clock=None):
        self.clock = clock or SystemClock()
        self.lock = threading.Lock()
        self.faults = PlatformFaults()
        self.reads = 0
        self.writes = 0
        self.refused = 0
        self._recent = {"read": collections.deque(), "write": collections.deque()}

    def begin_call(self, kind):
        """Count a call and apply the faults that precede its effect.

        Args:
            kind: "read" or "write".

        Raises:
            StoreError: The platform is down or the rate limit is exceeded.
        """
        if self.faults.delay:
            self.clock.sleep(self.faults.delay)
        if self.faults.outage:
            raise StoreError("the platform is down")
        with self.lock:
            self._count(kind)

    def _count(self, kind):
        now = self.clock.read_monotonic()
        recent = self._recent[kind]
        while recent and now - recent[0] > 1.0:
            recent.popleft()
        limit = MAX_READS_PER_SECOND if kind == "read" else MAX_WRITES_PER_SECOND
        if len(recent) >= limit:
            self.refused += 1
            raise StoreError(f"more than {limit} {kind}s a second")
        recent.append(now)
        if kind == "read":
            self.reads += 1
        else:
            self.writes += 1

    def finish_write(self):
        """Apply the faults that follow the effect of a write.

        Raises:
            StoreError: The answer to the write is lost.
        """
        with self.lock:
            if self.faults.lost_answers > 0:
                self.faults.lost_answers -= 1
                raise StoreError("the answer was lost")


class MemoryTables(TableService):
    """A transactional table service in memory."""

    def __init__(self, platform):
        self._platform = platform
        self._tables = {}
        self._stale_copy = None

    def read_row(self, table, key):
        """Return the Row of a key."""
        self._platform.begin_call("read")
        with self._platform.lock:
            version, value = self._select_rows(table).get(key, (0, None))
        return Row(key, version, value)

    def read_rows(self, table, after, limit):
        """Return Rows in the order of their keys."""
        self._platform.begin_call("read")
        with self._platform.lock:
            rows = self._select_rows(table)
            keys = sorted(key for key in rows if key > after)[:limit]
            return [Row(key, *rows[key]) for key in keys]

    def commit(self, table, checks, writes):
        """Write rows atomically if the checked versions match."""
        self._platform.begin_call("write")
        with self._platform.lock:
            rows = self._tables.setdefault(table, {})
            conflicts = sorted(
                key
                for key, version in checks.items()
                if rows.get(key, (0, None))[0] != version
            )
            if conflicts:
                raise ConflictError(conflicts)
            for key, value in writes.items():
                if value is None:
                    rows.pop(key, None)
                else:
                    rows[key] = (rows.get(key, (0, None))[0] + 1, value)
        self._platform.finish_write()

    def _select_rows(self, table):
        if not self._platform.faults.stale:
            self._stale_copy = None
            return self._tables.get(table, {})
        if self._stale_copy is None:
            self._stale_copy = {name: dict(rows) for name, rows in self._tables.items()}
        return self._stale_copy.get(table, {})


class MemoryObjects(ObjectStore):
    """An object store in memory."""

    def __init__(self, platform):
        self._platform = platform
        self._objects = {}

    def read_object(self, name):
        """Return an object's bytes, or None if it does not exist."""
        self._platform.begin_call("read")
        return self._objects.get(name)

    def write_object(self, name, body):
        """Write or replace an object."""
        self._platform.begin_call("write")
        self._objects[name] = body
        self._platform.finish_write()
