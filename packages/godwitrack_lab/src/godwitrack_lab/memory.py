"""The platform's services in memory, with faults that can be switched on."""

import collections
import threading

from godwitrack.clock import SystemClock
from godwitrack.exceptions import ConflictError, StoreError
from godwitrack.store import ObjectStore, Row, TableService

MAX_WRITES_PER_SECOND = 400
MAX_READS_PER_SECOND = 2000


class PlatformFaults:
    """Faults of the platform.

    Attributes:
        outage: Whether every call fails.
        delay: Seconds added to each call.
        lost_answers: Writes still to come whose answer is lost after the effect.
        stale: Whether reads give the content of the time it was switched on.
    """

    __slots__ = ("delay", "lost_answers", "outage", "stale")

    def __init__(self):
        self.outage = False
        self.delay = 0.0
        self.lost_answers = 0
        self.stale = False


class MemoryPlatform:
    """What the table service and the object store of a stand-in share.

    Attributes:
        faults: PlatformFaults.
        reads: Reads served.
        writes: Writes served.
        refused: Calls refused for going beyond the rate.
    """

    def __init__(self, clock=None):
        self.clock = clock or SystemClock()
        self.lock = threading.Lock()
        self.faults = PlatformFaults()
        self.reads = 0
        self.writes = 0
        self.refused = 0
        self._recent = {"read": collections.deque(), "write": collections.deque()}

    def enter(self, sort):
        """Count a call and apply the faults that come before its effect.

        Args:
            sort: "read" or "write".
        """
        if self.faults.delay:
            self.clock.sleep(self.faults.delay)
        if self.faults.outage:
            raise StoreError("the platform is down")
        with self.lock:
            self._count(sort)

    def _count(self, sort):
        now = self.clock.read_monotonic()
        recent = self._recent[sort]
        while recent and now - recent[0] > 1.0:
            recent.popleft()
        limit = MAX_READS_PER_SECOND if sort == "read" else MAX_WRITES_PER_SECOND
        if len(recent) >= limit:
            self.refused += 1
            raise StoreError(f"more than {limit} {sort}s a second")
        recent.append(now)
        if sort == "read":
            self.reads += 1
        else:
            self.writes += 1

    def leave_write(self):
        """Apply the faults that come after the effect of a write."""
        with self.lock:
            if self.faults.lost_answers > 0:
                self.faults.lost_answers -= 1
                raise StoreError("the answer was lost")


class MemoryTables(TableService):
    """A transactional table service in memory."""

    def __init__(self, platform):
        self._platform = platform
        self._tables = {}
        self._stale = None

    def read_row(self, table, key):
        """Return the Row of a key."""
        self._platform.enter("read")
        with self._platform.lock:
            version, value = self._view(table).get(key, (0, None))
        return Row(key, version, value)

    def read_rows(self, table, after, limit):
        """Return Rows in the order of their keys."""
        self._platform.enter("read")
        with self._platform.lock:
            rows = self._view(table)
            keys = sorted(key for key in rows if key > after)[:limit]
            return [Row(key, *rows[key]) for key in keys]

    def commit(self, table, checks, writes):
        """Write rows, all or none."""
        self._platform.enter("write")
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
        self._platform.leave_write()

    def _view(self, table):
        if not self._platform.faults.stale:
            self._stale = None
            return self._tables.get(table, {})
        if self._stale is None:
            self._stale = {name: dict(rows) for name, rows in self._tables.items()}
        return self._stale.get(table, {})


class MemoryObjects(ObjectStore):
    """An object store in memory."""

    def __init__(self, platform):
        self._platform = platform
        self._objects = {}

    def read_object(self, name):
        """Return an object's bytes, or None where there is none."""
        self._platform.enter("read")
        return self._objects.get(name)

    def write_object(self, name, body):
        """Write an object whole."""
        self._platform.enter("write")
        self._objects[name] = body
        self._platform.leave_write()
