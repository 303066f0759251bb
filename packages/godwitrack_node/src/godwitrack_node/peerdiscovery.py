"""Peer discovery: a table of node addresses through which a new node joins."""

import random
import threading

from godwitrack.exceptions import ConflictError, StoreError
from godwitrack.kernel import Service
from godwitrack.logs import get_logger

TABLE = "members"
PAGE_ROWS = 8
RETRY_SECONDS = 5.0


class PeerDiscovery(Service):
    """Reads the addresses of other nodes and maintains the node's own row.

    The row is written when the node joins and removed on a planned stop, and is
    not refreshed in between: 2,300 restarts a day with two writes each cost the
    whole fleet one write every 19 seconds. The row of a VM that failed stays
    until a node of the same name joins, so a node that joins reads several
    addresses.
    """

    name = "peer-discovery"

    def __init__(self, clock, executor, tables, identity, rng=None):
        self._clock = clock
        self._executor = executor
        self._tables = tables
        self._identity = identity
        self._rng = rng or random.Random()
        self._addresses = ()
        self._address = ""
        self._stopped = threading.Event()
        self._log = get_logger("rendezvous")

    def connect(self, kernel):
        """Look up the address at which the node accepts links."""
        self._address = kernel.find("link-server").advertised

    def start(self):
        """Start a thread that reads other addresses and writes the own one."""
        self._executor.submit(self._join)

    def stop(self):
        """Stop the retries and remove the own row."""
        self._stopped.set()
        try:
            row = self._tables.read_row(TABLE, self._identity.name)
            if row.value and row.value.get("address") == self._address:
                name = self._identity.name
                self._tables.commit(TABLE, {name: row.version}, {name: None})
        except (StoreError, ConflictError):
            # A stale row is harmless, since nodes that join read several rows.
            self._log.info("address not removed from the table")

    def list_addresses(self):
        """Return the addresses that were read from the table, as a tuple."""
        return self._addresses

    def _join(self):
        wait = 0.0
        while not self._stopped.wait(wait):
            try:
                self._read_addresses()
                self._write_address()
                return
            except (StoreError, ConflictError) as error:
                self._log.warning("address not written", error=str(error))
            wait = RETRY_SECONDS * self._rng.uniform(1.0, 3.0)

    def _read_addresses(self):
        start = self._rng.choice("abcdefghijklmnopqrstuvwxyz0123456789")
        rows = self._tables.read_rows(TABLE, start, PAGE_ROWS)
        rows += self._tables.read_rows(TABLE, "", PAGE_ROWS)
        self._addresses = tuple(
            row.value["address"] for row in rows if row.key != self._identity.name
        )

    def _write_address(self):
        name = self._identity.name
        row = self._tables.read_row(TABLE, name)
        value = {"address": self._address, "incarnation": self._identity.incarnation}
        self._tables.commit(TABLE, {name: row.version}, {name: value})
