"""Keeps the newest configuration, from the store and from other nodes."""

import json
import queue
import random
import threading

import tenacity

from godwitrack.configuration import Change, Configuration, check_change
from godwitrack.exceptions import (
    ConflictError,
    ErrorKind,
    GodwitrackError,
    LinkError,
    MessageError,
    RequestError,
    RevisionConflict,
    StoreError,
)
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack.messages import Changes, ChangesRequest

TABLE = "configuration"
HEAD_KEY = "head"
SNAPSHOT_NAME = "configuration-snapshot"
SNAPSHOT_EVERY = 50
LOG_LENGTH = 500
PAGE_ROWS = 100
MIN_POLL_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
COMMIT_SECONDS = 10.0
PULL_TIMEOUT_SECONDS = 5.0
JOIN_WAIT_SECONDS = 3.0

_backoff = tenacity.wait_random_exponential(multiplier=1, max=MAX_BACKOFF_SECONDS)


class Configurations(Service):
    """Holds the configuration in force, which only ever moves to later revisions.

    Changes have one order, given by the table service. A node takes over a change
    only when it follows the revision it has, or a whole snapshot of a later one,
    so that an old value from any source changes nothing.
    """

    name = "configurations"

    def __init__(self, clock, executor, tables, objects, fleet_reads, rng=None):
        self._clock = clock
        self._executor = executor
        self._tables = tables
        self._objects = objects
        self._fleet_reads = fleet_reads
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._changes = []
        self._listeners = []
        self._hints = queue.Queue(16)
        self._stopped = threading.Event()
        self._is_ready = False
        self._started_at = clock.read_monotonic()
        self._peer_answered = False
        self._store_failures = 0
        self._membership = None
        self._pool = None
        self._log = get_logger("configurations")
        self.current = Configuration()
        self.store_reads = 0

    def connect(self, kernel):
        """Find the collaborators."""
        self._membership = kernel.find("membership")
        self._pool = kernel.find("link-pool")

    def start(self):
        """Begin to follow the store and the hints of other nodes."""
        self._executor.submit(self._follow_store)
        self._executor.submit(self._follow_hints)

    def stop(self):
        """Follow nothing more."""
        self._stopped.set()
        self._hints.put(None)

    def add_listener(self, listener):
        """Call listener(configuration) after each change."""
        self._listeners.append(listener)

    @property
    def store_failures(self):
        """Failed reads of the store in a row."""
        return self._store_failures

    @property
    def is_ready(self):
        """Whether the node knows a configuration on which it may serve."""
        if not self._is_ready and self.current.revision > 0:
            waited = self._clock.read_monotonic() - self._started_at
            # A node that just started asks its peers before it trusts the store,
            # which may answer an old value.
            self._is_ready = self._peer_answered or waited > JOIN_WAIT_SECONDS
        return self._is_ready

    def read(self):
        """Return the Configuration in force.

        Raises:
            RequestError: NOT_READY.
        """
        if not self._is_ready and not self.is_ready:
            raise RequestError(ErrorKind.NOT_READY)
        return self.current

    def note_peer_answer(self):
        """Note that a peer told its revision and gave what was missing."""
        self._peer_answered = True

    def note_no_peers(self):
        """Note that there is no peer to ask."""
        self._peer_answered = True

    def list_changes(self, after):
        """Return the Changes message that brings a node up from a revision."""
        with self._lock:
            current = self.current
            known = [change for change in self._changes if change.revision > after]
        if after >= current.revision:
            return Changes([], [])
        if known and known[0].revision == after + 1:
            return Changes([change.to_data() for change in known], [])
        return Changes([], [current.revision, current.records])

    def take_changes(self, message):
        """Take over a Changes message.

        Raises:
            MessageError: Its content has a wrong shape.
        """
        try:
            changes = [Change.from_data(item) for item in message.changes]
            snapshot = message.snapshot
            if snapshot:
                self._take_snapshot(int(snapshot[0]), dict(snapshot[1]))
            self._take_all(changes)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise MessageError(f"changes of a wrong shape: {error}") from None

    def hint(self, address):
        """Note that the node at an address has a later revision."""
        try:
            self._hints.put_nowait(address)
        except queue.Full:
            pass

    def pull(self, link):
        """Fetch over a link what is missing here."""
        link.send(ChangesRequest(self.current.revision), PULL_TIMEOUT_SECONDS)
        message = link.receive(PULL_TIMEOUT_SECONDS)
        if type(message) is not Changes:
            raise MessageError("expected changes")
        self.take_changes(message)

    def refresh(self):
        """Read the store now.

        Raises:
            StoreError: It gave no usable answer.
        """
        self.store_reads += 1
        head = self._tables.read_row(TABLE, HEAD_KEY)
        revision = head.value["revision"] if head.value else 0
        if revision > self.current.revision + PAGE_ROWS:
            self._read_snapshot()
        while revision > self.current.revision:
            before = self.current.revision
            self._read_changes(before)
            if self.current.revision == before:
                raise StoreError(f"no change after revision {before} in the store")

    def commit(self, base, records, author, change_id):
        """Make a change in the store, and take it over.

        Args:
            base: Revision that the operator read.
            records: Mapping from key to record, or None where it is removed.
            author: Who makes the change.
            change_id: Unique text by which the change is recognised.

        Returns:
            The accepted Change.

        Raises:
            RevisionConflict: Another change was first; nothing was written.
            SettingsError: The change is not valid; nothing was written.
            StoreError: The store's answers leave open whether it was written.
        """
        deadline = self._clock.read_monotonic() + COMMIT_SECONDS
        created = round(self._clock.read_wall(), 3)
        change = Change(base + 1, change_id, records, author, created)
        try:
            self.refresh()
            head = self._tables.read_row(TABLE, HEAD_KEY)
        except StoreError as error:
            raise _NothingWritten(str(error)) from None
        current = head.value["revision"] if head.value else 0
        if current != base or self.current.revision != base:
            return self._resolve(change)
        check_change(self.current, change, "change")
        self._write(change, head, deadline)
        self._take_all([change])
        self._write_snapshot()
        return change

    def _write(self, change, head, deadline):
        """Commit a change; an answer lost on the way is resolved by reading back."""
        key = _make_key(change.revision)
        checks = {HEAD_KEY: head.version, key: 0}
        writes = {HEAD_KEY: {"revision": change.revision}, key: change.to_data()}
        pause = 0.05
        while True:
            try:
                self._tables.commit(TABLE, checks, writes)
                return
            except ConflictError:
                self._resolve(change)
                return
            except StoreError:
                # Sending it again is safe: if the first one took effect, the
                # checks of the second one do not hold.
                if self._clock.read_monotonic() + pause > deadline:
                    raise
                self._clock.sleep(pause)
                pause = min(pause * 2, 1.0)

    def _resolve(self, change):
        """Return the change if the store has it, whoever wrote it there.

        Raises:
            RevisionConflict: Another change has its place.
        """
        row = self._tables.read_row(TABLE, _make_key(change.revision))
        if row.value is not None:
            found = Change.from_data(row.value)
            if found.change_id == change.change_id:
                self._take_all([found])
                return found
        raise RevisionConflict(
            change.revision - 1, max(self.current.revision, change.revision)
        )

    def _write_snapshot(self):
        current = self.current
        if current.revision % SNAPSHOT_EVERY:
            return
        body = json.dumps([current.revision, current.records]).encode()
        try:
            self._objects.write_object(SNAPSHOT_NAME, body)
        except StoreError as error:
            # The snapshot only shortens the reading of a long log.
            self._log.warning("snapshot not written", error=str(error))

    def _read_snapshot(self):
        body = self._objects.read_object(SNAPSHOT_NAME)
        if body is None:
            return
        try:
            revision, records = json.loads(body)
        except ValueError:
            raise StoreError(f"{SNAPSHOT_NAME} is not JSON") from None
        self._take_snapshot(revision, records)

    def _read_changes(self, after):
        self.store_reads += 1
        rows = self._tables.read_rows(TABLE, _make_key(after), PAGE_ROWS)
        changes = []
        for row in rows:
            if row.key.startswith("change/"):
                changes.append(Change.from_data(row.value))
        self._take_all(changes)

    def _take_all(self, changes):
        taken = False
        with self._lock:
            for change in changes:
                if change.revision == self.current.revision + 1:
                    self.current = self.current.apply(change)
                    self._changes.append(change)
                    taken = True
            del self._changes[:-LOG_LENGTH]
        if taken:
            self._tell_listeners()

    def _take_snapshot(self, revision, records):
        with self._lock:
            if revision <= self.current.revision:
                return
            self.current = Configuration(revision, records)
            self._changes = []
        self._tell_listeners()

    def _tell_listeners(self):
        self._log.info("configuration in force", revision=self.current.revision)
        for listener in self._listeners:
            listener(self.current)

    def _follow_store(self):
        wait = 0.0
        while not self._stopped.wait(wait):
            try:
                self.refresh()
                self._store_failures = 0
                wait = self._find_poll_interval()
            except StoreError as error:
                self._store_failures += 1
                self._log.warning("store not read", error=str(error))
                wait = MIN_POLL_SECONDS + _backoff(_Attempt(self._store_failures))
            except Exception:
                self._log.exception("store not followed")
                wait = MAX_BACKOFF_SECONDS

    def _find_poll_interval(self):
        """Return a random wait that keeps the whole fleet within its reads."""
        mean = self._membership.count_nodes() / self._fleet_reads
        if mean < MIN_POLL_SECONDS:
            return MIN_POLL_SECONDS * self._rng.uniform(0.8, 1.2)
        return min(self._rng.expovariate(1.0 / mean), 4 * mean)

    def _follow_hints(self):
        while not self._stopped.is_set():
            address = self._hints.get()
            if address is None:
                return
            try:
                link = self._pool.acquire(address, PULL_TIMEOUT_SECONDS)
                self.pull(link)
                self._pool.release(link)
            except (LinkError, MessageError) as error:
                self._log.warning("changes not fetched", error=str(error))


class _NothingWritten(StoreError):
    """The store failed before anything could be written."""


class _Attempt:
    """What the back-off library reads from the state of a retry."""

    __slots__ = ("attempt_number",)

    def __init__(self, attempt_number):
        self.attempt_number = attempt_number


def is_nothing_written(error):
    """Tell whether a StoreError came before anything could be written."""
    return isinstance(error, _NothingWritten)


def _make_key(revision):
    if revision < 0:
        raise GodwitrackError("a revision is never below 0")
    return f"change/{revision:012d}"
