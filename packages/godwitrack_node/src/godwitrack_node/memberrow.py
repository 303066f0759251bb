"""The node's own row in the fleet's table, kept in line with what it should hold."""

import random
import threading

from godwitrack.exceptions import StoreError
from godwitrack.feed import FeedTable, RowConflict, format_version
from godwitrack.logs import get_logger
from godwitrack_node.backoff import FIRST_PAUSE_SECONDS, MAX_PAUSE_SECONDS, Backoff
from godwitrack_node.membertable import decode_member, encode_member
from godwitrack_node.threadpool import run_lasting

# A report is answered within one second, whether or not its row is written by then.
ROW_WAIT_SECONDS = 0.6


class MemberRow:
    """Writes the node's row whenever it differs from the present Member."""

    def __init__(self, executor, store, address, make_member):
        """Create the row without reading or writing it.

        Args:
            executor: concurrent.futures.Executor.
            store: FeedStore.
            address: Key of the row, the "host:port" of the node's links.
            make_member: Function that returns the present Member, without an instance
                while the backend server is not known, or None if there must be no row.
        """
        self._executor = executor
        self._store = store
        self._address = address
        self._make_member = make_member
        self._replica = None
        self._write_requested = threading.Event()
        self._changed = threading.Condition()
        self._stopped = threading.Event()
        self._rng = random.Random()
        self._log = get_logger("registration")

    def connect(self, replica):
        """Use a FeedReplica of the fleet's table."""
        self._replica = replica

    def start(self):
        """Start writing the row."""
        self._executor.submit(run_lasting, self._write_rows)

    def stop(self):
        """Stop writing the row."""
        self._stopped.set()
        self._write_requested.set()

    @property
    def is_known(self):
        """Whether the fleet's table was read, which `find_stored` needs."""
        return self._replica.version >= 0

    def find_stored(self):
        """Return the Member in the row as last read, or None."""
        row = self._replica.find(self._address)
        return decode_member(row) if row is not None else None

    def request_write(self):
        """Write the row soon if it differs."""
        self._write_requested.set()

    def check(self):
        """Wake those that wait for the row, and write it if it differs."""
        with self._changed:
            self._changed.notify_all()
        if not self._is_current():
            self._write_requested.set()

    def wait_until_current(self):
        """Wait briefly until a restarted node would find the row as it should be.

        Returns:
            Whether it would.
        """
        with self._changed:
            is_current = self._changed.wait_for(self._is_current, ROW_WAIT_SECONDS)
        if not is_current:
            self._log.info("leaving not confirmed")
        return is_current

    def _is_current(self):
        row, member = self._replica.find(self._address), self._make_member()
        if row is None or member is None:
            return row is None and member is None
        stored = decode_member(row)
        return stored is not None and stored.has_same_values(member)

    def _is_write_due(self):
        if not self.is_known or self._is_current():
            return False
        member = self._make_member()
        return member is None or bool(member.instance)

    def _write_rows(self):
        backoff = Backoff(self._rng)
        # What was requested before a failure is still due.
        self._write_requested.set()
        while True:
            self._write_requested.wait()
            if self._stopped.is_set():
                return
            self._write_requested.clear()
            if not self._is_write_due():
                self._stopped.wait(FIRST_PAUSE_SECONDS)
                if not self.is_known:
                    self._write_requested.set()
                continue
            try:
                self._write_row()
                backoff.reset()
            except StoreError as error:
                self._log.info("row not written", error=str(error))
                self._stopped.wait(backoff.draw())
                self._write_requested.set()
            except Exception:
                self._log.exception("row not written")
                self._stopped.wait(MAX_PAUSE_SECONDS)
                self._write_requested.set()

    def _write_row(self):
        row, member = self._replica.find(self._address), self._make_member()
        value = None if member is None else encode_member(member)
        expected = row.version if row is not None else 0
        try:
            version = self._store.write_row(
                FeedTable.FLEET, self._address, value, expected
            )
        except RowConflict as conflict:
            stored = conflict.row.value if conflict.row is not None else None
            # An earlier write may have taken effect already: its answer was lost, or
            # the replica is behind.
            if stored != value:
                raise
            version = conflict.row.version if conflict.row is not None else 0
        is_serving = member is not None and member.is_serving
        self._log.info(
            "row written", version=format_version(version), serving=is_serving
        )
        with self._changed:
            self._changed.notify_all()
