"""Directory: the newest known record of every backend server and notice."""

import enum
import threading

from godwitrack.hashing import hash_text
from godwitrack.kernel import Service

BUCKETS = 256
GONE_RETENTION_SECONDS = 3600
SILENT_RETENTION_SECONDS = 600
NOTICE_RETENTION_MS = 3_600_000
MAX_LOG_ENTRIES = 4096


class ServerState(enum.Enum):
    """States of a record, in ascending order of precedence at equal versions.

    OUT_NOTICE and BACK_NOTICE are not states of servers. They mark notices, by
    which operators take a server or data centre out of service or bring it back.
    """

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
        """Whether a server in this state may be sent new requests."""
        return self in (ServerState.WARM, ServerState.COLD)


_RANKS = {state: rank for rank, state in enumerate(ServerState)}


class ServerRecord:
    """Immutable record of one backend server, or of one operators' notice.

    Attributes:
        name: Name of the backend server, or "notice:<kind>:<name>".
        service: Service that the server runs.
        region: Region of the server.
        data_centre: Data centre of the server.
        address: "host:port" at which the server's node accepts links.
        slots: Concurrency limit of the server when warm, in requests.
        state: ServerState.
        incarnation: Number that grows with each start of the server's node. For a
            notice, the time at which it was issued, in ms since the Unix epoch.
        version: Number that grows with each update within one incarnation.
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
    def version_key(self):
        """Tuple that is greater for the newer of two records of the same server."""
        return (self.incarnation, self.version, self.state.rank)

    @property
    def is_notice(self):
        """Whether the record holds an operators' notice instead of a server."""
        return self.name.startswith("notice:")

    def replace(self, **changes):
        """Return a copy of the record with the given attributes changed."""
        values = {name: getattr(self, name) for name in self.__slots__}
        values.update(changes)
        return ServerRecord(**values)

    def to_data(self):
        """Return the record as a list of plain values, as sent to other nodes."""
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
        """Return the record that a list of plain values describes.

        Raises:
            ValueError: The list has a wrong length, or a value a wrong type.
        """
        shape = (str, str, str, str, str, int, str, int, int)
        if not isinstance(data, list) or len(data) != len(shape):
            raise ValueError("expected a list of nine fields")
        for value, kind in zip(data, shape, strict=True):
            if type(value) is not kind:
                raise ValueError("a field has the wrong type")
        return cls(*data[:6], ServerState(data[6]), *data[7:])

    def compute_hash(self):
        """Return a 64-bit hash of the name, incarnation, version and state."""
        text = f"{self.name}|{self.incarnation}|{self.version}|{self.state.value}"
        return hash_text(text)


class Directory(Service):
    """Holds the newest record of each server and logs each change.

    Merging is independent of order: two directories that merged the same records
    hold the same content. Records are spread over buckets by a hash of the name;
    nodes compare one digest for each bucket to find the records that differ.
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
        """Call listener(record) after each change, without holding the lock."""
        self._listeners.append(listener)

    @property
    def version(self):
        """Number that grows with each change of a record."""
        return self._version

    def merge(self, record, source=""):
        """Store a record if it is newer than the one held under its name.

        A record of a server that is gone is ignored when the server is unknown.

        Args:
            record: ServerRecord.
            source: Name of the node that sent the record; it is not sent back there.

        Returns:
            Whether the directory changed.
        """
        with self._lock:
            current = self._records.get(record.name)
            if current is None and record.state is ServerState.GONE:
                return False
            if current is not None and current.version_key >= record.version_key:
                return False
            self._store(current, record)
            self._log.append((record.name, source))
            if len(self._log) > MAX_LOG_ENTRIES:
                drop = len(self._log) - MAX_LOG_ENTRIES // 2
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
        """Return whether any server of this service is known."""
        return bool(self._services.get(service))

    def list_servers(self):
        """Return the records of all servers that are not gone, as a list."""
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
        """Return the records of the operators' notices that have not expired."""
        oldest = self._clock.read_wall() * 1000 - NOTICE_RETENTION_MS
        with self._lock:
            return [
                record
                for record in self._records.values()
                if record.is_notice and record.incarnation > oldest
            ]

    def read_log(self, position, limit, reader):
        """Return the records that changed since a position of the log.

        Args:
            position: Position returned by an earlier call; 0 at first.
            limit: Maximum number of records returned.
            reader: Name of the node that reads. Records that came from it are left
                out.

        Returns:
            The new position, and the list of records, each of them once.
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
        """Return one 64-bit digest of all records that are not gone."""
        with self._lock:
            return hash_text(repr(self._digests))

    def list_digests(self):
        """Return the digest of each bucket, in the order of the buckets."""
        with self._lock:
            return list(self._digests)

    def list_bucket(self, bucket):
        """Return all records in a bucket, including those of servers that are gone."""
        with self._lock:
            return [self._records[name] for name in self._buckets[bucket]]

    def expire(self):
        """Remove servers long gone, and mark servers that stay silent as gone."""
        now = self._clock.read_monotonic()
        silent = []
        with self._lock:
            for name, changed in list(self._changed_at.items()):
                record = self._records[name]
                age = now - changed
                if record.state is ServerState.GONE and age > GONE_RETENTION_SECONDS:
                    self._remove(record)
                elif (
                    record.state is ServerState.SILENT
                    and age > SILENT_RETENTION_SECONDS
                ):
                    silent.append(record)
        for record in silent:
            gone = record.replace(state=ServerState.GONE, version=record.version + 1)
            self.merge(gone)

    def _store(self, current, record):
        name = record.name
        bucket = compute_bucket(name)
        for item, change in ((current, -1), (record, 1)):
            if item is not None and item.state is not ServerState.GONE:
                self._digests[bucket] ^= item.compute_hash()
                self._server_count += 0 if item.is_notice else change
        self._records[name] = record
        self._buckets[bucket].add(name)
        self._changed_at[name] = self._clock.read_monotonic()
        self._version += 1
        if not record.is_notice:
            self._update_service_index(current, record)

    def _update_service_index(self, current, record):
        if current is not None and current.service != record.service:
            self._services[current.service].pop(current.name, None)
        servers = self._services.setdefault(record.service, {})
        if record.state is ServerState.GONE:
            servers.pop(record.name, None)
        else:
            servers[record.name] = record

    def _remove(self, record):
        del self._records[record.name]
        del self._changed_at[record.name]
        self._buckets[compute_bucket(record.name)].discard(record.name)
        self._version += 1


def compute_bucket(name):
    """Return the number of the bucket for a name, from 0 to BUCKETS - 1."""
    return hash_text(name) % BUCKETS
