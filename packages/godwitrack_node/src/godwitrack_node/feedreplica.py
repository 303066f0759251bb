"""A node's copy of one table of the store, from which it also answers other nodes."""

import threading

from godwitrack.feed import FeedPage, ReaderState, get_era
from godwitrack.patches import MIN_PATCH_BYTES, PatchedRow
from godwitrack_node.patchlog import PatchLog

MAX_REMOVED_ROWS = 1000
# Time for the writers of lost rows to notice the restoration and write them again.
LOST_ROWS_SECONDS = 10.0


class FeedReplica:
    """Holds the rows of a table as of one version.

    Removed rows are kept up to a limit, so that a reader learns of removals; a reader
    that lacks older ones gets the whole table.

    Rows that a restored store lacks stay listed for a while, unless they are removed
    in the new era: a take-out or a node does not end because the store lost its row.

    Its position in the store's sequence moves with every change of any table. Which
    content it has is told by the latest change of this table alone.
    """

    def __init__(self, clock):
        self._clock = clock
        self._changed = threading.Condition()
        self._rows = {}
        self._removed = {}
        self._lost = {}
        self._lost_until = 0.0
        self._version = -1
        self._content_version = -1
        self._patches = PatchLog()
        # All removals after this version are kept.
        self._complete_since = 0
        self._confirmed_at = None

    @property
    def version(self):
        """Version up to which no change is missing, or -1 before the first page."""
        return self._version

    @property
    def content_version(self):
        """Version of the latest change of any row, or -1 before the first page.

        A node that is complete up to here lacks nothing that this one has.
        """
        return self._content_version

    @property
    def age(self):
        """Seconds since the store confirmed the content, or None if it never did."""
        if self._confirmed_at is None:
            return None
        return max(self._clock.read_monotonic() - self._confirmed_at, 0.0)

    @property
    def age_ms(self):
        """The age in whole milliseconds, or -1 if the store never confirmed any."""
        age = self.age
        return -1 if age is None else int(age * 1000)

    @property
    def size(self):
        """Sum of the sizes of all values in bytes."""
        with self._changed:
            return sum(len(row.value) for row in self._rows.values())

    def find(self, key):
        """Return the FeedRow with a key, or None if the store has none."""
        return self._rows.get(key)

    def list_rows(self):
        """Return all FeedRows, also those that a restored store lost a moment ago."""
        with self._changed:
            return [*self._rows.values(), *self._lost.values()]

    def describe(self):
        """Return the ReaderState of this replica, for a read from another node."""
        with self._changed:
            bases = [
                (row.key, row.digest)
                for row in self._rows.values()
                if len(row.value) >= MIN_PATCH_BYTES
            ]
            return ReaderState(self._version, self._content_version, bases)

    def shorten(self, page, bases):
        """Return a FeedPage with PatchedRows in place of the rows that patches lead to.

        Args:
            page: FeedPage of this replica.
            bases: Mapping from key to the digest of the value that the reader has.
        """
        with self._changed:
            rows = [self._shorten_row(row, bases.get(row.key)) for row in page.rows]
        return FeedPage(rows, page.version, page.is_whole, page.age)

    def _shorten_row(self, row, base):
        if base is None or row.value is None or len(row.value) < MIN_PATCH_BYTES:
            return row
        patches = self._patches.find(row, base)
        return row if patches is None else PatchedRow(row.key, row.version, patches)

    def merge(self, page):
        """Merge a FeedPage, whose rows may be PatchedRows.

        Returns:
            Whether any row changed.

        Raises:
            PatchError: A patch does not apply; nothing was changed.
        """
        with self._changed:
            if page.version < self._version:
                return False
            rows = [row for item in page.rows for row in self._resolve(item)]
            self._update_confirmed_at(page)
            has_changed = self._version < 0
            if page.is_whole:
                self._keep_lost(page)
                if self._drop_unlisted(page):
                    has_changed = True
                    self._content_version = page.version
                self._complete_since = page.version
            for row in rows:
                has_changed |= self._merge_row(row)
            has_changed |= self._expire_lost()
            self._version = page.version
            self._content_version = max(self._content_version, 0)
            self._changed.notify_all()
        return has_changed

    def wake_readers(self):
        """Let those that wait for a change look whether they may stop."""
        with self._changed:
            self._changed.notify_all()

    def read(self, after, wait, may_stop=None, content=None):
        """Return a FeedPage of the changes after a version.

        Args:
            after: Version up to which the reader has all changes, or -1 for none.
            wait: Seconds to wait for the first change.
            may_stop: Function that returns whether to stop the wait, or None.
            content: Version of the latest change that the reader has; by default
                `after`.

        Returns:
            The FeedPage, or None if the replica is empty or lacks the content that the
            reader has. Its version is below `after` where both have the same content.
        """
        may_stop = may_stop or _never
        content = after if content is None else content
        with self._changed:
            self._changed.wait_for(lambda: self._version > after or may_stop(), wait)
            age = self.age
            if age is None or self._version < 0 or self._version < content:
                return None
            if after < self._complete_since:
                return FeedPage(list(self._rows.values()), self._version, True, age)
            rows = [
                row
                for row in (*self._rows.values(), *self._removed.values())
                if row.version > after
            ]
            rows.sort(key=lambda row: row.version)
            return FeedPage(rows, self._version, False, age)

    def read_for_follower(self, after, wait, is_receiving, content=None):
        """Return the FeedPage for a node that follows this one.

        Those that ask while changes are arriving wait for them; others are told at once
        that they have to. What this node lacks of theirs may be arriving, too.

        Args:
            after: Version up to which that node has all changes.
            wait: Seconds to wait for a first change.
            is_receiving: Function that returns whether changes are arriving.
            content: Version of the latest change that it has; by default `after`.

        Returns:
            The FeedPage, or None if changes are arriving that it lacks. The version of
            the page is -1 if this node has no content, or lacks what that node has.
        """
        was_receiving = is_receiving()
        page = self.read(after, 0.0 if was_receiving else wait, is_receiving, content)
        if after < 0 or (page is not None and page.rows) or not is_receiving():
            return page or FeedPage([], -1, False)
        if was_receiving:
            # The version may be later although no row has changed yet.
            self.read(max(self._version, after), wait)
            page = self.read(after, 0.0, content=content)
        return page if page is not None and page.rows else None

    def _update_confirmed_at(self, page):
        confirmed_at = self._clock.read_monotonic() - page.age
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def _resolve(self, item):
        """Return a list of the FeedRow for a row of a page, if it is new.

        Raises:
            PatchError: A patch does not apply to the row's present value.
        """
        if type(item) is not PatchedRow:
            return [item]
        known = self._rows.get(item.key)
        if known is not None and known.version >= item.version:
            return []
        row = item.resolve(known)
        self._patches.add(row.key, item.patches)
        return [row]

    def _merge_row(self, row):
        known = self._rows.get(row.key) or self._removed.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        self._content_version = max(self._content_version, row.version)
        if known is not None and known.value is not None:
            self._patches.add_change(known, row)
        self._lost.pop(row.key, None)
        if row.value is None:
            self._rows.pop(row.key, None)
            self._removed[row.key] = row
            self._limit_removed()
        else:
            self._removed.pop(row.key, None)
            self._rows[row.key] = row
        return True

    def _keep_lost(self, page):
        """Keep the rows that the first whole page of a later era lacks."""
        if self._version < 0 or get_era(page.version) == get_era(self._version):
            return
        listed = {row.key for row in page.rows}
        known = {**self._lost, **self._rows}
        self._lost = {key: row for key, row in known.items() if key not in listed}
        self._lost_until = self._clock.read_monotonic() + LOST_ROWS_SECONDS

    def _expire_lost(self):
        if not self._lost or self._clock.read_monotonic() < self._lost_until:
            return False
        self._lost.clear()
        return True

    def _drop_unlisted(self, page):
        listed = {row.key for row in page.rows}
        missing = [
            key
            for key, row in self._rows.items()
            if key not in listed and row.version <= page.version
        ]
        for key in missing:
            del self._rows[key]
        self._removed.clear()
        return bool(missing)

    def _limit_removed(self):
        if len(self._removed) <= MAX_REMOVED_ROWS:
            return
        oldest = min(self._removed.values(), key=lambda row: row.version)
        del self._removed[oldest.key]
        self._complete_since = max(self._complete_since, oldest.version)


def _never():
    return False
