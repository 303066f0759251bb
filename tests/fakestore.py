"""A fake store of the users' platform that can simulate the store's faults."""

import base64
import json
import threading
import time
from urllib.parse import parse_qs, urlsplit

from fakehttp import FakeHttpServer

PIECE_BYTES = 4096


class StoreCopy:
    """The content of a FakeStore at one moment, from which it can be restored.

    Attributes:
        rows: Mapping from (table, key) to the encoded value and its version.
        log: List of (table, row) for each change.
        version: Version of the newest change.
    """

    def __init__(self, rows, log, version):
        self.rows = rows
        self.log = log
        self.version = version


class FakeStore(FakeHttpServer):
    """Serves the store's HTTP API from memory.

    Attributes:
        calls: Number of requests received.
        era: Number that rises by one each time the store is restored.
        is_away: Whether it answers every request with status 503.
        loses_answers: Whether it applies transactions but closes the connection
            instead of answering.
        bytes_per_second: Bytes that all its answers together may have in a second, or
            None for no limit.
        sent_bytes: Bytes of the bodies that it began to send.
    """

    def __init__(self, executor):
        self._changed = threading.Condition()
        self._rows = {}
        self._log = []
        self._version = 0
        self._oldest_version = 0
        self.calls = 0
        self.era = 1
        self.is_away = False
        self.loses_answers = False
        self.bytes_per_second = None
        self.sent_bytes = 0
        self._send_lock = threading.Lock()
        self._next_send_at = 0.0
        super().__init__(executor)

    def put(self, table, key, value):
        """Write one row; a value other than bytes is stored as JSON."""
        with self._changed:
            self._apply_changes([(table, key, _encode_value(value))])

    def remove(self, table, key):
        with self._changed:
            self._apply_changes([(table, key, None)])

    def compact(self):
        """Drop the change log; a feed from an older version then gets status 410."""
        with self._changed:
            self._log.clear()
            self._oldest_version = self._version

    def copy(self):
        """Return a StoreCopy of the present content."""
        with self._changed:
            return StoreCopy(dict(self._rows), list(self._log), self._version)

    def restore(self, copy, rewritten=(), kept_table=""):
        """Go back to a StoreCopy, in a new era.

        Args:
            copy: StoreCopy.
            rewritten: (table, key, value as for `put`) of rows that were lost and that
                others write again before the store answers a request.
            kept_table: Table whose lost changes are all made again at once.
        """
        with self._changed:
            changes = [(table, key, _encode_value(v)) for table, key, v in rewritten]
            changes += self._list_lost(copy, kept_table)
            self.era += 1
            self._rows, self._log = dict(copy.rows), list(copy.log)
            self._version = copy.version
            for change in changes:
                self._apply_changes([change])
            self._changed.notify_all()

    def _list_lost(self, copy, table):
        """Return the changes that lead from a copy to the present rows of a table."""
        keys = {key for name, key in {**copy.rows, **self._rows} if name == table}
        changes = []
        for key in sorted(keys):
            value = self._rows.get((table, key), (None, 0))[0]
            if value != copy.rows.get((table, key), (None, 0))[0]:
                changes.append((table, key, value))
        return changes

    def list_keys(self, table):
        with self._changed:
            return [key for row_table, key in self._rows if row_table == table]

    def answer(self, request, body, connection, sock):
        self.calls += 1
        if self.is_away:
            connection.start_answer(503, self._make_headers(), 0)
            return True
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        operation = url.path.rpartition("-")[2]
        status, data = getattr(self, f"_{operation}")(query, body)
        if self.loses_answers and operation == "tx":
            return False
        answer = json.dumps({"nowS": 1.0, **data}).encode()
        self.sent_bytes += len(answer)
        rate = self.bytes_per_second
        if rate is None:
            connection.start_answer(status, self._make_headers(), len(answer), answer)
            return True
        connection.start_answer(status, self._make_headers(), len(answer), b"")
        for start in range(0, len(answer), PIECE_BYTES):
            piece = answer[start : start + PIECE_BYTES]
            self._wait_for_turn(len(piece) / rate)
            connection.write_answer(piece)
        return True

    def _wait_for_turn(self, seconds):
        """Wait to send a piece, which takes some seconds, on a link of all answers."""
        with self._send_lock:
            now = time.monotonic()
            turn = max(self._next_send_at, now)
            self._next_send_at = turn + seconds
        time.sleep(turn - now)

    def _make_headers(self):
        return [["Store-Era", str(self.era)]]

    def _get(self, query, body):
        with self._changed:
            rows = [
                self._make_row(row_table, key, *stored)
                for (row_table, key), stored in sorted(self._rows.items())
                if row_table == query["table"] and key >= query.get("from", "")
            ]
            limit = int(query["limit"])
            return 200, {
                "rows": rows[:limit],
                "hasMore": len(rows) > limit,
                "rowVersion": self._version,
            }

    def _feed(self, query, body):
        after, table = int(query["after"]), query["table"]
        with self._changed:
            era = self.era
            if not self._has_history(after):
                return 410, {}
            self._changed.wait_for(
                lambda: self._list_changes(table, after) or self.era != era,
                int(query["waitMs"]) / 1000,
            )
            if not self._has_history(after):
                return 410, {}
            rows = self._list_changes(table, after)
            return 200, {"rows": rows, "rowVersion": self._version}

    def _tx(self, query, body):
        data = json.loads(body)
        with self._changed:
            for item in data["expected"]:
                stored = self._rows.get((item["table"], item["key"]), ("", 0))
                if stored[1] != item["rowVersion"]:
                    found = self._make_row(item["table"], item["key"], *stored)
                    return 412, {"rows": [found]}
            changes = [(i["table"], i["key"], i["value"]) for i in data["puts"]]
            changes += [(i["table"], i["key"], None) for i in data["remove"]]
            self._apply_changes(changes)
            return 200, {"rowVersion": self._version}

    def _apply_changes(self, changes):
        self._version += 1
        for table, key, value in changes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, self._version)
            self._log.append((table, self._make_row(table, key, value, self._version)))
        self._changed.notify_all()

    def _has_history(self, after):
        return self._oldest_version <= after <= self._version

    def _list_changes(self, table, after):
        return [
            row
            for row_table, row in self._log
            if row_table == table and row["rowVersion"] > after
        ]

    def _make_row(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "rowVersion": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row


def _encode_value(value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(data).decode()
