"""The directory: what the node knows of every backend server."""

import enum
import threading

from godwitrack.hashing import hash_text
from godwitrack.kernel import Service

BUCKETS = 256
GONE_RETENTION_SECONDS = 3600
SILENT_RETENTION_SECONDS = 600
NOTICE_RETENTION_MS = 3_600_000
LOG_LENGTH = 4096


class ServerState(enum.Enum):
    """States of a backend server, in the order in which one outranks another."""

    WARM = "warm"
    COLD = "cold"
    SILENT = "silent"
    LEAVING = "leaving"
    GONE = "gone"
    OUT_NOTICE = "out-notice"
    BACK_NOTICE = "back-notice"

    @property
    def rank(self):
        """Position among the states; the higher one wins at equal versions."""
        return _RANKS[self]

    @property
    def is_serving(self):
        """Whether a server in this state may be given new work."""
        return self in (ServerState.WARM, ServerState.COLD)


_RANKS = {state: rank for rank, state in enumerate(ServerState)}


class ServerRecord:
    """What is known of one backend server; never changed once made.

    Attributes:
        name: Name of the backend server.
        service: Service that it runs.
        region: Its region.
        data_centre: Its data centre.
        address: Where its node accepts links, "host:port".
        slots: Most requests that it runs at once when warm.
        state: ServerState.
        incarnation: Number that grows with each start of its node.
        version: Number that grows with each news of one incarnation.
    """

    __slots__ = (
        "address",
        "data_centre",
        "incarnation",
        "name",
        "region",
        "service",
        "slots",
        "state",
        "version",
    )

    def __init__(
        self,
        name,
        service,
        region,
        data_centre,
        address,
        slots,
        state,
        incarnation,
        version,
    ):
        self.name = name
        self.service = service
        self.region = region
        self.data_centre = data_centre
        self.address = address
        self.slots = slots
        self.state = state
        self.incarnation = incarnation
        self.version = version

    @property
    def order(self):
        """Tuple by which the newer of two records of a server is told."""
        return (self.incarnation, self.version, self.state.rank)

    @property
    def is_notice(self):
        """Whether this is a notice of operators instead of a server."""
        return self.name.startswith("notice:")

    def replace(self, **changes):
        """Return a copy with some attributes changed."""
        values = {name: getattr(self, name) for name in self.__slots__}
        values.update(changes)
        return ServerRecord(**values)

    def to_data(self):
        """Return the record as plain data."""
        return [
            self.name,
            self.service,
            self.region,
            self.data_centre,
            self.address,
            self.slots,
            self.state.value,
            self.incarnation,
            self.version,
        ]

    @classmethod
    def from_data(cls, data):
        """Return the record held by plain data.

        Raises:
            ValueError: The data has another shape.
        """
        shape = (str, str, str, str, str, int, str, int, int)
        if not isinstance(data, list) or len(data) != len(shape):
            raise ValueError("a record has nine fields")
        for value, kind in zip(data, shape, strict=True):
            if type(value) is not kind:
                raise ValueError("a field of a record has a wrong type")
        return cls(*data[:6], ServerState(data[6]), *data[7:])

    def compute_hash(self):
        """Return a 64-bit number that stands for this record's content."""
        text = f"{self.name}|{self.incarnation}|{self.version}|{self.state.value}"
        return hash_text(text)


class Directory(Service):
    """Holds the newest record of each server and tells what changed.

    Two directories that merged the same records hold the same content, in
    whatever order the records came.
    """

    name = "directory"

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._records = {}
        self._changed_at = {}
        self._services = {}
        self._digests = [0] * BUCKETS
        self._buckets = [set() for _ in range(BUCKETS)]
        self._server_count = 0
        self._log = []
        self._log_start = 0
        self._version = 0
        self._listeners = []

    def add_listener(self, listener):
        """Call listener(record) after each change, outside the lock."""
        self._listeners.append(listener)

    @property
    def version(self):
        """Number that changes whenever a record does."""
        return self._version

    def merge(self, record, source=""):
        """Take a record over if it is newer than the one held.

        Args:
            record: ServerRecord.
            source: Name of the node that sent it, to which it isn't sent back.

        Returns:
            Whether the directory changed.
        """
        with self._lock:
            held = self._records.get(record.name)
            if held is None and record.state is ServerState.GONE:
                return False
            if held is not None and held.order >= record.order:
                return False
            self._store(held, record)
            self._log.append((record.name, source))
            if len(self._log) > LOG_LENGTH:
                drop = len(self._log) - LOG_LENGTH // 2
                del self._log[:drop]
                self._log_start += drop
        for listener in self._listeners:
            listener(record)
        return True

    def find(self, name):
        """Return the record of a server, or None."""
        return self._records.get(name)

    def find_service(self, service):
        """Return the records of all servers of a service, as a tuple."""
        with self._lock:
            return tuple(self._services.get(service, {}).values())

    def has_service(self, service):
        """Tell whether any server of this service is known."""
        return bool(self._services.get(service))

    def list_servers(self):
        """Return the records of all servers that are not gone."""
        with self._lock:
            return [
                record
                for record in self._records.values()
                if record.state is not ServerState.GONE and not record.is_notice
            ]

    def count_servers(self):
        """Return the number of servers that are not gone."""
        return self._server_count

    def list_notices(self):
        """Return the notices of operators that have not expired."""
        oldest = self._clock.read_wall() * 1000 - NOTICE_RETENTION_MS
        with self._lock:
            return [
                record
                for record in self._records.values()
                if record.is_notice and record.incarnation > oldest
            ]

    def read_log(self, position, limit, reader):
        """Return records changed since a position of the log.

        Args:
            position: Position returned by an earlier call; 0 at first.
            limit: Most records returned.
            reader: Name of the node that gets them; its own news are left out.

        Returns:
            The new position and a list of records, each at most once.
        """
        with self._lock:
            index = max(position - self._log_start, 0)
            found = {}
            while index < len(self._log) and len(found) < limit:
                name, source = self._log[index]
                index += 1
                if source != reader and name in self._records:
                    found[name] = self._records[name]
            return self._log_start + index, list(found.values())

    def compute_digest(self):
        """Return one number that stands for all records that are not gone."""
        with self._lock:
            return hash_text(repr(self._digests))

    def list_digests(self):
        """Return one number for each bucket of records."""
        with self._lock:
            return list(self._digests)

    def list_bucket(self, bucket):
        """Return all records in a bucket, those of gone servers included."""
        with self._lock:
            return [self._records[name] for name in self._buckets[bucket]]

    def expire(self):
        """Forget servers that are gone, and give up those silent for long."""
        now = self._clock.read_monotonic()
        silent = []
        with self._lock:
            for name, changed in list(self._changed_at.items()):
                record = self._records[name]
                age = now - changed
                if record.state is ServerState.GONE and age > GONE_RETENTION_SECONDS:
                    self._forget(record)
                elif (
                    record.state is ServerState.SILENT
                    and age > SILENT_RETENTION_SECONDS
                ):
                    silent.append(record)
        for record in silent:
            gone = record.replace(state=ServerState.GONE, version=record.version + 1)
            self.merge(gone)

    def _store(self, held, record):
        name = record.name
        bucket = find_bucket(name)
        for item, change in ((held, -1), (record, 1)):
            if item is not None and item.state is not ServerState.GONE:
                self._digests[bucket] ^= item.compute_hash()
                self._server_count += 0 if item.is_notice else change
        self._records[name] = record
        self._buckets[bucket].add(name)
        self._changed_at[name] = self._clock.read_monotonic()
        self._version += 1
        if not record.is_notice:
            self._index(held, record)

    def _index(self, held, record):
        if held is not None and held.service != record.service:
            self._services[held.service].pop(held.name, None)
        servers = self._services.setdefault(record.service, {})
        if record.state is ServerState.GONE:
            servers.pop(record.name, None)
        else:
            servers[record.name] = record

    def _forget(self, record):
        del self._records[record.name]
        del self._changed_at[record.name]
        self._buckets[find_bucket(record.name)].discard(record.name)
        self._version += 1


def find_bucket(name):
    """Return the bucket of a server's name, from 0 to BUCKETS - 1."""
    return hash_text(name) % BUCKETS
