"""Keeps the newest configuration, read from the store and from other nodes."""

import json
import queue
import random
import threading

import tenacity

from godwitrack.configuration import Change, Configuration, check_change
from godwitrack.controlmessages import Changes, ChangesRequest
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

TABLE = "configuration"
HEAD_KEY = "head"
SNAPSHOT_NAME = "configuration-snapshot"
SNAPSHOT_INTERVAL_REVISIONS = 50
MAX_KEPT_CHANGES = 500
PAGE_ROWS = 100
MIN_POLL_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
COMMIT_TIMEOUT_SECONDS = 10.0
PULL_TIMEOUT_SECONDS = 5.0
PEER_ANSWER_WAIT_SECONDS = 3.0

_compute_backoff = tenacity.wait_random_exponential(
    multiplier=1, max=MAX_BACKOFF_SECONDS
)


class Configurations(Service):
    """Holds the configuration in force, whose revision only increases.

    The table service gives all changes one order. A node applies a change only if it
    directly follows the node's revision, and a snapshot only if it is of a later
    revision, so that a stale value from any source has no effect.

    Attributes:
        current: Configuration in force.
        store_reads: Number of reads of the table service by `refresh`.
    """

    name = "configurations"

    def __init__(
        self, clock, executor, tables, objects, fleet_reads_per_second, rng=None
    ):
        self._clock = clock
        self._executor = executor
        self._tables = tables
        self._objects = objects
        self._fleet_reads_per_second = fleet_reads_per_second
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
        """Start following the store and the hints of other nodes."""
        self._executor.submit(self._follow_store)
        self._executor.submit(self._follow_hints)

    def stop(self):
        """Stop following the store and the hints."""
        self._stopped.set()
        self._hints.put(None)

    def add_listener(self, listener):
        """Call listener(configuration) after each change."""
        self._listeners.append(listener)

    @property
    def store_failures(self):
        """Number of consecutive failed reads of the store."""
        return self._store_failures

    @property
    def is_ready(self):
        """Whether the node has a configuration with which it may serve requests."""
        if not self._is_ready and self.current.revision > 0:
            waited = self._clock.read_monotonic() - self._started_at
            # A node that just started asks its peers before it trusts the store,
            # which may return a stale value.
            self._is_ready = self._peer_answered or waited > PEER_ANSWER_WAIT_SECONDS
        return self._is_ready

    def read(self):
        """Return the Configuration in force.

        Raises:
            RequestError: NOT_READY.
        """
        if not self._is_ready and not self.is_ready:
            raise RequestError(ErrorKind.NOT_READY)
        return self.current

    def record_peer_answer(self):
        """Record that a peer stated its revision and sent the missing changes."""
        self._peer_answered = True

    def record_no_peers(self):
        """Record that there is no peer to ask."""
        self._peer_answered = True

    def list_changes(self, after):
        """Return a Changes message with the changes after a revision, or a snapshot."""
        with self._lock:
            current = self.current
            known = [change for change in self._changes if change.revision > after]
        if after >= current.revision:
            return Changes([], [])
        if known and known[0].revision == after + 1:
            return Changes([change.to_data() for change in known], [])
        return Changes([], [current.revision, current.records])

    def apply_changes(self, message):
        """Apply a Changes message.

        Raises:
            MessageError: Its content is malformed.
        """
        try:
            changes = [Change.from_data(item) for item in message.changes]
            snapshot = message.snapshot
            if snapshot:
                self._apply_snapshot(int(snapshot[0]), dict(snapshot[1]))
            self._apply_changes(changes)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise MessageError(f"malformed changes: {error}") from None

    def hint(self, address):
        """Enqueue a fetch from a node with a later revision, if the queue has space."""
        try:
            self._hints.put_nowait(address)
        except queue.Full:
            pass

    def pull(self, link):
        """Fetch the missing changes over a link and apply them."""
        link.send(ChangesRequest(self.current.revision), PULL_TIMEOUT_SECONDS)
        message = link.receive(PULL_TIMEOUT_SECONDS)
        if type(message) is not Changes:
            raise MessageError("expected a Changes message")
        self.apply_changes(message)

    def refresh(self):
        """Read the store now and apply what is new.

        Raises:
            StoreError: The store gave no usable answer.
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
        """Commit a change to the store, then apply it.

        Args:
            base: Revision that the operator read.
            records: Mapping from key to record, or None where it is removed.
            author: Who makes the change.
            change_id: Unique text that identifies the change.

        Returns:
            The accepted Change.

        Raises:
            RevisionConflict: Another change came first; nothing was written.
            SettingsError: The change is invalid; nothing was written.
            StoreError: The store failed; the change may have been written, unless
                is_nothing_written says otherwise.
        """
        deadline = self._clock.read_monotonic() + COMMIT_TIMEOUT_SECONDS
        created = round(self._clock.read_wall(), 3)
        change = Change(base + 1, change_id, records, author, created)
        try:
            self.refresh()
            head = self._tables.read_row(TABLE, HEAD_KEY)
        except StoreError as error:
            raise _NothingWritten(str(error)) from None
        current = head.value["revision"] if head.value else 0
        if current != base or self.current.revision != base:
            return self._resolve_commit(change)
        check_change(self.current, change, "change")
        self._write(change, head, deadline)
        self._apply_changes([change])
        self._write_snapshot()
        return change

    def _write(self, change, head, deadline):
        """Commit a change, with retries until the deadline.

        An answer may be lost although its commit took effect. The retry then conflicts,
        and the change is read back.
        """
        key = _make_key(change.revision)
        checks = {HEAD_KEY: head.version, key: 0}
        writes = {HEAD_KEY: {"revision": change.revision}, key: change.to_data()}
        pause = 0.05
        while True:
            try:
                self._tables.commit(TABLE, checks, writes)
                return
            except ConflictError:
                self._resolve_commit(change)
                return
            except StoreError:
                # A retry is safe: if the first commit took effect, the version
                # checks of the second one fail.
                if self._clock.read_monotonic() + pause > deadline:
                    raise
                self._clock.sleep(pause)
                pause = min(pause * 2, 1.0)

    def _resolve_commit(self, change):
        """Return the change if the store has it, whichever attempt wrote it.

        Raises:
            RevisionConflict: The store does not have it at its revision.
        """
        row = self._tables.read_row(TABLE, _make_key(change.revision))
        if row.value is not None:
            found = Change.from_data(row.value)
            if found.change_id == change.change_id:
                self._apply_changes([found])
                return found
        raise RevisionConflict(
            change.revision - 1, max(self.current.revision, change.revision)
        )

    def _write_snapshot(self):
        current = self.current
        if current.revision % SNAPSHOT_INTERVAL_REVISIONS:
            return
        body = json.dumps([current.revision, current.records]).encode()
        try:
            self._objects.write_object(SNAPSHOT_NAME, body)
        except StoreError as error:
            # Nothing is lost: a snapshot only shortens the reading of a long log.
            self._log.warning("snapshot not written", error=str(error))

    def _read_snapshot(self):
        body = self._objects.read_object(SNAPSHOT_NAME)
        if body is None:
            return
        try:
            revision, records = json.loads(body)
        except ValueError:
            raise StoreError(f"{SNAPSHOT_NAME} is not JSON") from None
        self._apply_snapshot(revision, records)

    def _read_changes(self, after):
        self.store_reads += 1
        rows = self._tables.read_rows(TABLE, _make_key(after), PAGE_ROWS)
        changes = []
        for row in rows:
            if row.key.startswith("change/"):
                changes.append(Change.from_data(row.value))
        self._apply_changes(changes)

    def _apply_changes(self, changes):
        has_changed = False
        with self._lock:
            for change in changes:
                if change.revision == self.current.revision + 1:
                    self.current = self.current.apply(change)
                    self._changes.append(change)
                    has_changed = True
            del self._changes[:-MAX_KEPT_CHANGES]
        if has_changed:
            self._notify_listeners()

    def _apply_snapshot(self, revision, records):
        with self._lock:
            if revision <= self.current.revision:
                return
            self.current = Configuration(revision, records)
            self._changes = []
        self._notify_listeners()

    def _notify_listeners(self):
        self._log.info("configuration in force", revision=self.current.revision)
        for listener in self._listeners:
            listener(self.current)

    def _follow_store(self):
        wait = 0.0
        while not self._stopped.wait(wait):
            try:
                self.refresh()
                self._store_failures = 0
                wait = self._draw_poll_interval()
            except StoreError as error:
                self._store_failures += 1
                self._log.warning("store not read", error=str(error))
                wait = MIN_POLL_SECONDS + _compute_backoff(
                    _Attempt(self._store_failures)
                )
            except Exception:
                self._log.exception("unexpected error while reading the store")
                wait = MAX_BACKOFF_SECONDS

    def _draw_poll_interval(self):
        """Draw a random wait that keeps the whole fleet within its reads per second."""
        mean = self._membership.count_nodes() / self._fleet_reads_per_second
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
    """The part of a retry state that the backoff function reads."""

    __slots__ = ("attempt_number",)

    def __init__(self, attempt_number):
        self.attempt_number = attempt_number


def is_nothing_written(error):
    """Return whether a StoreError occurred before anything could be written."""
    return isinstance(error, _NothingWritten)


def _make_key(revision):
    if revision < 0:
        raise GodwitrackError("a revision must not be negative")
    return f"change/{revision:012d}"
